"""Detection of datagrams that have already been delivered."""

from sapphirelift import messages

# Shared by all senders. A datagram is held for at most 1 s while its owner is
# looked up, so fewer than 8,192 later datagrams are delivered before it.
MAX_RECENT = 8192
MAX_LOW_WATER_MARKS = 4096

_Sender = tuple[messages.Address, int]


class DeliveredDatagrams:
    """Recent sequence numbers of each sender, by address and incarnation.

    The highest evicted number of each sender is its low-water mark; numbers up
    to the mark count as delivered.
    """

    def __init__(self) -> None:
        self._recent: dict[tuple[_Sender, int], None] = {}
        self._low_water_marks: dict[_Sender, int] = {}

    def has(self, sender: _Sender, sequence: int) -> bool:
        """Tells whether a datagram was, or may have been, delivered."""
        return (sender, sequence) in self._recent or (
            sequence <= self._low_water_marks.get(sender, -1)
        )

    def add(self, sender: _Sender, sequence: int) -> None:
        """Records a delivery."""
        if len(self._recent) >= MAX_RECENT:
            oldest = next(iter(self._recent))
            del self._recent[oldest]
            self._raise_low_water_mark(*oldest)
        self._recent[(sender, sequence)] = None

    def _raise_low_water_mark(self, sender: _Sender, sequence: int) -> None:
        mark = max(sequence, self._low_water_marks.pop(sender, -1))
        if len(self._low_water_marks) >= MAX_LOW_WATER_MARKS:
            del self._low_water_marks[next(iter(self._low_water_marks))]
        self._low_water_marks[sender] = mark
