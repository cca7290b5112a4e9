"""Tests of the types of calls and of the order of the packages."""
