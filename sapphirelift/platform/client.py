"""Client of the platform's object API, over HTTP."""

import collections
import json
import random
import urllib.parse
import uuid
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import eventlet
import urllib3

from sapphirelift import clock
from sapphirelift import credentials as credentials_module
from sapphirelift import errors
from sapphirelift.core import backoff
from sapphirelift.core import rate_limit
from sapphirelift.core import replica

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 3.0
# A watch that waits is answered within its wait; this much later its
# connection is taken to be dead.
WATCH_MARGIN_S = 1.0
# 840 watching daemons, each with up to two calls a second, stay within the
# 2,000 reads a second that the platform takes.
CALLS_PER_S = 2.0
BURST_CALLS = 10
READ_BACKS = 3


class Listing(NamedTuple):
    """Objects at a revision of the store.

    Attributes:
        complete: Whether these are all live objects, not just the changes.
    """

    revision: int
    objects: list[replica.StoredObject]
    complete: bool


class ObjectClient:
    """Reads, conditional updates and watches.

    Attributes:
        calls: Number of calls by kind, a waiting watch counted as one.
        failures: Number of calls without a usable answer, by kind.
    """

    def __init__(
        self,
        base_url: str,
        *,
        name: str = "client",
        rng: random.Random | None = None,
        calls_per_s: float = CALLS_PER_S,
        credentials: credentials_module.PlatformCredentials | None = None,
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._rng = rng or random.Random()
        self._bucket = rate_limit.TokenBucket(
            rate_per_s=calls_per_s, burst=BURST_CALLS
        )
        self._credentials = (
            credentials or credentials_module.PlatformCredentials()
        )
        tls: dict[str, Any] = {}
        if self._base_url.lower().startswith("https://"):
            tls["ssl_context"] = credentials_module.platform_context(
                self._credentials
            )
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
            ),
            headers={"User-Agent": f"sapphirelift/{name}"},
            **tls,
        )
        self.calls: collections.Counter[str] = collections.Counter()
        self.failures: collections.Counter[str] = collections.Counter()

    def get(self, key: str) -> replica.StoredObject | None:
        """Returns an object, or None if there is none.

        Raises:
            PlatformUnavailableError: No usable answer.
        """
        status, answer = self._call("get", "GET", self._object_path(key))
        if status == 404:
            return None
        return _stored(answer)

    def list_objects(self, *prefixes: str) -> Listing:
        """Lists all objects under any of the prefixes.

        Raises:
            PlatformUnavailableError: No usable answer.
        """
        query = urllib.parse.urlencode([("prefix", p) for p in prefixes])
        _, answer = self._call("list", "GET", f"/v1/objects?{query}")
        return _listing(answer)

    def watch(self, *prefixes: str, since: int, wait_ms: int) -> Listing:
        """Waits for changes after ``since``.

        Returns:
            The changes, empty if there were none within ``wait_ms``; or the
            full list if the platform does not remember that far back.

        Raises:
            PlatformUnavailableError: No usable answer; the connection is
                closed and the next watch uses a new one.
        """
        query = urllib.parse.urlencode(
            [
                *(("prefix", p) for p in prefixes),
                ("since", since),
                ("wait_ms", wait_ms),
            ]
        )
        _, answer = self._call(
            "watch",
            "GET",
            f"/v1/objects?{query}",
            read_timeout_s=max(wait_ms / 1000 + WATCH_MARGIN_S, READ_TIMEOUT_S),
        )
        return _listing(answer)

    def put(
        self,
        key: str,
        value: dict[str, Any],
        *,
        expected_revision: int | None = None,
    ) -> int:
        """Writes an object and returns its revision.

        Args:
            key: Path of the object.
            value: The object.
            expected_revision: Write only if the object has this revision; 0
                stands for an object that must not exist; None for any.

        Raises:
            ConflictError: The object has another revision.
            WriteUnknownError: The answer was lost and the object does not
                show whether the write took effect.
        """
        write_id = uuid.uuid4().hex
        body = {"value": value, "write_id": write_id}
        if expected_revision is not None:
            body["expected_revision"] = expected_revision
        path = self._object_path(key)
        try:
            status, answer = self._call("put", "PUT", path, body=body)
        except errors.PlatformUnavailableError:
            return self._read_back(key, path, write_id)
        if status == 409 and answer.get("write_id") != write_id:
            raise errors.ConflictError(key, answer["revision"])
        return answer["revision"]

    def delete(self, key: str, *, expected_revision: int | None = None) -> None:
        """Deletes an object.

        Raises:
            ConflictError: The object has another revision.
            WriteUnknownError: The answer was lost and it cannot be
                established that this call deleted the object.
        """
        write_id = uuid.uuid4().hex
        options: dict[str, Any] = {"write_id": write_id}
        if expected_revision is not None:
            options["expected_revision"] = expected_revision
        path = self._object_path(key)
        query = urllib.parse.urlencode(options)
        try:
            status, answer = self._call("delete", "DELETE", f"{path}?{query}")
        except errors.PlatformUnavailableError:
            self._read_back_delete(key, write_id, expected_revision)
            return
        if status == 409 and answer.get("write_id") != write_id:
            raise errors.ConflictError(key, answer["revision"])

    def _read_back(self, key: str, path: str, write_id: str) -> int:
        """Finds out whether a write without an answer took effect.

        An object with another write id proves nothing: the write may have
        taken effect before the other one, or may still do so.
        """
        for answer in self._retried_reads(path):
            if answer.get("write_id") == write_id:
                return answer["revision"]
            break
        raise errors.WriteUnknownError(key)

    def _read_back_delete(
        self, key: str, write_id: str, expected_revision: int | None
    ) -> None:
        """Finds out whether a deletion without an answer took effect.

        The change history tells who deleted the object. An unconditional
        deletion needs only that there is no object now.
        """
        if expected_revision is None:
            for answer in self._retried_reads(self._object_path(key)):
                if not answer:
                    return
                break
            raise errors.WriteUnknownError(key)
        query = urllib.parse.urlencode(
            {"prefix": key, "since": expected_revision, "wait_ms": 0}
        )
        for answer in self._retried_reads(f"/v1/objects?{query}"):
            for item in answer["objects"]:
                if item["key"] == key and item.get("write_id") == write_id:
                    return
            break
        raise errors.WriteUnknownError(key)

    def _retried_reads(self, path: str) -> Iterator[dict[str, Any]]:
        """Yields the first answer of a few reads; empty for no object."""
        delays = backoff.Backoff(self._rng, min_s=0.1, max_s=1.0)
        for _ in range(READ_BACKS):
            try:
                status, answer = self._call("read_back", "GET", path)
            except errors.PlatformUnavailableError:
                eventlet.sleep(delays.next_s())
            else:
                yield answer if status == 200 else {}

    def _object_path(self, key: str) -> str:
        return f"/v1/objects/{urllib.parse.quote(key)}"

    def _call(
        self,
        kind: str,
        method: str,
        path: str,
        *,
        body: dict[str, Any] | None = None,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> tuple[int, dict[str, Any]]:
        delay_ms = self._bucket.reserve_ms(now_ms=clock.now_ms())
        if delay_ms:
            eventlet.sleep(delay_ms / 1000)
        self.calls[kind] += 1
        # The read timeout of a socket starts again with each byte; the other
        # bounds the whole call.
        bound = eventlet.Timeout(CONNECT_TIMEOUT_S + read_timeout_s + 0.5)
        try:
            response = self._pool.request(
                method,
                self._base_url + path,
                json=body,
                headers=self._headers(),
                # A redirect could carry the token to another host.
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S, read=read_timeout_s
                ),
            )
            answer = json.loads(response.data) if response.data else {}
        except (urllib3.exceptions.HTTPError, ValueError, OSError) as error:
            raise self._failure(kind, type(error).__name__) from error
        except eventlet.Timeout as error:
            if error is not bound:
                raise
            raise self._failure(kind, "no answer in time") from error
        finally:
            bound.cancel()
        if response.status not in (200, 404, 409):
            raise self._failure(kind, f"status {response.status}")
        return response.status, answer

    def _headers(self) -> dict[str, str]:
        headers = dict(self._pool.headers)
        if self._credentials.token_file:
            token = credentials_module.read_token(self._credentials)
            headers["Authorization"] = f"Bearer {token}"
        return headers

    def _failure(
        self, kind: str, reason: str
    ) -> errors.PlatformUnavailableError:
        self.failures[kind] += 1
        return errors.PlatformUnavailableError(f"platform: {reason}")


def _stored(answer: dict[str, Any]) -> replica.StoredObject:
    return replica.StoredObject(
        answer["key"], answer["revision"], answer["value"]
    )


def _listing(answer: dict[str, Any]) -> Listing:
    return Listing(
        answer["revision"],
        [_stored(item) for item in answer["objects"]],
        answer["complete"],
    )
