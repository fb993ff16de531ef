"""Revisions of the platform's store that stay ordered when it is restored.

The store counts its changes in eras. When it returns from an older copy, a new
era begins, and revisions of the former era are given out again for other
changes. Daemons therefore keep and exchange a single number, which has the era
above the store's own revision: of two such numbers, the greater one is always
the newer state. Stores may count from era 0 or 1; in era 0, and at a store that
names no era, it equals the store's own revision.
"""

FIRST_ERA = 0
# At 400 changes a second, an era has revisions for 87 years.
_REVISION_BITS = 40
MAX_STORE_REVISION = (1 << _REVISION_BITS) - 1
# Revisions must fit into the 63 bits of a signed integer on the wire.
MAX_ERA = (1 << (63 - _REVISION_BITS)) - 1
# After the store's return, operators and backend servers write again what it
# has lost, within about two seconds. Until then, what it lacks may be lost
# instead of deleted, and what it holds may be out of date.
REWRITE_MS = 2500


def of_store(store_revision: int, *, era: int) -> int:
    """Returns the revision for a revision that the store has given out.

    >>> of_store(20, era=0)
    20
    >>> of_store(7, era=2) > of_store(20, era=1)
    True
    """
    return (era << _REVISION_BITS) | store_revision


def era_of(revision: int) -> int:
    """Returns the era of a revision.

    >>> era_of(20), era_of(of_store(7, era=2))
    (0, 2)
    """
    return revision >> _REVISION_BITS


def store_revision_of(revision: int) -> int:
    """Returns the store's own number of a revision, for calls and logs.

    >>> store_revision_of(of_store(7, era=2))
    7
    """
    return revision & MAX_STORE_REVISION
