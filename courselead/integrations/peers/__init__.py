"""Streams of reports between entry hosts.

Each entry host opens one stream to each peer and sends its reports on it; it
receives the peers' reports on the streams that they open. Both ends of a stream
send a hello first, which identifies them.
"""

from courselead.integrations.peers.coordinator import PeerCoordinator
from courselead.integrations.peers.errors import PeerListenFailed

__all__ = ["PeerCoordinator", "PeerListenFailed"]
