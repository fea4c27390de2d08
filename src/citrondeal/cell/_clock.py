"""Clock for leases and timeouts; it also counts while suspended."""

from citrondeal import lifecycle

now = lifecycle.boot_time_s
