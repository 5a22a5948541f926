"""Base class of all errors; every error has a stable code."""


class FilbertliftError(Exception):
    """Base class of errors with a documented code.

    Each library defines subclasses that set `code`.

    Attributes:
        code: stable identifier, such as `FL-CORE`.
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
    """The text of a shared record could not be parsed."""

    code = "FL-MODEL"
