"""Why a stream between entry hosts was refused or closed."""


class PeerError(Exception):
    """Base of the typed reasons; the stream is closed, and opened anew later."""


class MalformedFrame(PeerError):
    """The bytes are no frame of this protocol.

    Remedy: bring both entry hosts to the same version.
    """


class WrongVersion(PeerError):
    """The peer speaks another version of the protocol.

    Remedy: bring both entry hosts to the same version.
    """


class UnknownPeer(PeerError):
    """The peer names itself other than the settings do.

    Remedy: make `peers` in the settings agree with the peer's own settings.
    """


class OldIncarnation(PeerError):
    """A newer incarnation of the peer has been heard of.

    Remedy: end the older process; only the newest may run.
    """


class HelloLate(PeerError):
    """The peer did not say hello in time.

    Remedy: check that the address is a peer's `peer_listen`.
    """


class PeerSilent(PeerError):
    """No report came, or none could be sent, for too long.

    Remedy: check the network between the two entry hosts.
    """


class TooManyStreams(PeerError):
    """Too many streams that have not said hello.

    Remedy: keep others than entry hosts from `peer_listen`.
    """


class PeerListenFailed(PeerError):
    """The listening socket could not be opened.

    Remedy: free the port, or set another `peer_listen` in the settings.
    """
