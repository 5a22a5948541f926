"""Errors of the configuration library."""

from filbertlift_core import exceptions


class ConfigError(exceptions.FilbertliftError):
    """Base of the errors of this library."""

    code = "FL-CONFIG"


class SectionError(ConfigError):
    """Bytes are not a canonical, valid section."""

    code = "FL-SECTION"


class SnapshotError(ConfigError):
    """A version is incomplete, altered or invalid as a whole."""

    code = "FL-SNAPSHOT"


class RouteError(ConfigError):
    """No route for a call."""

    code = "FL-ROUTE"


class UnknownServiceError(RouteError):
    """The version in force has no such service."""

    code = "FL-UNKNOWN-SERVICE"


class CallerRefusedError(RouteError):
    """The service that has the records does not list the caller."""

    code = "FL-CALLER-REFUSED"


class TokenError(ConfigError):
    """A caller's token is malformed, expired or not signed by its key."""

    code = "FL-TOKEN"
