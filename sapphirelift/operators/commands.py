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

import msgspec

import sapphirelift
from sapphirelift import deployment
from sapphirelift import errors
from sapphirelift import messages
from sapphirelift.core.l4 import configuration_entries
from sapphirelift.core.records import fields
from sapphirelift.core.records import records
from sapphirelift.core.records import replica
from sapphirelift.core.requests import outcomes
from sapphirelift.operators import configuration_check
from sapphirelift.operators import key_commands
from sapphirelift.operators import record_store
from sapphirelift.operators import status as status_module
from sapphirelift.platform import client
from sapphirelift.platform import configuration
from sapphirelift.platform import decoding

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

    def validate(
        self,
        file: str,
        against: str | int = "",
        strict: bool = False,
        regions: str | Sequence[str] = "",
        flow_lifetime_s: float = 0.0,
    ) -> Any:
        """Validates records, a configuration or settings of a packet daemon.

        The platform is not contacted, unless --against is a number: then a
        configuration is compared with the one in force, which must have that
        version. --against=FILE compares it with another file. --strict makes
        warnings count for the exit status (1; errors: 2). What a configuration
        does not say can be given: --regions=A,B that have data centres, and
        --flow_lifetime_s.
        """
        document = _read_document(file)
        if configuration.is_configuration(document):
            known = configuration_check.Surroundings(
                frozenset(_names(regions)), _number(flow_lifetime_s)
            )
            return self._check_configuration(document, against, strict, known)
        if deployment.is_settings(document):
            return _settings_row(document)
        rows = []
        for value in _as_records(document):
            record = record_store.unwrap(records.parse(value))
            key = records.key_of(record.kind, record.name)
            rows.append({"record": key, "valid": True})
        return rows

    def _check_configuration(
        self,
        document: Any,
        against: str | int,
        strict: bool,
        known: configuration_check.Surroundings,
    ) -> configuration_check.Report:
        checked = configuration.read_entries(document)
        problems = configuration_check.problems(checked, known)
        differences = None
        if against != "":
            other = self._read_other(against)
            problems += configuration_check.version_problems(checked, other)
            differences = configuration_check.differences(checked, other)
        return configuration_check.Report(
            checked.version, problems, differences, is_strict=strict
        )

    def _read_other(self, against: str | int) -> configuration_entries.Entries:
        """Reads the configuration to compare with.

        Raises:
            InputError: It is none, or not of the version asked for.
            PlatformUnavailableError: The store has not answered.
        """
        if isinstance(against, int):
            kind = configuration.CONFIGURATION_KIND
            found = {
                item.name: item.value
                for item in self._platform.store.list_kind(kind).objects
            }
            document = found.get(configuration.CONFIGURATION_NAME)
        else:
            document = _read_document(against)
        if not configuration.is_configuration(document):
            raise errors.InputError(
                f"{against} is not a configuration",
                remedy="name a file with one, or the version in force",
            )
        other = configuration.read_entries(document)
        if isinstance(against, int) and other.version != against:
            raise errors.InputError(
                f"version {other.version} is in force, not {against}",
                remedy="compare with that one, or with a file",
            )
        return other

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
    return _as_records(_read_document(file))


def _as_records(document: Any) -> Sequence[dict[str, Any]]:
    return document if isinstance(document, list) else [document]


def _read_document(file: str) -> Any:
    """Reads a JSON file, or stdin for "-".

    Raises:
        InputError: It cannot be read, is not JSON, or nobody could send it on.
    """
    try:
        if file == "-":
            data = sys.stdin.buffer.read()
        else:
            data = pathlib.Path(str(file)).read_bytes()
        document = decoding.decode(data, object)
        decoding.check_bounds(document)
    except OSError as error:
        raise errors.InputError(
            f"cannot read {file}: {error.strerror}",
            remedy="name a readable file",
        ) from error
    except (errors.UnreadableError, ValueError) as error:
        reason = str(error).removeprefix("unreadable: ").partition("; ")[0]
        raise errors.InputError(
            f"{file} is not JSON: {reason}", remedy="correct the file"
        ) from error
    return document


def _names(value: Any) -> Sequence[str]:
    """Returns the names of A,B, which Fire may have split into a list."""
    parts = value if isinstance(value, list | tuple) else str(value).split(",")
    return [str(part) for part in parts if str(part)]


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise errors.InputError(
            f"{value!r} is not a number", remedy="give a number of seconds"
        )
    return float(value)


def _settings_row(document: Any) -> dict[str, Any]:
    """Returns what the settings of a packet daemon ask for.

    Raises:
        InputError: A field is missing, unknown or wrong.
    """
    try:
        settings = deployment.parse(msgspec.json.encode(document))
    except errors.SettingsError as error:
        message, _, remedy = str(error).rpartition("; ")
        raise errors.InputError(message, remedy=remedy) from error
    return {
        "settings": settings.name,
        "role": settings.role,
        "valid": True,
        "load": msgspec.structs.asdict(settings.load),
    }


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
