"""Names of the platform's HTTP headers and store tables."""

__all__ = [
    "ATTEMPT_HEADER",
    "DEADLINE_HEADER",
    "EXPECT_INSTANCE_HEADER",
    "EXPECT_VERSION_HEADER",
    "INSTANCE_HEADER",
    "LAST_EVENT_HEADER",
    "LEAVING_HEADER",
    "LIMIT_HEADER",
    "NOT_RUN_HEADER",
    "OPERATOR_TABLE",
    "SERVERS_TABLE",
    "SIGNATURE_HEADER",
    "VERSION_HEADER",
    "WAIT_HEADER",
]

# Despite its name, this identifies the caller's request, not one of this host's attempts at a
# backend server.
ATTEMPT_HEADER = "X-Verbenawind-Attempt-Id"
# A duration, not a point in time: how long the caller still waits, in milliseconds.
DEADLINE_HEADER = "X-Verbenawind-Deadline-Ms"
EXPECT_INSTANCE_HEADER = "X-Verbenawind-Expect-Instance"
EXPECT_VERSION_HEADER = "X-Verbenawind-Expect-Version"
INSTANCE_HEADER = "X-Verbenawind-Instance-Id"
LAST_EVENT_HEADER = "Last-Event-Id"
# The value 1 in any response of a server that will end soon.
LEAVING_HEADER = "Server-Leaving"
# The requests a second that a server in need takes from all hosts together.
LIMIT_HEADER = "Server-Limit"
NOT_RUN_HEADER = "X-Verbenawind-Not-Executed"
SIGNATURE_HEADER = "X-Verbenawind-Server-Stamp"
# Holds a single version, despite the plural.
VERSION_HEADER = "X-Verbenawind-Weight-Versions"
WAIT_HEADER = "X-Verbenawind-Wait-Ms"

OPERATOR_TABLE = "op"
SERVERS_TABLE = "servers"
