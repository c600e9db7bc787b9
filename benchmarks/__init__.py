"""Benchmarks; each is run as a module."""
