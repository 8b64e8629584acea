"""One loop that turns input into events and runs effects."""
