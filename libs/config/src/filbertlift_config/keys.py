"""The table of all keys of an operator's file, with checks of their values."""

import base64
import binascii
from collections.abc import Callable
import json
import re
from typing import Any
from typing import Final

import attrs

from filbertlift_core import model

# A name is part of a URL path and of a token, which uses dots as separators.
_NAME = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?")
_METHOD = re.compile(r"[A-Z]{1,16}")
_PATH = re.compile(r"/|(?:/[A-Za-z0-9._~!$&'()*+,;=:@%-]+)+")
_DURATION = re.compile(r"([0-9]{1,9})(ms|s|m|h)")
_UNITS_MS = {"ms": 1, "s": 1_000, "m": 60_000, "h": 3_600_000}
MAX_PATH_BYTES: Final = 512
ED25519_KEY_BYTES: Final = 32

Check = Callable[[Any], Any]


@attrs.frozen
class Key:
    """One key of an operator's file.

    Attributes:
        name: name inside its table.
        table: `""` for the top level, else `freshness`, `records`,
            `operations` or `identity`.
        check: returns the value for the section; raises ValueError.
        default: the default as written in a file; None when required.
        unit: unit of the value, or `-`.
        allowed: what is allowed, in words.
        help: one sentence for the documentation.
    """

    name: str
    table: str
    check: Check
    default: Any
    unit: str
    allowed: str
    help: str

    @property
    def path(self) -> str:
        """The name with its table, such as `operations.class`."""
        return f"{self.table}.{self.name}" if self.table else self.name


def check_name(value: Any) -> str:
    """Returns the name of a service or caller; raises ValueError."""
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise ValueError(value)
    return value


def check_path(value: Any) -> str:
    """Returns a path without . and .. segments; raises ValueError."""
    if not isinstance(value, str) or len(value) > MAX_PATH_BYTES:
        raise ValueError(value)
    segments = value.split("/")
    if not _PATH.fullmatch(value) or "." in segments or ".." in segments:
        raise ValueError(value)
    return value


def check_method(value: Any) -> str:
    """Returns an HTTP method in capitals; raises ValueError."""
    if not isinstance(value, str) or not _METHOD.fullmatch(value):
        raise ValueError(value)
    return value


def check_flag(value: Any) -> bool:
    """Returns a boolean; raises ValueError for any other type."""
    if not isinstance(value, bool):
        raise ValueError(value)
    return value


def check_public_key(value: Any) -> str:
    """Returns the base64 text of an Ed25519 key; raises ValueError."""
    if not isinstance(value, str) or len(value) > 2 * ED25519_KEY_BYTES:
        raise ValueError(value)
    try:
        raw = base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError) as error:
        raise ValueError(value) from error
    if len(raw) != ED25519_KEY_BYTES:
        raise ValueError(value)
    if base64.b64encode(raw).decode("ascii") != value:
        raise ValueError(value)
    return value


def check_class(value: Any) -> model.WorkClass:
    """Returns the class of work; raises ValueError."""
    if not isinstance(value, str) or value not in WORK_CLASSES:
        raise ValueError(value)
    return WORK_CLASSES[value]


