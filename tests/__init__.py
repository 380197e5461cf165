"""Tests of dandelionarch."""
