"""Hooks of behave for all packages."""

import logging


def before_all(context):
    """Keep library logs out of the report."""
    logging.getLogger().setLevel(logging.CRITICAL)
