"""Compare load shedding policies in a simulation, without sockets."""
