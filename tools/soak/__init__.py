"""Randomized soak test of a cell of real processes with external faults."""
