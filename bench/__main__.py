"""Load tool: ``python -m bench list`` shows its commands."""

import sys

from bench import commands

if __name__ == "__main__":
    sys.exit(commands.make_application().run())
