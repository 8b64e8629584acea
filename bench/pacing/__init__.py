"""Compare policies of pacing in a simulation, without sockets."""
