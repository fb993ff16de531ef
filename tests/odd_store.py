"""Serves a store with a deeply nested item in each list.

``python -m tests.odd_store STORE_URL PORT`` passes calls on to the store, whose
stand-in cannot keep such an item. It is a process of its own, because sockets
of the test process may be those of green threads.
"""

import sys
import urllib.error
import urllib.request
from http import server as http_server
from typing import Any

LEVELS = 5000
ITEM = b'{"meta":{"Name":"odd","Revision":3},"spec":%b}' % (
    b"[" * LEVELS + b"]" * LEVELS
)


class _Handler(http_server.BaseHTTPRequestHandler):
    """Passes one call on."""

    store_url = ""

    def _pass_on(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        request = urllib.request.Request(
            self.store_url + self.path,
            data=self.rfile.read(length) if length else None,
            method=self.command,
            headers={"Content-Type": "application/json"},
        )
        try:
            with urllib.request.urlopen(request, timeout=30) as answer:
                status, data = answer.status, answer.read()
        except urllib.error.HTTPError as error:
            status, data = error.code, error.read()
        data = data.replace(b'"items": []', b'"items": [%b]' % ITEM)
        data = data.replace(b'"items": [{"', b'"items": [%b, {"' % ITEM)
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_PUT = do_POST = do_DELETE = _pass_on  # noqa: N815

    def log_message(self, format: str, *args: Any) -> None:
        """Writes nothing."""


if __name__ == "__main__":
    _Handler.store_url = sys.argv[1]
    address = ("127.0.0.1", int(sys.argv[2]))
    http_server.ThreadingHTTPServer(address, _Handler).serve_forever()
