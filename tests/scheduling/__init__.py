"""Tests of choosing servers by load, prefix cache and health."""
