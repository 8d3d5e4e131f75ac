"""Measurements; each module states its command and prints its figures."""
