"""Daemon that routes callers' requests to the endpoints of services."""
