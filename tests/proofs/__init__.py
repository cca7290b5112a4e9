"""Fault-injection, fuzzing and model-checking tests of the invariants."""
