"""Cluster scheduler for services, batch jobs and gangs."""

__all__ = ["__version__"]

__version__ = "0.1.0"
