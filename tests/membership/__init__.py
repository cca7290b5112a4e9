"""Tests of ``burdockledge.membership``."""
