"""Print the table: ``python -m bench.pacing``."""

from bench.pacing import scenarios

if __name__ == "__main__":
    print(scenarios.format_table(range(3)))
