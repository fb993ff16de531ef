"""Commands of the command-line tool for records and the system state."""

import json
import os
import pathlib
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Sequence
from typing import Any

import sapphirelift
from sapphirelift import errors
from sapphirelift import messages
from sapphirelift.core.records import fields
from sapphirelift.core.records import records
from sapphirelift.core.records import replica
from sapphirelift.core.requests import outcomes
from sapphirelift.operators import key_commands
from sapphirelift.operators import record_store
from sapphirelift.operators import status as status_module
from sapphirelift.platform import client

WATCH_WAIT_MS = 2000
ADMIN_TIMEOUT_S = 5.0
SECRET_MASK = "(secret)"


class Commands:
    """Reads and writes records, and shows the state of the system.

    Options of every command: --platform=URL (or the environment variable
    SAPPHIRELIFT_PLATFORM) and --output=table|json; for an https:// URL
    --ca_file, --certificate_file, --key_file and --token_file.
    """

    def __init__(self, platform: client.ObjectClient) -> None:
        self._platform = platform
        self._store = record_store.RecordStore(platform)
        self.keys = key_commands.KeyCommands(platform)

    def version(self) -> str:
        """Prints the version."""
        return sapphirelift.__version__

    def apply(self, file: str, revision: int | None = None) -> Any:
        """Validates and writes the records of a JSON file ("-" for stdin).

        With --revision the write is refused unless the record still has
        that revision. Revision 0 means that it must not exist yet.
        """
        rows = []
        for value in _read_records(file):
            written = self._store.write(value, expected_revision=revision)
            rows.append({"record": written.key, "revision": written.revision})
            for setting in written.overruled:
                print(f"note: locked centrally: {setting}", file=sys.stderr)
        return rows

    def get(self, kind: str, name: str, schema_version: int = 0) -> Any:
        """Prints a record, as stored or converted to another schema version."""
        stored = self._store.get(kind, str(name))
        value = stored.value
        if schema_version:
            parsed = record_store.unwrap(records.parse(value))
            value = records.render(parsed, schema_version=schema_version)
        return {"revision": stored.revision, "record": _masked(value)}

    def list(self, kind: str) -> Any:
        """Lists the records of a kind."""
        return [_summary(item) for item in self._store.list_kind(kind)]

    def delete(self, kind: str, name: str, revision: int | None = None) -> Any:
        """Deletes a record."""
        key = self._store.delete(kind, str(name), expected_revision=revision)
        return {"deleted": key}

    def diff(self, file: str) -> Any:
        """Shows the fields that applying a file would change.

        Both sides are converted to the newest schema version.
        """
        rows: list[dict[str, Any]] = []
        for value in _read_records(file):
            rows.extend(self._diff_record(value))
        return rows

    def _diff_record(self, value: dict[str, Any]) -> Sequence[dict[str, Any]]:
        wanted = record_store.unwrap(records.parse(value))
        stored = self._store.find(wanted.kind, wanted.name)
        before: dict[str, Any] = {}
        if stored is not None:
            parsed = record_store.unwrap(records.parse(stored.value))
            before = _masked(records.render(parsed, schema_version=2))
        after = _masked(records.render(wanted, schema_version=2))
        return [
            {
                "record": records.key_of(wanted.kind, wanted.name),
                "field": name,
                "now": before.get(name),
                "then": after.get(name),
            }
            for name in sorted(before.keys() | after.keys())
            if before.get(name) != after.get(name)
        ]

    def validate(self, file: str) -> Any:
        """Validates the records of a file without contacting the platform."""
        rows = []
        for value in _read_records(file):
            record = record_store.unwrap(records.parse(value))
            key = records.key_of(record.kind, record.name)
            rows.append({"record": key, "valid": True})
        return rows

    def effective(self, service: str, data_centre: str) -> Any:
        """Shows the settings in force for a service and their sources."""
        record_set, _ = self._store.load()
        effective = record_set.effective(service, data_centre)
        return [
            {
                "field": name,
                "value": effective.values[name],
                "source": effective.source[name],
            }
            for name in fields.FIELDS
        ]

    def status(self) -> Any:
        """Shows members, revisions in force and active conditions."""
        return status_module.summary(self._platform)

    def watch(self, kind: str = "", seconds: float = 60.0) -> None:
        """Prints changes of records as they happen, for a number of seconds."""
        if kind:
            record_store.check_kind(kind)
        prefix = records.key_of(kind, "") if kind else "records/"
        since = self._platform.list_objects(prefix).revision
        print(f"watching from revision {since}", file=sys.stderr, flush=True)
        end_s = time.monotonic() + seconds
        while (left_s := end_s - time.monotonic()) > 0:
            changes = self._platform.watch(
                prefix,
                since=since,
                wait_ms=min(WATCH_WAIT_MS, max(1, round(left_s * 1000))),
            )
            since = max(since, changes.revision)
            for item in changes.objects:
                change = "deleted" if item.value is None else "written"
                print(f"{item.revision} {item.key} {change}", flush=True)

    def withdraw(self, data_centre: str, reason: str = "") -> Any:
        """Takes a data centre out of service."""
        changes = {"withdrawn": True} | ({"reason": reason} if reason else {})
        return self._update("data_centre", data_centre, changes)

    def restore(self, data_centre: str) -> Any:
        """Brings a data centre back into service."""
        return self._update("data_centre", data_centre, {"withdrawn": False})

    def drain(self, backend_server: str, undo: bool = False) -> Any:
        """Drains the backend server of an agent, given by the agent's name.

        With --undo the drain is ended.
        """
        return self._update(
            "backend_server", backend_server, {"drained": not undo}
        )

    def _update(self, kind: str, name: str, changes: dict[str, Any]) -> Any:
        written = self._store.update(kind, str(name), changes)
        return {"record": written.key, "revision": written.revision}

    def dump(self, address: str) -> Any:
        """Prints the state of a process, given by its admin address IP:PORT."""
        try:
            with urllib.request.urlopen(
                f"http://{address}/dump", timeout=ADMIN_TIMEOUT_S
            ) as answer:
                return json.load(answer)
        except (OSError, urllib.error.URLError, ValueError) as error:
            raise errors.InputError(
                f"no state dump from {address}: {error}",
                remedy="give the admin address of a running process",
            ) from error

    def call(
        self,
        service: str,
        path: str,
        balancers: str,
        body: str = "",
        method: str = "GET",
        idempotent: bool = True,
        deadline_ms: int = 5000,
    ) -> Any:
        """Sends one request as a caller; balancers are IP:PORT,IP:PORT."""
        # Imported here because only this command needs the client library.
        from sapphirelift.callers import client as caller_client

        caller = caller_client.Caller(_addresses(balancers), seed=os.getpid())
        session = caller.open(service, timeout_s=deadline_ms / 1000)
        outcome = session.request(
            method,
            path,
            body=str(body).encode(),
            idempotent=idempotent,
            deadline_ms=deadline_ms,
        )
        session.close()
        return _outcome_row(outcome)


