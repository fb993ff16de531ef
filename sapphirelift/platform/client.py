"""Client of the platform's object API, over HTTP."""

import json
import urllib.parse
import uuid
from typing import Any
from typing import NamedTuple

import urllib3

from sapphirelift import errors
from sapphirelift.core import replica

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 3.0
WATCH_MARGIN_S = 2.0


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
        calls: Number of calls made, a waiting watch counted as one.
    """

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url.rstrip("/")
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
            ),
        )
        self.calls = 0

    def get(self, key: str) -> replica.StoredObject | None:
        """Returns an object, or None if there is none.

        Raises:
            PlatformUnavailableError: No usable answer.
        """
        status, answer = self._call("GET", self._object_path(key))
        if status == 404:
            return None
        return _stored(answer)

    def list_objects(self, prefix: str) -> Listing:
        """Lists all objects under a prefix.

        Raises:
            PlatformUnavailableError: No usable answer.
        """
        query = urllib.parse.urlencode({"prefix": prefix})
        _, answer = self._call("GET", f"/v1/objects?{query}")
        return _listing(answer)

    def watch(self, prefix: str, *, since: int, wait_ms: int) -> Listing:
        """Waits for changes after ``since``.

        Returns:
            The changes, empty if there were none within ``wait_ms``; or the
            full list if the platform does not remember that far back.

        Raises:
            PlatformUnavailableError: No usable answer.
        """
        query = urllib.parse.urlencode(
            {"prefix": prefix, "since": since, "wait_ms": wait_ms}
        )
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=wait_ms / 1000 + WATCH_MARGIN_S
        )
        _, answer = self._call("GET", f"/v1/objects?{query}", timeout=timeout)
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
            PlatformUnavailableError: No usable answer, also on read-back.
        """
        write_id = uuid.uuid4().hex
        body = {"value": value, "write_id": write_id}
        if expected_revision is not None:
            body["expected_revision"] = expected_revision
        path = self._object_path(key)
        try:
            status, answer = self._call("PUT", path, body=body)
        except errors.PlatformUnavailableError:
            return self._read_back(path, write_id)
        if status == 409:
            if answer.get("write_id") == write_id:
                return answer["revision"]
            raise errors.ConflictError(key, answer["revision"])
        return answer["revision"]

    def delete(self, key: str, *, expected_revision: int | None = None) -> None:
        """Deletes an object.

        Raises:
            ConflictError: The object has another revision.
            PlatformUnavailableError: No usable answer.
        """
        path = self._object_path(key)
        if expected_revision is not None:
            path += f"?expected_revision={expected_revision}"
        status, answer = self._call("DELETE", path)
        if status == 409:
            raise errors.ConflictError(key, answer["revision"])

    def _read_back(self, path: str, write_id: str) -> int:
        """Finds out whether a write without an answer took effect."""
        status, answer = self._call("GET", path)
        if status == 200 and answer.get("write_id") == write_id:
            return answer["revision"]
        raise errors.PlatformUnavailableError("the write was not confirmed")

    def _object_path(self, key: str) -> str:
        return f"/v1/objects/{urllib.parse.quote(key)}"

    def _call(
        self,
        method: str,
        path: str,
        *,
        body: dict[str, Any] | None = None,
        timeout: urllib3.Timeout | None = None,
    ) -> tuple[int, dict[str, Any]]:
        self.calls += 1
        options: dict[str, Any] = {}
        if timeout is not None:
            options["timeout"] = timeout
        try:
            response = self._pool.request(
                method, self._base_url + path, json=body, **options
            )
            answer = json.loads(response.data) if response.data else {}
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise errors.PlatformUnavailableError(
                f"platform: {type(error).__name__}"
            ) from error
        if response.status not in (200, 404, 409):
            raise errors.PlatformUnavailableError(
                f"platform answered {response.status}"
            )
        return response.status, answer


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
