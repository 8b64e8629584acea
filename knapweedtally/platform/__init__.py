"""The platform's names, formats and calls, translated into the project's own.

Nothing here decides anything, and no other package knows the platform's
names.
"""
