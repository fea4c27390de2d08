"""Builds the identity of a running process."""

import uuid

from citrondeal import peers


def identity_of(config, role):
    """Return the identity of this process with a new random incarnation.

    Parameters
    ----------
    config : citrondeal.config.GatewayConfig or SchedulerConfig
        Settings of the daemon.
    role : {"gateway", "scheduler"}
        Role of the daemon.

    Returns
    -------
    citrondeal.peers.Identity
    """
    return peers.Identity(
        process=config.process.name,
        incarnation=uuid.uuid4().hex[:12],
        zone=config.process.zone,
        role=role,
    )
