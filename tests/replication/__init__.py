"""Tests of ``burdockledge.replication``."""