def make_integer_check(low: int, high: int) -> Check:
    """Returns a check for integers from `low` to `high`."""

    def check(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError(value)
        if not low <= value <= high:
            raise ValueError(value)
        return value

    return check


def make_duration_check(low_ms: int, high_ms: int) -> Check:
    """Returns a check that converts durations such as 15s to milliseconds."""

    def check(value: Any) -> int:
        match = _DURATION.fullmatch(value) if isinstance(value, str) else None
        if match is None:
            raise ValueError(value)
        milliseconds = int(match[1]) * _UNITS_MS[match[2]]
        if not low_ms <= milliseconds <= high_ms:
            raise ValueError(value)
        return milliseconds

    return check


def make_word_check(words: tuple[str, ...]) -> Check:
    """Returns a check that allows only the given words."""

    def check(value: Any) -> str:
        if not isinstance(value, str) or value not in words:
            raise ValueError(value)
        return value

    return check


def make_list_check(check_item: Check, limit: int) -> Check:
    """Returns a check for a list of at most `limit` items, no duplicates."""

    def check(value: Any) -> tuple[Any, ...]:
        if not isinstance(value, list) or len(value) > limit:
            raise ValueError(value)
        items = tuple(check_item(item) for item in value)
        if len(set(items)) != len(items):
            raise ValueError(value)
        return items

    return check


WORK_CLASSES: Final = {
    "check": model.WorkClass.CHECK,
    "counter": model.WorkClass.COUNTER,
    "long": model.WorkClass.LONG,
}
MAX_CALLERS: Final = 256
MAX_KEYS: Final = 4
MAX_RECORDS: Final = 256
MAX_OPERATIONS: Final = 128

_NAME_RULE = "1 to 63 of a-z, 0-9 and -, no - at either end"
_PATH_RULE = "a path such as /a/b of whole segments, at most 512 characters"

KEYS: Final = (
    Key(
        "service", "", check_name, None, "-", _NAME_RULE,
        "Name of the service that the file describes.",
    ),
    Key(
        "caller", "", check_name, None, "-", _NAME_RULE,
        "Name of a caller that is not a service; excludes service.",
    ),
    Key(
        "callers", "", make_list_check(check_name, MAX_CALLERS), [], "-",
        "up to 256 different names of services and callers",
        "Who may call the service.",
    ),
    Key(
        "slots", "", make_integer_check(1, 10_000), 16, "calls",
        "1 to 10000", "Concurrent calls that one target takes.",
    ),
    Key(
        "connections", "", make_integer_check(1, 65_535), 100, "connections",
        "1 to 65535", "Connections that one target takes.",
    ),
    Key(
        "queue", "", make_integer_check(0, 100_000), 200, "calls",
        "0 to 100000", "Calls that wait beside one target.",
    ),
    Key(
        "max_age", "freshness", make_duration_check(1_000, 86_400_000), "15s",
        "duration", "1s to 24h",
        "Age of the last confirmation after which the version is stale.",
    ),
    Key(
        "when_stale", "freshness", make_word_check(("serve", "refuse")),
        "serve", "-", "serve or refuse",
        "Whether calls are served under a stale version.",
    ),
    Key(
        "path", "records", check_path, None, "-", _PATH_RULE,
        "Prefix of the paths of records that were handed over.",
    ),
    Key(
        "moved_to", "records", check_name, None, "-", _NAME_RULE,
        "Service that has these records now.",
    ),
    Key(
        "method", "operations", check_method, None, "-",
        "1 to 16 capital letters", "HTTP method of the operation.",
    ),
    Key(
        "path", "operations", check_path, None, "-", _PATH_RULE,
        "Prefix of the paths of the operation; the longest match counts.",
    ),
    Key(
        "class", "operations", check_class, "counter", "-",
        "check, counter or long",
        "Class of work; check is served first and long last.",
    ),
    Key(
        "idempotent", "operations", check_flag, False, "-", "true or false",
        "Whether running the call twice does no harm.",
    ),
    Key(
        "deadline", "operations", make_duration_check(10, 86_400_000), "5s",
        "duration", "10ms to 24h",
        "Time after which the caller no longer waits.",
    ),
    Key(
        "retries", "operations", make_integer_check(0, 5), 0, "attempts",
        "0 to 5", "Further attempts after the first.",
    ),
    Key(
        "hedge", "operations", check_flag, False, "-", "true or false",
        "Whether a slow call is sent to a second target; needs idempotent.",
    ),
    Key(
        "keys", "identity", make_list_check(check_public_key, MAX_KEYS), [],
        "-", "up to 4 different base64 Ed25519 public keys",
        "Keys that may sign the tokens of this service or caller.",
    ),
)  # fmt: skip


def select_keys(table: str) -> dict[str, Key]:
    """Returns the keys of one table by name."""
    return {key.name: key for key in KEYS if key.table == table}


def format_row(key: Key) -> str:
    """Returns the row of a key for the table in docs/configuration.md."""
    if key.default is None:
        default = "required" if key.table else "-"
    else:
        default = f"`{json.dumps(key.default)}`"
    cells = (f"`{key.path}`", default, key.unit, key.allowed, key.help)
    return f"| {' | '.join(cells)} |"
