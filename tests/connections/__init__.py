"""Bounds over all connections."""
