"""Base of all errors; every error carries a stable code."""


class FilbertliftError(Exception):
    """An error with a code that the documentation lists.

    Each library derives its own errors and sets `code` on the class.

    Attributes:
        code: stable identifier such as `FL-CORE`.
        message: what happened, in one sentence.
    """

    code = "FL-CORE"

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def __str__(self) -> str:
        return f"{self.code}: {self.message}"


class SettingError(FilbertliftError):
    """A setting has a value that is not allowed."""

    code = "FL-SETTING"


class ModelError(FilbertliftError):
    """A shared record was built from text that it does not accept."""

    code = "FL-MODEL"
