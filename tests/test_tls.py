"""TLS connections to the platform and between daemons."""

import json
import pathlib
from typing import Any

import grpc
import pytest

from sapphirelift import credentials
from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import settings
from sapphirelift.core.records import replica
from sapphirelift.operators import cli
from sapphirelift.peers import records
from sapphirelift.platform import client
from tests import certificates
from tests import processes
from tests import test_settings

TOKEN = "token-of-the-platform-5a5a"
KEY = "records/service/catalogue"
CLUSTER_KEY = bytes.fromhex(processes.CLUSTER_KEY_HEX)


class TestSettings:
    """Validation of the TLS files at start."""

    @pytest.mark.parametrize(
        ("change", "field"),
        [
            ({"ca_file": "gone"}, "platform_credentials.ca_file"),
            ({"token_file": "gone"}, "platform_credentials.token_file"),
            ({"token_file": "/dev/null"}, "platform_credentials.token_file"),
            ({"key_file": "/dev/null"}, "platform_credentials.key_file"),
            ({"ca_file": "/dev/null"}, "`platform_credentials`"),
            ({"ca_path": "x"}, "ca_path"),
            ({"cafile": "x"}, "did you mean `ca_file`"),
        ],
    )
    def test_error_names_the_field(
        self, change: dict[str, str], field: str
    ) -> None:
        """Guards against a daemon that starts with unusable files."""
        value = test_settings.VALID | {
            "platform_url": "https://127.0.0.1:8400",
            "platform_credentials": change,
        }
        with pytest.raises(errors.SettingsError) as caught:
            settings.parse(json.dumps(value).encode())
        assert field in str(caught.value)
        assert "\n" not in str(caught.value)

    def test_token_needs_tls(self, tmp_path: pathlib.Path) -> None:
        """Guards against a token sent over an unencrypted connection."""
        path = tmp_path / "token"
        path.write_text(TOKEN)
        value = test_settings.VALID | {
            "platform_credentials": {"token_file": str(path)}
        }
        with pytest.raises(errors.SettingsError, match="https") as caught:
            settings.parse(json.dumps(value).encode())
        assert TOKEN not in str(caught.value)


