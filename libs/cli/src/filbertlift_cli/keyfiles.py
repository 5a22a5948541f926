"""Commands `keygen` and `token`: callers' keys, and tokens for tests."""

import os
import pathlib

from filbertlift_cli import output
from filbertlift_config import exceptions as config_exceptions
from filbertlift_config import tokens
from filbertlift_core import env
from filbertlift_core import exceptions


class KeyFileError(exceptions.FilbertliftError):
    """A private key file cannot be read or written."""

    code = "FL-KEY-FILE"


def generate_key_file(path: pathlib.Path, out: output.Output) -> int:
    """Writes a new private key and prints its public key.

    Raises:
        KeyFileError: if the file exists or cannot be written.
    """
    pair = tokens.generate_key()
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        # Only the owner may read the private key.
        descriptor = os.open(path, flags, 0o600)
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}") from error
    with os.fdopen(descriptor, "w", encoding="ascii") as stream:
        stream.write(pair.private_key + "\n")
    out.print_line(pair.public_key)
    return env.EXIT_OK


def print_token(
    path: pathlib.Path,
    caller: str,
    lifetime_s: float,
    now: float,
    out: output.Output,
) -> int:
    """Prints a token signed with the key in a file.

    Raises:
        KeyFileError: if the file cannot be read or has no valid key.
    """
    try:
        key = path.read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise KeyFileError(f"{path}: cannot be read: {error}") from error
    try:
        out.print_line(tokens.sign_token(key, caller, now, lifetime_s))
    except config_exceptions.TokenError as error:
        raise KeyFileError(f"{path}: {error.message}") from error
    return env.EXIT_OK
