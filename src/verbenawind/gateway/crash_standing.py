"""What is decided of a caller's request from the ends of servers."""

from verbenawind.kernel.messages import Value

__all__ = ["Standing"]


class Standing(Value, frozen=True, kw_only=True):
    """What is known of a caller's request.

    Attributes:
        fingerprint: The request of all callers, which the claim of a trial names.
        ends: Number of servers' processes whose ends are held against it.
        own_ends: Number of these that the caller's own request may have ended, as they ran no other
            request that ends processes.
        convicted: Whether the request runs only as a claimed trial.
        culprit: Whether several processes ended under this caller's own request; other callers
            have terms of their own.
        doubtful: Whether the ends may have another cause than the request.
        refused_until_ms: The end of the current term; 0 if the request is not convicted.
        trials: Number of trials so far.
        series: The callers that share these trials, as a claim names them.
    """

    fingerprint: str = ""
    ends: int = 0
    own_ends: int = 0
    convicted: bool = False
    culprit: bool = False
    doubtful: bool = False
    refused_until_ms: int = 0
    trials: int = 0
    series: str = ""
