"""The decision logic, without access to clocks, sockets or random numbers."""
