"""Randomized soak of a cell: real processes, faults from outside them."""
