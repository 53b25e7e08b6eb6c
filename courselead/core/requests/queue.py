"""Queue of one service, with a fifo for each of the three request classes."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from immutables import Map

from courselead.core.table import RequestClass

CLASSES = (RequestClass.URGENT, RequestClass.NORMAL, RequestClass.BATCH)
CLASS_INDEX = {cls: index for index, cls in enumerate(CLASSES)}


@dataclass(frozen=True, slots=True)
class Fifo:
    """First-in, first-out queue that supports removal from any position.

    Attributes:
        items: Request id by position.
        head: Position of the first request, if there is one.
        tail: Position of the next request to be appended.
    """

    items: Map[int, str] = field(default_factory=Map)
    head: int = 0
    tail: int = 0

    def push(self, request_id: str) -> tuple["Fifo", int]:
        """Return the queue with a request appended, and its position."""
        position = self.tail
        return Fifo(
            self.items.set(position, request_id), self.head, position + 1
        ), position

    def push_front(self, request_id: str) -> tuple["Fifo", int]:
        """Return the queue with a request put at the front, and its position."""
        position = self.head - 1
        return Fifo(self.items.set(position, request_id), position, self.tail), position

    def remove(self, position: int) -> "Fifo":
        """Return the queue without the request at a position."""
        items = self.items.delete(position)
        if not items:
            return Fifo(items, self.tail, self.tail)
        head = self.head
        while head not in items:
            head += 1
        return Fifo(items, head, self.tail)

    def last(self) -> str:
        """Return the last request; the queue must not be empty."""
        return self.items[max(self.items)]


EMPTY_FIFO = Fifo()


@dataclass(frozen=True, slots=True)
class ServiceQueue:
    """Requests that wait for one service on this entry host.

    Attributes:
        fifos: One per class, in the order of `CLASSES`.
        tags: Virtual start tag per class, or the finish tag of an empty class.
        virtual_time: Virtual time within the service.
        queued: Number of requests in the fifos.
        held: Number of requests that wait for a claim or a retry delay.
        limit: `queue_limit` as of the newest arrival.
    """

    client_account: str
    fifos: tuple[Fifo, Fifo, Fifo] = (EMPTY_FIFO, EMPTY_FIFO, EMPTY_FIFO)
    tags: tuple[int, int, int] = (0, 0, 0)
    virtual_time: int = 0
    queued: int = 0
    held: int = 0
    limit: int = 0

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait to be sent, held ones included."""
        return self.queued + self.held

    def push(
        self, cls: RequestClass, request_id: str, front: bool
    ) -> tuple["ServiceQueue", int]:
        """Return the queue with one more request, and its position in the fifo."""
        index = CLASS_INDEX[cls]
        fifo = self.fifos[index]
        tags = self.tags
        if not fifo.items:
            tags = _replace_item(tags, index, max(tags[index], self.virtual_time))
        if front:
            fifo, position = fifo.push_front(request_id)
        else:
            fifo, position = fifo.push(request_id)
        fifos = _replace_item(self.fifos, index, fifo)
        return replace(self, fifos=fifos, tags=tags, queued=self.queued + 1), position

    def remove(self, cls: RequestClass, position: int) -> "ServiceQueue":
        """Return the queue without the request at a position of a class's fifo."""
        index = CLASS_INDEX[cls]
        fifos = _replace_item(self.fifos, index, self.fifos[index].remove(position))
        return replace(self, fifos=fifos, queued=self.queued - 1)

    def next_class(self, cost: Callable[[int], int]) -> int:
        """Return the index of the class to serve next; the queue is not empty.

        The class with the earliest virtual finish tag is served first. A class of
        low cost thus precedes the others until one of them is due for a start.
        """
        best = -1
        best_finish = 0
        for index, fifo in enumerate(self.fifos):
            if not fifo.items:
                continue
            finish = self.tags[index] + cost(index)
            if best < 0 or finish < best_finish:
                best, best_finish = index, finish
        return best

    def head(self, index: int) -> str:
        """Return the first request of a class that is not empty."""
        fifo = self.fifos[index]
        return fifo.items[fifo.head]

    def served(self, index: int, cost: int) -> "ServiceQueue":
        """Return the queue after starting the first request of a class.

        The start is charged to the class at a cost in virtual time.
        """
        fifo = self.fifos[index]
        start = self.tags[index]
        return replace(
            self,
            fifos=_replace_item(self.fifos, index, fifo.remove(fifo.head)),
            tags=_replace_item(self.tags, index, start + cost),
            virtual_time=max(self.virtual_time, start),
            queued=self.queued - 1,
        )


def _replace_item(values: tuple, index: int, value: object) -> tuple:
    """Return the tuple with one value replaced."""
    return (*values[:index], value, *values[index + 1 :])
