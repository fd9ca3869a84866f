"""The catalogue of log events: when each is written and the types of its fields.

A field has the same meaning in every event. ``python -m verbenawind.reference`` generates the
operators' page from this module. Tests compare it with the log calls in the code and with the
lines that running daemons write.
"""

from collections.abc import Mapping
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from verbenawind.kernel.messages import Value

__all__ = ["EVENTS", "PLATFORM_EVENTS", "PRODUCT_EVENTS", "LineFields", "LogEvent"]

_Seconds = Annotated[float, Meta(ge=0.0)]


class LineFields(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Fields of log lines besides ``event``, ``level``, ``timestamp`` (UTC) and ``host``."""

    absent: Annotated[
        int, Meta(description="Number of known hosts that are missing from a host list.")
    ] = 0
    acts_in_s: Annotated[
        float,
        Meta(description="Time until a new lease holder may give orders; at most 0 means now."),
    ] = 0.0
    address: Annotated[str, Meta(description="Address as host and port.")] = ""
    after: Annotated[int, Meta(description="Position after which results were requested.")] = 0
    age_s: Annotated[
        float | None,
        Meta(
            description="Age of the job or of the data of a feed; null if the feed never responded."
        ),
    ] = 0.0
    ahead_steps: Annotated[
        float, Meta(description="New number of steps that generation runs ahead.")
    ] = 0.0
    answer: Annotated[str, Meta(description="An engine's answer to an order.")] = ""
    asked_host: Annotated[str, Meta(description="Host name in the request.")] = ""
    before_steps: Annotated[
        float, Meta(description="Previous number of steps that generation ran ahead.")
    ] = 0.0
    behind: Annotated[int, Meta(description="Number of pending loads.")] = 0
    call_id: Annotated[str, Meta(description="ID of an item's scoring call.")] = ""
    callers_address: Annotated[str, Meta(description="Address of the callers' interface.")] = ""
    candidates: Annotated[int, Meta(description="Number of eligible servers.")] = 0
    certain: Annotated[
        bool, Meta(description="Whether the server ended, or only does not respond to connections.")
    ] = False
    changed_until_restart: Annotated[
        list[str], Meta(description="Changed settings, which take effect at the next start.")
    ] = []
    choice: Annotated[str, Meta(description="Reason for the choice of the engine.")] = ""
    carried_over: Annotated[
        int, Meta(description="Number of groups that an earlier job had, too.")
    ] = 0
    chosen: Annotated[str, Meta(description="The host that was assigned the unit of work.")] = ""
    code: Annotated[str | int, Meta(description="Error code.")] = ""
    configuration: Annotated[
        int | None, Meta(description="Version of the configuration in force.")
    ] = 0
    considered: Annotated[Any, Meta(description="The compared candidates with their figures.")] = (
        None
    )
    crash: Annotated[
        str, Meta(description="Identifier of the crash that made the request a suspect.")
    ] = ""
    convicted: Annotated[
        str,
        Meta(
            description="Fingerprint that is convicted: of the caller's request or of all callers'."
        ),
    ] = ""
    culprit: Annotated[
        bool, Meta(description="Whether several servers ended under this caller's own request.")
    ] = False
    crashes: Annotated[int, Meta(description="Crashes of servers while running such requests.")] = 0
    cursor: Annotated[Any, Meta(description="Cursor of a trainer in its deliveries.")] = None
    desired_groups: Annotated[
        int, Meta(description="Number of groups that the trainer waits for.")
    ] = 0
    detail: Annotated[str, Meta(description="Message or status from the server.")] = ""
    digest: Annotated[str, Meta(description="Digest of the document.")] = ""
    doubtful: Annotated[
        bool,
        Meta(description="Whether the servers may have ended for another cause than the request."),
    ] = False
    draining: Annotated[bool, Meta(description="Whether the server is draining.")] = False
    end: Annotated[str, Meta(description="Outcome of the run.")] = ""
    ended: Annotated[
        bool, Meta(description="Whether the server's process has ended without notice.")
    ] = False
    ends: Annotated[
        int, Meta(description="Servers that ended under the request since it was last cleared.")
    ] = 0
    environment: Annotated[str, Meta(description="Name and stage of the environment.")] = ""
    epoch: Annotated[
        int, Meta(description="Epoch of the owner or holder; increases with each change.")
    ] = 0
    error: Annotated[str, Meta(description="The error's message.")] = ""
    events: Annotated[
        int, Meta(description="Number of events of the item that are held after the run.")
    ] = 0
    exc_info: Annotated[Any, Meta(description="Traceback; written as `exception`.")] = None
    expected_orders: Annotated[
        int | None,
        Meta(description="Earlier orders that the engine must have accepted; null if any number."),
    ] = 0
    expected_s: Annotated[_Seconds, Meta(description="Expected time to a response.")] = 0.0
    failures: Annotated[int, Meta(description="Number of runs or scoring calls that failed.")] = 0
    fencing_number: Annotated[int, Meta(description="Fencing number of the lease holder.")] = 0
    fingerprint: Annotated[str, Meta(description="Digest shared by similar requests.")] = ""
    former: Annotated[str, Meta(description="Previous holder of the lease.")] = ""
    former_owner: Annotated[
        str, Meta(description="Previous owner; empty if the job was released.")
    ] = ""
    former_version: Annotated[int | None, Meta(description="Previous version.")] = 0
    free_here: Annotated[int, Meta(description="Number of free slots on this host.")] = 0
    free_there: Annotated[int, Meta(description="Number of free slots on the chosen host.")] = 0
    from_version: Annotated[
        int | None, Meta(description="Version that the engine had before, as far as known.")
    ] = 0
    generation: Annotated[int, Meta(description="Number of the attempt at the unit of work.")] = 0
    grace_s: Annotated[_Seconds, Meta(description="Time limit of the shutdown.")] = 0.0
    group: Annotated[str | int, Meta(description="Group of the item or sample.")] = ""
    held: Annotated[int, Meta(description="Number of entries that are held.")] = 0
    held_tokens: Annotated[int, Meta(description="Number of generated tokens that are kept.")] = 0
    idle_ratio: Annotated[
        float, Meta(description="Fraction of time that the trainer waits for samples.")
    ] = 0.0
    incarnation: Annotated[
        Any, Meta(description="Identifier of one start of a host or server.")
    ] = None
    index: Annotated[int, Meta(description="Index of the sample in its group.")] = 0
    items: Annotated[int, Meta(description="Number of items of the job.")] = 0
    job_id: Annotated[str | None, Meta(description="Identifier of the batch job.")] = ""
    key: Annotated[str, Meta(description="Key of a row or request.")] = ""
    kind: Annotated[str, Meta(description="Type of an entry or order.")] = ""
    known: Annotated[int, Meta(description="Number of known hosts.")] = 0
    kept_texts: Annotated[int, Meta(description="Number of partial texts found in the store.")] = 0
    limit: Annotated[str, Meta(description="A limit as an answer gave it.")] = ""
    limit_per_s: Annotated[
        float | None,
        Meta(description="Requests a second that a server takes from all hosts; null for any."),
    ] = None
    former_limit_per_s: Annotated[
        float | None, Meta(description="The limit that held before; null for none.")
    ] = None
    share: Annotated[
        float, Meta(description="Part of a server's turns that this host has had lately.")
    ] = 0.0
    servers: Annotated[int, Meta(description="Number of servers.")] = 0
    free_in_s: Annotated[_Seconds, Meta(description="Least time until a turn is free.")] = 0.0
    sent_lately: Annotated[
        int, Meta(description="Requests that this host sent the server in the last 4 s.")
    ] = 0
    source: Annotated[
        str, Meta(description="Where this host learned of a limit: an answer or another host.")
    ] = ""
    lag: Annotated[
        int,
        Meta(
            description="Number of versions by which submitted jobs usually lag behind the newest."
        ),
    ] = 0
    last_event: Annotated[Any, Meta(description="Last event that was forwarded.")] = None
    lease: Annotated[str, Meta(description="Name of a lease.")] = ""
    listed: Annotated[int, Meta(description="Number of listed results.")] = 0
    loading: Annotated[int, Meta(description="Number of engines of the pool that are loading.")] = 0
    loading_limit: Annotated[
        int, Meta(description="Maximum number of engines that may load concurrently.")
    ] = 0
    may_be_recorded: Annotated[
        bool, Meta(description="Whether the store may have recorded the job.")
    ] = False
    may_have_run: Annotated[
        bool, Meta(description="Whether the server may have run the request.")
    ] = False
    min_version: Annotated[int, Meta(description="Oldest acceptable weight version.")] = 0
    mode: Annotated[str, Meta(description="How a load treats generations in progress.")] = ""
    model: Annotated[str, Meta(description="Model name.")] = ""
    moves: Annotated[
        int, Meta(description="Number of times that the sample moved to another engine.")
    ] = 0
    needed: Annotated[int, Meta(description="Smallest version that all open jobs accept.")] = 0
    newest_version: Annotated[int, Meta(description="Newest weight version of the model.")] = 0
    object_key: Annotated[str, Meta(description="Key of an object in the store.")] = ""
    oldest_version: Annotated[Any, Meta(description="Oldest weight version in the sample.")] = None
    other_address: Annotated[
        str, Meta(description="Another address that uses the same daemon id.")
    ] = ""
    outcome: Annotated[str, Meta(description="Whether the request ran, if known.")] = ""
    outstanding: Annotated[
        int, Meta(description="Number of this host's requests in flight at the server.")
    ] = 0
    owned_since_s: Annotated[
        _Seconds, Meta(description="Time since this host learnt of the owner.")
    ] = 0.0
    owner: Annotated[str, Meta(description="Host and incarnation of the owner.")] = ""
    part: Annotated[str, Meta(description="Partition of a row.")] = ""
    path: Annotated[str, Meta(description="Path of the request.")] = ""
    peer: Annotated[str, Meta(description="Name of another host.")] = ""
    peer_id: Annotated[str, Meta(description="Name of another host.")] = ""
    pieces: Annotated[int, Meta(description="Number of forwarded parts of the stream.")] = 0
    pool: Annotated[str, Meta(description="Engine pool.")] = ""
    position: Annotated[
        int,
        Meta(description="Number of listed results, including those of this call if it succeeded."),
    ] = 0
    reason: Annotated[str, Meta(description="Reason for the decision or failure.")] = ""
    remaining_s: Annotated[float, Meta(description="Time until the request's deadline.")] = 0.0
    request_id: Annotated[
        str | None, Meta(description="Identifier of a request or batch item.")
    ] = ""
    requests: Annotated[int, Meta(description="Number of requests left unanswered.")] = 0
    results: Annotated[int, Meta(description="Number of results in the call.")] = 0
    resume_after: Annotated[Any, Meta(description="Event after which the stream is resumed.")] = (
        None
    )
    resumed_after: Annotated[
        int | None, Meta(description="Event after which the run was resumed.")
    ] = None
    retry_after_s: Annotated[
        float | None, Meta(description="Retry delay that is reported to the caller.")
    ] = None
    retry_in_s: Annotated[_Seconds, Meta(description="Time until the next attempt.")] = 0.0
    revision: Annotated[Any, Meta(description="Revision of the document.")] = None
    route: Annotated[str, Meta(description="Route name.")] = ""
    routes: Annotated[int, Meta(description="Number of routes.")] = 0
    sample_id: Annotated[str, Meta(description="Sample identifier.")] = ""
    samples: Annotated[int, Meta(description="Number of samples.")] = 0
    send: Annotated[
        int, Meta(description="Number of the attempt to send the request, starting at 1.")
    ] = 0
    server: Annotated[str, Meta(description="Backend server.")] = ""
    server_id: Annotated[str, Meta(description="Backend server.")] = ""
    service: Annotated[str, Meta(description="Service name.")] = ""
    services: Annotated[int, Meta(description="Number of services.")] = 0
    set_aside: Annotated[Any, Meta(description="Whether orders to the engine are suspended.")] = (
        None
    )
    silent_s: Annotated[_Seconds, Meta(description="Time without a response.")] = 0.0
    size_bytes: Annotated[int, Meta(description="Size in bytes.")] = 0
    staleness_versions: Annotated[
        float, Meta(description="Staleness at delivery, in versions.")
    ] = 0.0
    started_ms: Annotated[
        int, Meta(description="Start of the server's process, in Unix milliseconds.")
    ] = 0
    state: Annotated[str, Meta(description="State of the job.")] = ""
    status: Annotated[
        int | str, Meta(description="HTTP status, or membership status of a host.")
    ] = 0
    step: Annotated[int | None, Meta(description="Training step.")] = 0
    store: Annotated[str, Meta(description="Name of the store.")] = ""
    store_address: Annotated[str, Meta(description="Address of the store.")] = ""
    suspected: Annotated[
        bool, Meta(description="Whether the server is suspected after a recent failure.")
    ] = False
    table: Annotated[str, Meta(description="Store table.")] = ""
    term_s: Annotated[_Seconds, Meta(description="How long such requests are refused.")] = 0.0
    tokens: Annotated[int, Meta(description="Number of generated tokens that are kept.")] = 0
    took_s: Annotated[_Seconds, Meta(description="Duration, from the monotonic clock.")] = 0.0
    total: Annotated[int, Meta(description="Number of items of the job.")] = 0
    trainer: Annotated[str, Meta(description="Trainer name.")] = ""
    trials: Annotated[int, Meta(description="Number of trials of the request so far.")] = 0
    undecided_s: Annotated[
        float, Meta(description="Time from the first unanswered request to the decision.")
    ] = 0.0
    unfinished: Annotated[int, Meta(description="Number of items without a result.")] = 0
    unit: Annotated[Any, Meta(description="Unit of work.")] = None
    units: Annotated[Any, Meta(description="Units of work.")] = None
    unlisted: Annotated[int, Meta(description="Number of results that are not yet listed.")] = 0
    version: Annotated[
        int, Meta(description="Version of weights, of a configuration or of a row.")
    ] = 0
    versions: Annotated[
        list[int] | dict[str, int],
        Meta(description="Weight versions of a text, or version by model."),
    ] = []
    view_age_s: Annotated[float, Meta(description="Age of the view of hosts.")] = 0.0
    void: Annotated[Any, Meta(description="Number of units excluded from the delivery.")] = None
    waited_s: Annotated[
        _Seconds, Meta(description="Time in the queue, or since the text was complete.")
    ] = 0.0
    what: Annotated[str, Meta(description="The store call.")] = ""
    work: Annotated[str, Meta(description="Name of the background task.")] = ""
    zone: Annotated[str, Meta(description="Availability zone.")] = ""


class LogEvent(Value, frozen=True):
    """A log event: when it is written, and its fields."""

    when: str
    fields: tuple[str, ...]


def _event(when: str, fields: str = "") -> LogEvent:
    return LogEvent(when=when, fields=tuple(fields.split()))


# Events of platform daemons.
PLATFORM_EVENTS: Mapping[str, LogEvent] = {
    "started": _event("A daemon has started serving.", "owner callers_address zone store_address"),
    "stopping": _event("SIGTERM or SIGINT was received; no new work is accepted.", "grace_s"),
    "stopped": _event("The daemon has stopped.", "took_s"),
    "settings_reloaded": _event(
        "SIGHUP was received and the settings file is valid.", "changed_until_restart"
    ),
    "settings_not_reloaded": _event(
        "SIGHUP was received and the settings file is invalid.", "reason"
    ),
    "configuration_in_force": _event(
        "A newer configuration was read and is in force.", "version former_version routes services"
    ),
    "operator_row_unreadable": _event(
        "A row written by an operator or trainer is malformed.", "key error"
    ),
    "version_named": _event("A trainer has published a new weight version.", "model version"),
    "server_registered": _event(
        "A backend server was registered.", "server service address zone draining versions"
    ),
    "server_changed": _event(
        "A backend server's registration has changed.",
        "server service address zone draining versions",
    ),
    "server_entry_removed": _event("A backend server's registration was removed.", "server reason"),
    "server_gone": _event(
        "A server is considered gone; logged when its service is next used.", "server"
    ),
    "server_end_judged": _event(
        "It was decided whether a server that left requests unanswered had ended.",
        "server started_ms ended reason requests undecided_s view_age_s",
    ),
    "server_end_not_watched": _event(
        "Too many servers are watched after unanswered requests.", "server"
    ),
    "request_suspected": _event(
        "A server ended, or may have ended, while running a request.",
        "fingerprint crash ends certain age_s",
    ),
    "request_convicted": _event(
        "Similar requests are temporarily refused.", "fingerprint crashes term_s"
    ),
    "suspect_cleared": _event("A suspected request ran without a crash.", "fingerprint ends"),
    "request_refused_as_convicted": _event(
        "A request was refused because servers ended under such requests.",
        "request_id fingerprint convicted culprit doubtful crashes trials reason",
    ),
    "request_tried": _event(
        "A convicted request is sent again, once for all hosts.",
        "request_id fingerprint convicted culprit doubtful ends trials",
    ),
    "trial_passed": _event(
        "A server answered the trial of a convicted request; the trial is given back.",
        "fingerprint culprit",
    ),
    "trial_postponed": _event(
        "A convicted request would be tried now, but all servers of its service seem down.",
        "request_id fingerprint",
    ),
    "trial_given_back": _event(
        "A trial broke at a server that had ended before; it counts no more.",
        "fingerprint crash",
    ),
    "trial_not_claimed": _event(
        "A convicted request is not sent: another host tries it, or the store is away.",
        "fingerprint reason",
    ),
    "crash_not_reported": _event(
        "The end of a server is not recorded: there are too many reports.", "crash requests"
    ),
    "crash_report_refuted": _event(
        "A process that was reported to have ended has answered this host since.", "crash"
    ),
    "crash_row_unreadable": _event("A row on servers' ends is malformed.", "key error"),
    "crash_row_not_written": _event(
        "A row on servers' ends could not be written; it is retried.", "key reason"
    ),
    "server_leaving_announced": _event(
        "A server announced in an answer that it leaves; it gets no new requests.",
        "server started_ms service outstanding",
    ),
    "server_limit_changed": _event(
        "A server names another limit for the requests that it takes, or none any more.",
        "server service limit_per_s former_limit_per_s source sent_lately",
    ),
    "server_limit_unreadable": _event(
        "An answer's limit is no non-negative number and is ignored.", "server limit"
    ),
    "limited_send": _event(
        "A request is sent to a server that limits the requests that it takes.",
        "request_id server limit_per_s age_s share sent_lately",
    ),
    "limit_refused": _event(
        "A request got no turn in time at the servers that limit the requests that they take.",
        "request_id service servers limit_per_s share free_in_s retry_after_s",
    ),
    "limit_uncoordinated": _event(
        "The store takes no reservation of turns; this host uses its own share for a while.",
        "server limit_per_s reason",
    ),
    "limit_row_unreadable": _event("A row on a server's limit is malformed.", "key error"),
    "limit_row_not_written": _event(
        "A row on a server's limit could not be written; it is retried.", "key reason"
    ),
    "server_entry_unusable": _event(
        "A backend server's registration names no server to use.", "server version error"
    ),
    "store_lost": _event(
        "A direct store call failed while the store was considered reachable.", "reason"
    ),
    "store_regained": _event("A direct store call succeeded after failures."),
    "feed_unavailable": _event(
        "A feed does not respond; logged once per interruption.", "table error age_s"
    ),
    "report_missing": _event("An engine gave no report that can be read.", "server error"),
    "feed_row_not_applied": _event(
        "A row of a feed could not be applied and is skipped.", "table part key version exc_info"
    ),
    "feed_regained": _event("A feed responds again.", "table silent_s"),
    "feed_history_lost": _event(
        "The store no longer has all changes; the rows are read again.", "table version"
    ),
    "relay_chosen": _event("Store calls are relayed by a peer.", "peer"),
    "relay_channel_closed": _event("The relay channel to a peer has closed (debug).", "reason"),
    "relay_request_malformed": _event("A peer's relay request is malformed.", "reason"),
    "host_seen": _event("A new host or a new incarnation of a host was seen.", "peer incarnation"),
    "owner_refuses": _event(
        "The host of a silent owner refuses connections: its daemon is gone.",
        "owner address view_age_s",
    ),
    "owner_unanswered": _event(
        "The host of a silent owner does not respond: a shorter silence suffices for takeover.",
        "owner address view_age_s",
    ),
    "beat_not_written": _event("A heartbeat could not be written.", "reason"),
    "beat_unreadable": _event("A host's heartbeat row is malformed.", "peer error"),
    "request_sent": _event(
        "A plain request is sent to a server.",
        "request_id route server send remaining_s expected_s outstanding candidates suspected",
    ),
    "send_failed": _event(
        "An attempt to send a request has failed.",
        "request_id fingerprint server started_ms error may_have_run",
    ),
    "request_answered": _event(
        "A server's response was forwarded.", "request_id route status took_s"
    ),
    "request_failed": _event(
        "A request failed with an error of this daemon; routing by document omits `path`.",
        "request_id job_id path status code outcome error retry_after_s took_s reason",
    ),
    "request_crashed": _event(
        "An unexpected error of this daemon; the request may have run.", "request_id path exc_info"
    ),
    "route_unknown": _event(
        "No route matches the request.", "request_id asked_host path configuration"
    ),
    "caller_left": _event(
        "The caller disconnected before its response was complete.", "path reason"
    ),
    "stream_sent": _event(
        "A streaming request is sent to an engine.",
        "request_id route server resume_after remaining_s outstanding",
    ),
    "stream_broke": _event(
        "An engine's stream ended before it was complete.",
        "request_id fingerprint server started_ms error last_event",
    ),
    "stream_not_resumed": _event(
        "A server answered a resumed stream with an error instead of its events.",
        "request_id server status last_event",
    ),
    "stream_answered": _event(
        "A stream was forwarded to its end.", "request_id route pieces took_s"
    ),
    "job_accepted": _event(
        "A batch job was recorded.",
        "job_id owner reason items step model min_version desired_groups took_s",
    ),
    "job_repeated": _event("A known batch job was submitted again.", "job_id"),
    "job_not_accepted": _event(
        "A batch job was not accepted.", "job_id reason may_be_recorded took_s"
    ),
    "job_begun": _event(
        "The owner has loaded a job and starts to run it.",
        "job_id epoch items listed kept_texts carried_over step model min_version age_s",
    ),
    "job_not_loaded": _event("A job could not be loaded; it is tried again.", "job_id reason"),
    "job_claim": _event(
        "This host claims a job without a live owner.",
        "job_id former_owner epoch owned_since_s view_age_s",
    ),
    "job_claim_lost": _event("Another host claimed the job first.", "job_id reason"),
    "job_claim_failed": _event("The claim of a job could not be written.", "job_id reason"),
    "job_dropped": _event(
        "This host stopped running a job.", "job_id epoch reason listed unlisted unfinished age_s"
    ),
    "job_ended": _event("The caller ended a job.", "job_id owner version"),
    "job_not_closed": _event(
        "A job with all results could not be marked as done.", "job_id reason"
    ),
    "job_not_handed_over": _event("The ownership of a job could not be released.", "job_id reason"),
    "job_conflict": _event("The rows of a job have changed unexpectedly.", "job_id reason"),
    "job_not_read": _event("A job could not be read again after a conflict.", "job_id reason"),
    "job_unreadable": _event("A job's row is malformed.", "job_id error"),
    "job_swept": _event("The rows of a closed job were deleted.", "job_id state"),
    "job_not_swept": _event("The rows of a closed job could not be deleted.", "job_id reason"),
    "item_run": _event(
        "A run of an item at one engine has ended.",
        "job_id request_id group server choice end detail resumed_after events versions took_s",
    ),
    "score_call": _event(
        "A scoring call for the complete text of an item has ended; it is repeated unless the item "
        "is scored or terminated.",
        "job_id request_id group call_id service end detail failures waited_s took_s",
    ),
    "item_terminated": _event(
        "An item was terminated without a complete result.", "job_id request_id reason failures"
    ),
    "batch_task_failed": _event("A task of the batch runner failed unexpectedly.", "exc_info"),
    "texts_not_kept": _event(
        "The partial texts of unfinished items could not be written.", "job_id reason"
    ),
    "results_listed": _event("Results were listed.", "job_id results position"),
    "results_not_listed": _event(
        "Results could not be listed; the write is retried.", "job_id results position reason"
    ),
    "results_read": _event(
        "A page of results was returned to a reader.", "job_id after results total took_s"
    ),
    "order_planned": _event(
        "A load order for an engine was decided.",
        "server model version from_version reason mode fencing_number expected_orders needed lag "
        "loading loading_limit behind",
    ),
    "order_answered": _event(
        "An engine has responded to a load order.", "server model version answer detail"
    ),
    "order_not_confirmed": _event(
        "No report has confirmed a load order in time.", "server version"
    ),
    "engine_loaded": _event(
        "An engine has loaded the ordered version.", "server model version took_s"
    ),
    "lease_acquired": _event(
        "This host acquired a lease; leases with guards have `lease` and `fencing_number`.",
        "epoch former acts_in_s lease fencing_number",
    ),
    "lease_not_acquired": _event(
        "Another host acquired the lease first, or the store failed.", "lease reason"
    ),
    "lease_lost": _event("This host no longer holds a lease.", "epoch lease reason"),
    "hand_over_failed": _event("A stopping daemon could not release its work.", "exc_info"),
    "lease_row_unreadable": _event("The row of a lease is malformed.", "key error"),
    "lease_not_renewed": _event("A lease renewal failed.", "reason"),
    "lease_not_released": _event("A lease could not be released.", "lease reason"),
    "background_work_failed": _event("A background task failed and is restarted.", "work exc_info"),
}

# Events of daemons that are configured by environment documents.
PRODUCT_EVENTS: Mapping[str, LogEvent] = {
    "serving": _event("A daemon has started serving.", "address"),
    "configuration_unavailable": _event("Environment documents could not be read.", "error reason"),
    "revision_in_force": _event(
        "A revision of a document came into force.", "environment revision digest reason"
    ),
    "revision_digest_differs": _event(
        "Two different documents have the same revision.", "key revision"
    ),
    "revision_unreadable": _event("A stored document is malformed.", "key reason"),
    "unexpected_error": _event("A request handler raised an unexpected error.", "path exc_info"),
    "engine_chosen": _event(
        "An engine was chosen for a generation.",
        "request_id pool server_id waited_s considered reason",
    ),
    "host_chosen": _event(
        "A server was chosen for a service request.",
        "request_id service server_id reason considered",
    ),
    "attempt_failed": _event(
        "A generation attempt at an engine failed.", "request_id error held_tokens retry_in_s"
    ),
    "call_retried": _event("A service request is retried.", "request_id error"),
    "outcome_not_recorded": _event(
        "The outcome of a service request could not be recorded.", "key error"
    ),
    "conviction_cleared": _event("A convicted request ran without a crash.", "fingerprint"),
    "trial_owner_unreachable": _event(
        "The daemon that tries a suspect does not respond.", "owner error"
    ),
    "member_changed": _event(
        "The membership status of a daemon has changed.", "peer status incarnation reason"
    ),
    "member_suspected": _event("A daemon does not respond.", "peer reason"),
    "own_status_refuted": _event(
        "This daemon refuted a report that it is suspect or gone.", "status incarnation"
    ),
    "daemon_id_duplicated": _event("Two daemons use the same id.", "peer other_address reason"),
    "peer_dial_failed": _event(
        "A connection to a peer could not be opened (debug).", "address reason"
    ),
    "peer_link_refused": _event("A link with a peer was refused.", "reason code"),
    "host_list_doubted": _event(
        "A host list lacks most known hosts; more reads must confirm it.", "absent known"
    ),
    "host_list_unavailable": _event("The host list could not be read.", "reason"),
    "server_leaving": _event("A server is leaving.", "server incarnation reason"),
    "server_suspected": _event("A server does not respond.", "server reason"),
    "spread_item_refused": _event(
        "A gossip entry of a peer was rejected.", "kind key size_bytes held"
    ),
    "spread_item_unreadable": _event("A gossip entry of a peer is malformed.", "kind key reason"),
    "store_call_failed": _event("A store call failed.", "store what reason"),
    "store_unavailable": _event("A store call failed; the work is retried.", "error retry_in_s"),
    "versions_unavailable": _event("Published weight versions could not be read.", "error"),
    "weight_store_unavailable": _event("The weight store failed.", "error"),
    "engine_ordered": _event(
        "An order is sent to an engine.", "server_id model version kind fencing_number reason"
    ),
    "engine_unreadable": _event("An engine's report is unusable.", "error"),
    "order_failed": _event(
        "An order to an engine failed.", "server_id model version kind error set_aside"
    ),
    "order_withheld": _event("An order to an engine is withheld.", "server_id reason"),
    "steps_held": _event(
        "This daemon acquired the lease for a trainer's steps.", "trainer epoch reason"
    ),
    "lease_lapsed": _event("The lease for a trainer's steps has expired.", "trainer"),
    "turn_failed": _event("An iteration of the work on a trainer's steps failed.", "trainer"),
    "rows_changed": _event("The rows of a trainer have changed unexpectedly.", "trainer error"),
    "work_dropped": _event(
        "This daemon stopped working on a trainer's steps.", "trainer epoch reason"
    ),
    "step_object_missing": _event("The object of a step is missing.", "step"),
    "unit_placed": _event(
        "A unit of work was assigned to a daemon.",
        "step unit generation samples chosen free_here free_there reason",
    ),
    "unit_failed": _event("A unit of work failed.", "step unit error"),
    "units_expired": _event(
        "Units of work exceeded the staleness limit.", "trainer units newest_version reason"
    ),
    "peer_lost_job": _event(
        "A daemon became unreachable while it ran a unit of work.", "peer_id error"
    ),
    "sample_interrupted": _event(
        "A sample was interrupted and continues on another engine.",
        "trainer step group index tokens moves oldest_version reason",
    ),
    "batch_committed": _event(
        "A batch of samples was recorded.", "trainer epoch units samples reason"
    ),
    "batch_object_missing": _event("The object of a batch of samples is missing.", "object_key"),
    "delivery_recorded": _event(
        "A delivery to a trainer was recorded.",
        "trainer cursor after newest_version units void reason",
    ),
    "pacing_decided": _event(
        "The number of steps by which generation runs ahead of a trainer has changed.",
        "before_steps ahead_steps idle_ratio staleness_versions reason",
    ),
    "grade_kept": _event("Another grade for a graded sample was ignored.", "sample_id reason"),
    "grades_not_recorded": _event("Grades could not be recorded.", "error"),
    "scoring_failed": _event("A scoring service failed.", "sample_id server_id error"),
}

EVENTS: Mapping[str, LogEvent] = {**PLATFORM_EVENTS, **PRODUCT_EVENTS}
