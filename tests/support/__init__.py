"""Shared parts of the tests."""
