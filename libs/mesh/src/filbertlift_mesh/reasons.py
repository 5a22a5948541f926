"""Reasons why a call was refused, failed or ended, as sent and logged."""

from typing import Final

NO_CONFIGURATION: Final = "no-configuration"
NO_ROUTE: Final = "no-route"
UNKNOWN_KEY: Final = "unknown-key"
OVER_QUOTA: Final = "over-quota"
NO_TARGET: Final = "no-target"
TARGET_LEAVING: Final = "target-leaving"
TARGET_DOWN: Final = "target-down"
OTHER_SERVICE: Final = "other-service"
LEAVING: Final = "leaving"
QUEUE_FULL: Final = "queue-full"
TOO_LATE: Final = "too-late"
WAIT_TOO_LONG: Final = "wait-too-long"
OVERLOADED: Final = "overloaded"
TARGET_REFUSED: Final = "target-refused"
OTHER_TARGET: Final = "other-target"
TIMEOUT: Final = "timeout"
NO_MEMORY: Final = "no-memory"
CALLER_GONE: Final = "caller-gone"
MALFORMED_ANSWER: Final = "malformed-answer"
# Prefix of the reasons that concern a link between nodes.
LINK_PREFIX: Final = "link-"

# Refusals of a keeper that show that the record of its host is out of date.
STALE_RECORD: Final = frozenset(
    (NO_TARGET, TARGET_LEAVING, TARGET_DOWN, OTHER_SERVICE, LEAVING)
)
