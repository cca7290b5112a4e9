"""Tests of ``burdockledge.wire``."""
