"""Tests of forwarding calls to backend servers."""
