"""Tests that run the program as real processes."""
