"""Streams of reports between entry hosts.

Each entry host opens one stream to each peer and sends its reports on it; what
comes in on the peers' streams are the peers' reports. Both ends of a stream
say hello first, so that each knows whom it talks to.
"""

from courselead.integrations.peers.coordinator import PeerCoordinator
from courselead.integrations.peers.errors import PeerListenFailed

__all__ = ["PeerCoordinator", "PeerListenFailed"]
