"""Conversion between the platform's formats and the project's own types.

This package only encodes and decodes; it makes no decisions. The platform's
own names appear in no other package.
"""
