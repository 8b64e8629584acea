"""Entry point of the command line: ``knapweedtally COMMAND``."""

import signal
import sys


def main() -> None:
    """Run the command given in the arguments and exit with its exit code."""
    if sys.argv[1:] == ["entry"]:
        # SIGHUP requests a reload of the settings and by default terminates a
        # process. Ignoring it until the handler is installed loses no change,
        # because the settings are read later than this.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        # The entry process, which serves callers on the platform, bypasses the
        # command line framework to save the memory of its libraries.
        from knapweedtally.entry import process

        process.main()
        return
    from knapweedtally.management import application

    sys.exit(application.make_application().run())


if __name__ == "__main__":
    main()
