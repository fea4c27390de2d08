"""Checks of numbers in values that were decoded from outside."""

from citrondeal.numbers import _checks

__all__ = ["is_finite"]

is_finite = _checks.is_finite
