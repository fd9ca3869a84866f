"""Sends to backend servers, except to those that said in an answer that they leave."""

from verbenawind.errors import BackendServerUnreachable
from verbenawind.gateway.directory import Directory
from verbenawind.gateway.ports import Attempt, BackendPort, BackendResponse
from verbenawind.gateway.types import Instance

__all__ = ["StayingBackends"]


class StayingBackends:
    """A BackendPort that reads the announcement of every answer, whatever it was sent for.

    An answer tells sooner than the registry, and also while the store is away.

    Args:
        port: Sends the requests.
        directory: Records which servers leave.
    """

    __slots__ = ("_directory", "_port")

    def __init__(self, port: BackendPort, directory: Directory) -> None:
        self._port = port
        self._directory = directory

    async def send(self, instance: Instance, attempt: Attempt) -> BackendResponse:
        """Send an attempt, unless the server has announced that it leaves since it was chosen.

        Raises:
            BackendServerUnreachable: Nothing was sent.
            BackendServerFailed: The request may have run.
        """
        if self._directory.is_leaving(instance):
            raise BackendServerUnreachable(
                f"server {instance.instance_id} announced that it leaves; nothing was sent"
            )
        response = await self._port.send(instance, attempt)
        if response.leaving:
            self._directory.mark_leaving(response.answered_by or instance.instance_id)
        return response
