"""Judges whether a response is a backend server's own answer to a request."""

from verbenawind.errors import AdmissionRefused, BackendServerFailed
from verbenawind.gateway.ports import Answer

__all__ = ["check_answer"]


def check_answer(answer: Answer, server_id: str) -> None:
    """Close and refuse an answer that is not the server's own.

    Raises:
        AdmissionRefused: The server states that it did not run the request.
        BackendServerFailed: The answer does not bear the server's mark.
    """
    if answer.refused:
        answer.close()
        raise AdmissionRefused(f"server {server_id} refused the request with {answer.status}")
    if not answer.signed:
        answer.close()
        raise BackendServerFailed(f"server {server_id} gave an unsigned {answer.status}")
