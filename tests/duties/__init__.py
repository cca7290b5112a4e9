"""Tests of the duties of one host at a time."""
