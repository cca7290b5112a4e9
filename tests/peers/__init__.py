"""Tests of ``burdockledge.peers``."""
