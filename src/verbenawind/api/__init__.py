"""The HTTP interfaces for callers and operators."""

from verbenawind.api.app import ApiServices, build_app
from verbenawind.api.fleet import EXPLAIN_CALL, answer_explain_call

__all__ = ["EXPLAIN_CALL", "ApiServices", "answer_explain_call", "build_app"]
