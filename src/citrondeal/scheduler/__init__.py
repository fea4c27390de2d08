"""Daemon that places jobs on workers and serves the operators' API."""
