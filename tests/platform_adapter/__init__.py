"""
Tests of ``burdockledge.platform``.

A package named ``platform`` would hide the standard module.
"""
