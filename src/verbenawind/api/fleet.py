"""The operators' interface to the running system: status, drain and explain."""

import asyncio
from typing import Any

import msgspec
from litestar import Request, Response, get, post

from verbenawind.api.holders import Holders, find_holders
from verbenawind.api.replies import json_response
from verbenawind.api.services import ApiServices, operator_services
from verbenawind.document import EnvironmentRevision
from verbenawind.errors import PeerUnreachable, UnknownResource
from verbenawind.kernel import ServerView

__all__ = ["EXPLAIN_CALL", "HANDLERS", "answer_explain_call"]

EXPLAIN_CALL = "explain"
_BASE = "/operators/v1"
_EXPLAIN_TIMEOUT_S = 2.0
_MAX_PEERS_ASKED = 32


@get(_BASE + "/status", summary="Tell what this daemon sees")
async def status(request: Request[Any, Any, Any]) -> Response[bytes]:
    """Return the revisions in force, who holds which, the backend servers and the peers."""
    services = operator_services(request)
    settings = services.settings
    holders = await find_holders(services)
    return json_response(
        {
            "daemon_id": settings.daemon_id,
            "zone": settings.zone,
            "region": settings.region,
            "ready": services.ready(),
            "environments": [
                _environment(holders, item) for item in services.configuration.environments()
            ],
            "unreachable_daemons": holders.unreachable,
            "servers": [_server(services, view) for view in services.fleet.all()],
            "peers": services.peers.peers(),
        }
    )


@post(_BASE + "/servers/{server_id:str}/drain", status_code=200, summary="Drain a backend server")
async def drain(request: Request[Any, Any, Any], server_id: str) -> Response[bytes]:
    """Send no new work to a backend server, from any daemon, for its present incarnation."""
    services = operator_services(request)
    view = services.fleet.view(server_id)
    if view is None:
        raise UnknownResource(f"no backend server is called {server_id!r}")
    incarnation = view.server.incarnation
    services.fleet.mark_leaving(server_id, incarnation)
    return json_response({"server_id": server_id, "incarnation": incarnation, "leaving": True})


@get(_BASE + "/requests/{request_id:str}/explain", summary="Show the decisions on a request")
async def explain(request: Request[Any, Any, Any], request_id: str) -> Response[bytes]:
    """Return the decision lines of a request from this daemon and from its peers."""
    services = operator_services(request)
    peers = services.peers.peers()[:_MAX_PEERS_ASKED]
    answers = await asyncio.gather(
        *(_ask_peer(services, peer.peer_id, request_id) for peer in peers)
    )
    lines = {services.settings.daemon_id: list(services.decisions.lines(request_id))}
    unreachable = []
    for peer, answer in zip(peers, answers, strict=True):
        if answer is None:
            unreachable.append(peer.peer_id)
        else:
            lines[peer.peer_id] = answer
    found = {daemon_id: kept for daemon_id, kept in lines.items() if kept}
    if not found:
        asked = f"{len(lines)} daemons asked, {len(unreachable)} without an answer"
        raise UnknownResource(f"no decision on request {request_id!r} is kept ({asked})")
    return json_response(
        {"request_id": request_id, "daemons": found, "unreachable_daemons": unreachable}
    )


HANDLERS = [status, drain, explain]


async def answer_explain_call(services: ApiServices, body: bytes) -> bytes:
    """Answer a peer that asks for the decision lines of a request."""
    return msgspec.json.encode(services.decisions.lines(body.decode(errors="replace")))


async def _ask_peer(
    services: ApiServices, peer_id: str, request_id: str
) -> list[dict[str, Any]] | None:
    try:
        answer = await services.peers.call(
            peer_id, EXPLAIN_CALL, request_id.encode(), _EXPLAIN_TIMEOUT_S
        )
        return msgspec.json.decode(answer, type=list[dict[str, Any]])
    except (PeerUnreachable, msgspec.DecodeError):
        return None


def _environment(holders: Holders, revision: EnvironmentRevision) -> dict[str, Any]:
    return {
        "environment": revision.environment,
        "stage": revision.stage,
        "revision": revision.revision,
        "digest": revision.digest,
        "accepted_at": revision.accepted_at,
        "author": revision.author,
        "held_by": holders.of(revision),
    }


def _server(services: ApiServices, view: ServerView) -> dict[str, Any]:
    now_s = services.clock.monotonic_s()
    return {
        "server_id": view.server.server_id,
        "kind": view.server.kind,
        "group": view.server.group,
        "zone": view.server.location.zone,
        "incarnation": view.server.incarnation,
        "leaving": view.leaving,
        "suspected": view.suspected_until_s > now_s,
        "running": view.status.running if view.status else None,
        "waiting": view.status.waiting if view.status else None,
        "models": view.status.models if view.status else (),
    }
