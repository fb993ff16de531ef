"""Validation of the daemon settings."""

import json
import pathlib
import socket
import subprocess
import sys
from typing import Any

import pytest

from sapphirelift import errors
from sapphirelift import settings

VALID: dict[str, Any] = {
    "name": "balancer-1",
    "role": "balancer",
    "data_centre": "etela-a",
    "peer": {"ip": "127.0.0.1", "port": 7001},
    "admin": {"ip": "127.0.0.1", "port": 7002},
    "public": {"ip": "127.0.0.1", "port": 7003},
    "platform_url": "http://127.0.0.1:8400",
    "cluster_key_hex": "5a" * 32,
}


def _agent(**backend: Any) -> dict[str, Any]:
    """Returns the settings of an agent with these backend settings."""
    server = {"ip": "127.0.0.1", "port": 80, "service": "shop"}
    return {"role": "agent", "backend": server | backend}


class TestParse:
    """Validation of a settings file."""

    @pytest.mark.parametrize(
        ("change", "expected"),
        [
            ({"stop_timeout_s": 5}, "did you mean `stop_timeout_ms`"),
            ({"stop_timeout_ms": "5"}, "stop_timeout_ms"),
            ({"stop_timeout_ms": 0}, "stop_timeout_ms"),
            ({"public": None}, "public"),
            ({"role": "agent"}, "backend"),
            ({"role": "proxy"}, "role"),
            ({"cluster_key_hex": "zz"}, "cluster_key_hex"),
            ({"peer": {"ip": "localhost", "port": 1}}, "peer.ip"),
            ({"admin": {"ip": "127.0.0.1", "port": 0}}, "admin.port"),
            ({"admin": {"ip": "127.0.0.1"}}, "port"),
            ({"name": "a/b"}, "name"),
            (_agent(max_flows=0), "backend.max_flows"),
            (_agent(weight=-1.0), "backend.weight"),
            (_agent(reply_cache_bytes=0), "backend.reply_cache_bytes"),
            (_agent(assembly_bytes=-1), "backend.assembly_bytes"),
        ],
    )
    def test_error_names_the_field(
        self, change: dict[str, Any], expected: str
    ) -> None:
        """Guards against invalid settings that are accepted or not named."""
        with pytest.raises(errors.SettingsError, match="; ") as caught:
            settings.parse(json.dumps(VALID | change).encode())
        assert expected in str(caught.value)

    def test_valid_settings(self) -> None:
        """Guards against checks that reject a valid file."""
        assert settings.parse(json.dumps(VALID).encode()).role == "balancer"


class TestDaemon:
    """Start of the daemon with unusable settings."""

    def test_one_line_and_exit_status(self, tmp_path: pathlib.Path) -> None:
        """Guards against a traceback instead of a one-line error."""
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(VALID | {"colour": "blue"}))
        completed = subprocess.run(
            [sys.executable, "-m", "sapphirelift.daemon", "--settings", path],
            capture_output=True,
            text=True,
            timeout=30,
        )
        assert completed.returncode == 2
        assert completed.stderr.count("\n") == 1
        assert "colour" in completed.stderr

    def test_address_in_use(self, tmp_path: pathlib.Path) -> None:
        """Guards against a traceback when a port is already in use."""
        path = tmp_path / "settings.json"
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            peer = {"ip": "127.0.0.1", "port": taken.getsockname()[1]}
            path.write_text(json.dumps(VALID | {"peer": peer}))
            completed = subprocess.run(
                [sys.executable, "-m", "sapphirelift.daemon"]
                + ["--settings", str(path)],
                capture_output=True,
                text=True,
                timeout=30,
            )
        assert completed.returncode == 2
        assert "Traceback" not in completed.stderr
        assert "cannot bind" in completed.stderr
