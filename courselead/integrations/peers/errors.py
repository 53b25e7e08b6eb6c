"""Errors of the streams between entry hosts."""


class PeerError(Exception):
    """Base class of protocol errors; the stream is closed and opened again later."""


class MalformedFrame(PeerError):
    """The bytes are not a frame of this protocol.

    Remedy: run the same version on both entry hosts.
    """


class WrongVersion(PeerError):
    """The peer uses another version of the protocol.

    Remedy: run the same version on both entry hosts.
    """


class UnknownPeer(PeerError):
    """The peer's name or availability zone differs from the settings.

    Remedy: change `peers` in the settings to match the peer's own settings.
    """


class OldIncarnation(PeerError):
    """A newer incarnation of the peer has already sent a hello.

    Remedy: end the older process; only the newest one may run.
    """


class HelloLate(PeerError):
    """The peer did not send a hello in time.

    Remedy: check that the address is the `peer_listen` of a peer.
    """


class PeerSilent(PeerError):
    """No report was received, or none could be sent, for too long.

    Remedy: check the network between the two entry hosts.
    """


class TooManyStreams(PeerError):
    """Too many open streams have not sent a hello.

    Remedy: allow only entry hosts to connect to `peer_listen`.
    """


class PeerListenFailed(PeerError):
    """The listening socket could not be opened.

    Remedy: free the port, or set another `peer_listen` in the settings.
    """
