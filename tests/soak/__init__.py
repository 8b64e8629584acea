"""Entry hosts as processes of their own under faults drawn from a seed."""
