"""Announcement of state that a balancer lacks."""

from typing import NamedTuple

from sapphirelift.core.l4 import messages


class NewerReplica(NamedTuple):
    """A peer that has announced state that this balancer lacks.

    Attributes:
        since_ms: When this balancer first heard that it lacks something.
        has_renewed: Whether it has begun its watches again since then.
    """

    address: messages.Address
    configuration_version: int
    configuration_revision: int
    has_directory: bool
    since_ms: int
    has_renewed: bool = False

    def is_older_than(self, other: "NewerReplica") -> bool:
        """Returns whether another peer has a newer configuration."""
        return (self.configuration_version, self.configuration_revision) < (
            other.configuration_version,
            other.configuration_revision,
        )
