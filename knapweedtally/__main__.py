"""Run ``knapweedtally COMMAND``."""

import signal
import sys


def main() -> None:
    """Run the command line and exit with its code."""
    if sys.argv[1:] == ["entry"]:
        # The settings are read later than this, so a change that is signalled
        # during the start is not missed; by default the signal ends a process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # The process that serves callers on the platform doesn't load the
        # command line's libraries, which it would pay for in memory.
        from knapweedtally.entry import process

        process.main()
        return
    from knapweedtally.management import application

    sys.exit(application.make_application().run())


if __name__ == "__main__":
    main()
