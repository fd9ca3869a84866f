"""Traces of production traffic: event format, recorder and file access."""

from verbenawind.traces.files import Trace, encode_event, read_trace, write_trace
from verbenawind.traces.live import LiveRecording
from verbenawind.traces.recorder import TraceRecorder

__all__ = ["LiveRecording", "Trace", "TraceRecorder", "encode_event", "read_trace", "write_trace"]
