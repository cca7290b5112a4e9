"""Tests of ``platform``; that name would hide the standard module."""
