"""The two workload sizes of the benchmark."""

from typing import NamedTuple


class Service(NamedTuple):
    """A service and the number of its backend servers."""

    name: str
    targets: int


class Size(NamedTuple):
    """A workload: services, data centres and slots of each target."""

    name: str
    services: tuple[Service, ...]
    data_centres: tuple[str, ...]
    slots: int
    balancers: int = 3

    @property
    def slot_count(self) -> int:
        """Slots of all targets together."""
        return self.slots * sum(s.targets for s in self.services)


DUNE_WORKS = Size(
    "dune-works",
    (Service("board-tracker", 7), Service("catalogue", 3)),
    ("treasure-beach", "alligator-pond", "black-river"),
    slots=2,
)
PIHLAJAKOTI = Size(
    "pihlajakoti",
    (Service("jasen-kauppa", 7), Service("pakkaamo", 3)),
    ("etela-a", "etela-b", "etela-c"),
    slots=4,
)
SIZES = {size.name: size for size in (DUNE_WORKS, PIHLAJAKOTI)}
