"""Operator endpoints for the running system: status, drain and explain."""

import asyncio
from typing import Any

import msgspec
from litestar import Request, Response, get, post

from verbenawind.api.holders import Holders, find_holders
from verbenawind.api.responses import json_response
from verbenawind.api.services import ApiServices, operator_services
from verbenawind.document import EnvironmentRevision
from verbenawind.errors import PeerUnreachable, UnknownResource
from verbenawind.kernel import ServerView

__all__ = ["EXPLAIN_CALL", "HANDLERS", "answer_explain_call"]

EXPLAIN_CALL = "explain"
_BASE = "/operators/v1"
_EXPLAIN_TIMEOUT_S = 2.0
_MAX_PEERS_ASKED = 32


@get(_BASE + "/status", summary="Return the status of the service")
async def status(request: Request[Any, Any, Any]) -> Response[bytes]:
    """Return revisions in force and their holders, backend servers and peers."""
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
                _environment_status(holders, item) for item in services.configuration.environments()
            ],
            "unreachable_daemons": holders.unreachable,
            "servers": [_server_status(services, view) for view in services.fleet.all()],
            "peers": services.peers.peers(),
        }
    )


@post(_BASE + "/servers/{server_id:str}/drain", status_code=200, summary="Drain a backend server")
async def drain(request: Request[Any, Any, Any], server_id: str) -> Response[bytes]:
    """Stop new work from all daemons to the current incarnation of a backend server."""
    services = operator_services(request)
    view = services.fleet.view(server_id)
    if view is None:
        raise UnknownResource(f"there is no backend server {server_id!r}")
    incarnation = view.server.incarnation
    services.fleet.mark_leaving(server_id, incarnation)
    return json_response({"server_id": server_id, "incarnation": incarnation, "leaving": True})


@get(_BASE + "/requests/{request_id:str}/explain", summary="Show the decisions on a request")
async def explain(request: Request[Any, Any, Any], request_id: str) -> Response[bytes]:
    """Return the decision log lines of a request from this daemon and its peers."""
    services = operator_services(request)
    peers = services.peers.peers()[:_MAX_PEERS_ASKED]
    peer_lines = await asyncio.gather(
        *(_query_peer(services, peer.peer_id, request_id) for peer in peers)
    )
    lines = {services.settings.daemon_id: list(services.decisions.lines(request_id))}
    unreachable = []
    for peer, response in zip(peers, peer_lines, strict=True):
        if response is None:
            unreachable.append(peer.peer_id)
        else:
            lines[peer.peer_id] = response
    records = {
        daemon_id: lines_of_daemon
        for daemon_id, lines_of_daemon in lines.items()
        if lines_of_daemon
    }
    if not records:
        response_counts = f"{len(lines)} daemons responded, {len(unreachable)} did not"
        raise UnknownResource(f"no decisions on request {request_id!r} found ({response_counts})")
    return json_response(
        {"request_id": request_id, "daemons": records, "unreachable_daemons": unreachable}
    )


HANDLERS = [status, drain, explain]


async def answer_explain_call(services: ApiServices, body: bytes) -> bytes:
    """Return the decision log lines of a request to a peer."""
    return msgspec.json.encode(services.decisions.lines(body.decode(errors="replace")))


async def _query_peer(
    services: ApiServices, peer_id: str, request_id: str
) -> list[dict[str, Any]] | None:
    try:
        response = await services.peers.call(
            peer_id, EXPLAIN_CALL, request_id.encode(), _EXPLAIN_TIMEOUT_S
        )
        return msgspec.json.decode(response, type=list[dict[str, Any]])
    except (PeerUnreachable, msgspec.DecodeError):
        return None


def _environment_status(holders: Holders, revision: EnvironmentRevision) -> dict[str, Any]:
    return {
        "environment": revision.environment,
        "stage": revision.stage,
        "revision": revision.revision,
        "digest": revision.digest,
        "accepted_at": revision.accepted_at,
        "author": revision.author,
        "held_by": holders.for_revision(revision),
    }


def _server_status(services: ApiServices, view: ServerView) -> dict[str, Any]:
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
