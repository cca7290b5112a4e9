"""Tests of ``burdockledge.backends``."""
