"""Exit codes of the commands."""

OK = 0
FAILED = 1
INVALID = 3
CONFLICT = 4
UNREACHABLE = 5
UNKNOWN_OUTCOME = 6

DESCRIPTIONS = {
    OK: "done",
    FAILED: "refused or not found; the message says why",
    INVALID: "mistakes in the settings, the bundle or the options",
    CONFLICT: "another operator's change came first; nothing was changed",
    UNREACHABLE: "the platform or the host gave no answer; nothing was changed",
    UNKNOWN_OUTCOME: "no answer; the change may have been made",
}


def describe_exit_codes() -> str:
    """Return the exit codes as text for the help of a command."""
    lines = [f"  {code}  {text}" for code, text in DESCRIPTIONS.items()]
    return "\n".join(["Exit codes:", *lines])
