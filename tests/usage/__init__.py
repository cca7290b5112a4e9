"""Tests of usage reports."""