class TestPlatform:
    """Clients of a test platform that requires certificate and token."""

    def test_only_authenticated_parties_communicate(
        self,
        fleet: processes.Fleet,
        tmp_path: pathlib.Path,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Guards against a missing check of CA, host name, client or token."""
        trusted_ca = certificates.Authority(tmp_path)
        foreign_ca = certificates.Authority(tmp_path, "other")
        platform_files, daemon_files = (
            trusted_ca.issue("platform"),
            trusted_ca.issue("daemon"),
        )
        monkeypatch.setenv(
            "PLATFORM_CERTIFICATE", platform_files.certificate_file
        )
        monkeypatch.setenv("PLATFORM_KEY", platform_files.key_file)
        monkeypatch.setenv("PLATFORM_CLIENT_CA", platform_files.ca_file)
        monkeypatch.setenv("PLATFORM_TOKEN", TOKEN)
        token_file = tmp_path / "token"
        token_file.write_text(f"{TOKEN}\n")
        fleet.platform_scheme = "https"
        fleet.platform_port = processes.free_port()
        fleet.spawn(
            "platform",
            "-m",
            "sapphirelift.standins.platform",
            str(fleet.platform_port),
        )
        valid = credentials.PlatformCredentials(
            *daemon_files, token_file=str(token_file)
        )

        def connect(
            presented: credentials.PlatformCredentials, host: str = "127.0.0.1"
        ) -> client.ObjectClient:
            url = f"https://{host}:{fleet.platform_port}"
            return client.ObjectClient(
                url, credentials=presented, calls_per_s=100
            )

        def can_write() -> bool:
            try:
                connect(valid).put(KEY, {"a": 1}, expected_revision=None)
            except errors.PlatformUnavailableError:
                return False
            return True

        processes.wait_until(can_write)
        refused_clients = {
            "unknown CA": connect(
                _with(valid, ca_file=str(foreign_ca.ca_file))
            ),
            "no certificate": connect(
                _with(valid, certificate_file="", key_file="")
            ),
            "no token": connect(_with(valid, token_file="")),
            "other name": connect(valid, "localhost"),
        }
        for platform in refused_clients.values():
            with pytest.raises(errors.PlatformUnavailableError):
                platform.get(KEY)
            with pytest.raises(errors.WriteUnknownError):
                platform.put(KEY, {"a": 2})
        stored = connect(valid).get(KEY)
        assert stored is not None
        assert stored.value == {"a": 1}
        arguments = [f"--platform={fleet.platform_url}"]
        for name, value in zip(
            certificates.Files._fields, daemon_files, strict=True
        ):
            arguments.append(f"--{name}={value}")
        listing = ["list", "service", *arguments]
        assert cli.run([*listing, f"--token_file={token_file}"]) == 0
        assert cli.run(listing) == cli.UNREACHABLE_STATUS
        for name, ca_file in (
            ("trusted-ca", daemon_files.ca_file),
            ("foreign-ca", foreign_ca.ca_file),
        ):
            fleet.start_balancer(
                name,
                platform_credentials={
                    **daemon_files._asdict(),
                    "ca_file": str(ca_file),
                    "token_file": str(token_file),
                },
                peer_credentials=daemon_files._asdict(),
            )
        processes.wait_until(lambda: fleet.dump("trusted-ca")["revision"] > 0)
        processes.wait_until(
            lambda: fleet.dump("foreign-ca")["platform_failures"]
        )
        assert fleet.dump("foreign-ca")["revision"] == 0
        for secret in (TOKEN, pathlib.Path(daemon_files.key_file).read_text()):
            for log in fleet.directory.glob("*.log"):
                assert secret not in log.read_text()
            assert secret not in json.dumps(fleet.dump("trusted-ca"))


def _with(
    original: credentials.PlatformCredentials, **changes: Any
) -> credentials.PlatformCredentials:
    fields = credentials.PlatformCredentials.__struct_fields__
    values = {name: getattr(original, name) for name in fields}
    return credentials.PlatformCredentials(**(values | changes))


class TestPeers:
    """Record fetch with mutual TLS."""

    def test_fetch_requires_valid_certificates_on_both_sides(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a fetch without a certificate of the trusted CA."""
        trusted_ca = certificates.Authority(tmp_path)
        foreign_ca = certificates.Authority(tmp_path, "other")
        address = messages.Address("127.0.0.1", processes.free_port())

        def peer(files: certificates.Files) -> credentials.PeerCredentials:
            return credentials.PeerCredentials(*files)

        server_files = trusted_ca.issue("server")
        valid = peer(trusted_ca.issue("daemon"))
        stored = replica.Replica()
        stored.apply([replica.StoredObject(KEY, 3, {"a": 1})], revision=3)
        server = records.RecordServer(
            address, stored, key=CLUSTER_KEY, credentials=peer(server_files)
        )
        server.start()

        def fetch(presented: credentials.PeerCredentials | None) -> int:
            return records.fetch(
                address, since=0, key=CLUSTER_KEY, credentials=presented
            ).revision

        foreign_files = foreign_ca.issue("daemon")
        mixed_files = foreign_files._replace(ca_file=str(trusted_ca.ca_file))
        try:
            assert fetch(valid) == 3
            for invalid in (None, peer(foreign_files), peer(mixed_files)):
                with pytest.raises(errors.FetchError):
                    fetch(invalid)
            # The server's certificate must be valid for the address it serves.
            trusted_ca.issue("server", ip="127.0.0.2")
            with pytest.raises(errors.FetchError):
                fetch(valid)
            trusted_ca.issue("server")
            assert fetch(valid) == 3
            ca = pathlib.Path(trusted_ca.ca_file).read_bytes()
            anonymous = grpc.ssl_channel_credentials(ca)
            target = f"{address.ip}:{address.port}"
            with grpc.secure_channel(target, anonymous) as channel:
                call = channel.unary_unary("/sapphirelift.Records/Fetch")
                with pytest.raises(grpc.RpcError):
                    call(b"", timeout=5)
        finally:
            server.stop()
