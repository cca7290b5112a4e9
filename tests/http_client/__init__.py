"""Tests of the bounded HTTP client."""