def _outcome_row(outcome: outcomes.Outcome) -> dict[str, Any]:
    match outcome:
        case outcomes.Answered(status, body):
            text = body.decode(errors="replace")
            return {"outcome": "answered", "status": status, "body": text}
        case outcomes.NotRun(reason):
            return {"outcome": "not_run", "reason": reason}
        case outcomes.Unknown(reason):
            return {"outcome": "unknown", "reason": reason}


def _addresses(text: Any) -> Sequence[messages.Address]:
    """Parses IP:PORT,IP:PORT, which Fire may have split into a list."""
    parts = text if isinstance(text, list | tuple) else str(text).split(",")
    try:
        pairs = [str(part).rsplit(":", 1) for part in parts]
        return [messages.Address(ip, int(port)) for ip, port in pairs]
    except ValueError as error:
        raise errors.InputError(
            f"{text} is not a list of addresses", remedy="write IP:PORT,IP:PORT"
        ) from error


def _read_records(file: str) -> Sequence[dict[str, Any]]:
    try:
        if file == "-":
            text = sys.stdin.read()
        else:
            text = pathlib.Path(file).read_text()
        value = json.loads(text)
    except OSError as error:
        raise errors.InputError(
            f"cannot read {file}: {error.strerror}",
            remedy="name a readable file",
        ) from error
    except ValueError as error:
        raise errors.InputError(
            f"{file} is not JSON: {error}", remedy="correct the file"
        ) from error
    return value if isinstance(value, list) else [value]


def _masked(value: Any) -> Any:
    """Replaces the key bytes of a keyring record by a placeholder."""
    if isinstance(value, dict) and value.get("kind") == "keyring":
        hidden = dict.fromkeys(value.get("keys", {}), SECRET_MASK)
        return value | {"keys": hidden}
    return value


def _summary(item: replica.StoredObject) -> dict[str, Any]:
    value = item.value or {}
    details = {
        name: field
        for name, field in _masked(value).items()
        if name not in ("kind", "name", "schema_version")
    }
    return {
        "name": value.get("name"),
        "schema_version": value.get("schema_version"),
        "revision": item.revision,
        "details": details,
    }
