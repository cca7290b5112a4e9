"""Tests of the registry of backend servers."""
