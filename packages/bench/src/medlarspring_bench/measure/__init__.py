"""Measurements of the product, run as commands that print their figures."""
