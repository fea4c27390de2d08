"""The daemon ``citrondeal-cell``: one process of a cell.

A cell is a group of processes that share one metadata store. They elect one
of them as the owner, which schedules the jobs of all clients.
"""
