"""The records in force: the last valid version of each record."""

import collections

import result

from sapphirelift.core.records import policy
from sapphirelift.core.records import records
from sapphirelift.core.records import replica

PREFIX = "records/"


class RecordSet:
    """Records by key; an invalid version never comes into force.

    Attributes:
        refused: Error text by key, for records whose newest version was
            refused.
    """

    def __init__(self) -> None:
        self._records: dict[str, records.Record] = {}
        self.refused: dict[str, str] = {}
        self.counters: collections.Counter[str] = collections.Counter()

    def apply(self, change: replica.StoredObject) -> None:
        """Puts a changed record in force if valid; drops a deleted one."""
        if change.value is None:
            self._records.pop(change.key, None)
            self.refused.pop(change.key, None)
            return
        match records.parse(change.value):
            case result.Ok(record) if change.key != _key(record):
                self._refuse(
                    change.key,
                    f"record: its kind and name belong to {_key(record)}",
                )
            case result.Ok(record):
                self._records[change.key] = record
                self.refused.pop(change.key, None)
            case result.Err(error):
                self._refuse(change.key, str(error))

    def _refuse(self, key: str, reason: str) -> None:
        self.refused[key] = reason
        self.counters["records_refused"] += 1

    def ports(self) -> tuple[dict[str, int], dict[str, int]]:
        """Returns the datagram ports and the TCP ports, each by service."""
        datagram, tcp = {}, {}
        for record in self.services():
            if record.routing == "hand_on" and record.datagram_port:
                datagram[record.name] = record.datagram_port
            if record.tcp_port:
                tcp[record.name] = record.tcp_port
        return datagram, tcp

    def service(self, name: str) -> records.Service | None:
        """Returns a service record, or None if there is none."""
        record = self._records.get(records.key_of("service", name))
        return record if isinstance(record, records.Service) else None

    def services(self) -> list[records.Service]:
        """Returns all service records."""
        return [
            record
            for record in self._records.values()
            if isinstance(record, records.Service)
        ]

    def policies(self) -> dict[str, records.BranchPolicy]:
        """Returns the central and branch policies by name."""
        return {
            record.name: record
            for record in self._records.values()
            if isinstance(record, records.BranchPolicy)
        }

    def withdrawn(self) -> set[str]:
        """Returns the data centres that operators have withdrawn."""
        return {
            record.name
            for record in self._records.values()
            if isinstance(record, records.DataCentre) and record.withdrawn
        }

    def drained(self) -> set[str]:
        """Returns the backend servers that operators have drained."""
        return {
            record.name
            for record in self._records.values()
            if isinstance(record, records.BackendServer) and record.drained
        }

    def keyring(self) -> records.Keyring | None:
        """Returns the keyring record, or None if there is none."""
        record = self._records.get(records.key_of("keyring", "cluster"))
        return record if isinstance(record, records.Keyring) else None

    def effective(self, service: str, data_centre: str) -> policy.Effective:
        """Returns the values in force for a service.

        An unknown service is treated as one of the central team.
        """
        record = self.service(service)
        if record is None:
            record = records.Service(name=service, branch=policy.CENTRAL)
        return policy.effective(
            record, data_centre=data_centre, policies=self.policies()
        )


def _key(record: records.Record) -> str:
    return records.key_of(record.kind, record.name)
