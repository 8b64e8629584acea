"""Tests of the conversion from and to the platform's formats."""
