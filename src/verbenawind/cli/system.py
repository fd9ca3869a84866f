"""Commands for the running system."""

from typing import Any

from verbenawind.cli.commands import Invocation, Result, command
from verbenawind.cli.tables import format_table

__all__: list[str] = []

_OMITTED_FIELDS = ("timestamp", "event", "request_id", "daemon_id", "level")


@command("status")
def status(invocation: Invocation) -> Result:
    """Show the revisions held by each daemon and the state of the backend servers."""
    response = invocation.client.get("/status")
    ready = "ready" if response["ready"] else "not ready"
    header = f"daemon {response['daemon_id']} in zone {response['zone']}: {ready}"
    holder_rows = [
        (
            f"{item['environment']}/{item['stage']}",
            holder["daemon_id"],
            str(holder.get("revision", "?")),
            str(holder.get("since") or "-"),
            "" if holder.get("revision") == item["revision"] else "behind",
        )
        for item in response["environments"]
        for holder in item["held_by"]
    ]
    server_rows = [
        (
            server["server_id"],
            server["kind"],
            server["group"],
            server["zone"],
            _server_state(server),
            _model_versions(server),
        )
        for server in response["servers"]
    ]
    sections = [
        header,
        format_table(("ENVIRONMENT", "DAEMON", "REVISION", "SINCE", ""), holder_rows),
        format_table(("SERVER", "KIND", "GROUP", "ZONE", "STATE", "VERSIONS"), server_rows),
    ]
    if response["unreachable_daemons"]:
        sections.append(f"no response from {', '.join(response['unreachable_daemons'])}")
    return Result(value=response, text="\n\n".join(sections))


@command("drain", "SERVER_ID")
def drain(invocation: Invocation) -> Result:
    """Stop new work to a backend server until it restarts as a new incarnation."""
    response = invocation.client.change("POST", f"/servers/{invocation.arguments[0]}/drain")
    text = f"{response['server_id']} (incarnation {response['incarnation']}) receives no new work"
    return Result(value=response, text=text)


@command("explain", "REQUEST_ID")
def explain(invocation: Invocation) -> Result:
    """Show the decisions on a request, from whichever daemon served it."""
    response = invocation.client.get(f"/requests/{invocation.arguments[0]}/explain")
    lines = [f"request {response['request_id']}"]
    for daemon_id, records in response["daemons"].items():
        lines.append(f"daemon {daemon_id}")
        lines += [_decision_line(line) for line in records]
    if response["unreachable_daemons"]:
        lines.append(f"no response from {', '.join(response['unreachable_daemons'])}")
    return Result(value=response, text="\n".join(lines))


def _server_state(server: dict[str, Any]) -> str:
    if server["leaving"]:
        return "leaving"
    return "suspected" if server["suspected"] else "live"


def _model_versions(server: dict[str, Any]) -> str:
    return ", ".join(
        f"{model['model']}={'?' if model['active_version'] is None else model['active_version']}"
        for model in server["models"]
    )


def _decision_line(line: dict[str, Any]) -> str:
    values = " ".join(
        f"{name}={value!r}" for name, value in line.items() if name not in _OMITTED_FIELDS
    )
    return f"  {line.get('timestamp', '')} {line.get('event', '')} {values}"
