"""Commands on the running system."""

from typing import Any

from verbenawind.cli.commands import Invocation, Result, command
from verbenawind.cli.tables import aligned

__all__: list[str] = []

_LINE_FIELDS = ("timestamp", "event", "request_id", "daemon_id", "level")


@command("status")
def status(call: Invocation) -> Result:
    """Tell which daemon has which revision since when, and what the backend servers do."""
    answer = call.client.get("/status")
    ready = "ready" if answer["ready"] else "not ready"
    head = f"daemon {answer['daemon_id']} in zone {answer['zone']}: {ready}"
    held = [
        (
            f"{item['environment']}/{item['stage']}",
            holder["daemon_id"],
            str(holder.get("revision", "?")),
            str(holder.get("since") or "-"),
            "" if holder.get("revision") == item["revision"] else "behind",
        )
        for item in answer["environments"]
        for holder in item["held_by"]
    ]
    servers = [
        (
            server["server_id"],
            server["kind"],
            server["group"],
            server["zone"],
            _state(server),
            _versions(server),
        )
        for server in answer["servers"]
    ]
    parts = [
        head,
        aligned(("ENVIRONMENT", "DAEMON", "REVISION", "SINCE", ""), held),
        aligned(("SERVER", "KIND", "GROUP", "ZONE", "STATE", "VERSIONS"), servers),
    ]
    if answer["unreachable_daemons"]:
        parts.append(f"no answer from {', '.join(answer['unreachable_daemons'])}")
    return Result(value=answer, text="\n\n".join(parts))


@command("drain", "SERVER_ID")
def drain(call: Invocation) -> Result:
    """Send no new work to a backend server, until it comes back as a new incarnation."""
    answer = call.client.change("POST", f"/servers/{call.arguments[0]}/drain")
    text = f"{answer['server_id']} (incarnation {answer['incarnation']}) gets no new work"
    return Result(value=answer, text=text)


@command("explain", "REQUEST_ID")
def explain(call: Invocation) -> Result:
    """Show the decisions on one request, whichever daemon served it."""
    answer = call.client.get(f"/requests/{call.arguments[0]}/explain")
    lines = [f"request {answer['request_id']}"]
    for daemon_id, kept in answer["daemons"].items():
        lines.append(f"daemon {daemon_id}")
        lines += [_decision_line(line) for line in kept]
    if answer["unreachable_daemons"]:
        lines.append(f"no answer from {', '.join(answer['unreachable_daemons'])}")
    return Result(value=answer, text="\n".join(lines))


def _state(server: dict[str, Any]) -> str:
    if server["leaving"]:
        return "leaving"
    return "suspected" if server["suspected"] else "live"


def _versions(server: dict[str, Any]) -> str:
    return ", ".join(
        f"{model['model']}={'?' if model['active_version'] is None else model['active_version']}"
        for model in server["models"]
    )


def _decision_line(line: dict[str, Any]) -> str:
    values = " ".join(
        f"{name}={value!r}" for name, value in line.items() if name not in _LINE_FIELDS
    )
    return f"  {line.get('timestamp', '')} {line.get('event', '')} {values}"
