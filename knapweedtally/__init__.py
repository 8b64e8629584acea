"""A database proxy with session consistency."""

VERSION = "0.1.0"
