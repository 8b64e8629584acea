"""Run ``knapweedtally COMMAND``."""

import sys

from knapweedtally.management import application


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(application.make_application().run())


if __name__ == "__main__":
    main()
