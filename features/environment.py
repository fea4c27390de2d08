"""Hooks that behave runs for the scenarios of all packages."""

import logging


def before_all(context):
    """Suppress log lines below CRITICAL, which would fill the report."""
    logging.getLogger().setLevel(logging.CRITICAL)
