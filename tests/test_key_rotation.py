"""Rotation of the cluster key through keyring records."""

import signal
import time

import eventlet
import grpc
import msgspec
import pytest

from sapphirelift import errors
from sapphirelift import messages
from sapphirelift.callers import client as caller_client
from sapphirelift.core import keys
from sapphirelift.core.records import keyring
from sapphirelift.core.records import replica
from sapphirelift.core.requests import outcomes
from sapphirelift.peers import records
from sapphirelift.platform import client
from tests import processes

SERVICE = "jasen-kauppa"
FIRST, SECOND, THIRD = (bytes([n]) * 32 for n in (0x5A, 1, 2))


class TestKeyRing:
    """The key ring shared by all parts of a process."""

    def test_new_key_verifies_at_once_and_signs_later(self) -> None:
        """Guards against datagrams that a lagging process cannot verify."""
        ring = keys.KeyRing(0, {0: FIRST})
        lagging = keys.KeyRing(0, {0: FIRST})
        ring.replace({0: FIRST, 1: SECOND})
        mac = ring.sign(b"data", size_bytes=8)
        assert lagging.verify(ring.current_id, b"data", mac)
        ring.set_current_key(1)
        assert ring.verify(0, b"data", mac)
        ring.replace({1: SECOND, 2: THIRD})
        assert ring.current_id == 1
        assert not ring.verify(0, b"data", mac)

    def test_fresh_process_signs_with_the_older_key(self) -> None:
        """Guards against a process that signs with a key others still lack."""
        ring = keys.KeyRing(0, {0: FIRST})
        ring.replace({1: SECOND, 2: THIRD})
        assert ring.current_id == 1

    @pytest.mark.parametrize(
        "value",
        [
            {"current_id": 0},
            {"current_id": 2, "keys": {"1": "5a" * 32}},
            {"current_id": 256, "keys": {"256": "5a" * 32}},
            {"current_id": 1, "keys": {"1": "5a"}},
            {"current_id": 1, "keys": {"1": "no key"}},
            {"current_id": 1, "keys": {"1": "5a" * 32}, "extra": 1},
            {"current_id": 1, "keys": {str(n): "5a" * 32 for n in range(3)}},
            {"current_id": 1, "keys": {"1": "5a" * 32, "01": "a5" * 32}},
            {"current_id": 1, "keys": {"1": "5a" * 32, "²": "a5" * 32}},
            {"kind": "service", "branch": "pihlajakoti"},
        ],
    )
    def test_invalid_record_is_refused(self, value: dict[str, object]) -> None:
        """Guards against a record that leaves a daemon without a valid key."""
        common_fields = {
            "schema_version": 2,
            "kind": "keyring",
            "name": "cluster",
        }
        with pytest.raises(errors.RecordError):
            keyring.parse(common_fields | value)
        valid = {"current_id": 1, "keys": {"1": "5a" * 32}}
        assert keyring.parse(common_fields | valid).current_id == 1


class TestFetch:
    """Only daemons with the key from the settings exchange replicas."""

    def test_fetch_with_another_key_fails(self) -> None:
        """Guards against keys or records exchanged without authentication."""
        address = messages.Address("127.0.0.1", processes.free_port())
        held = replica.Replica()
        held.apply(
            [replica.StoredObject(keyring.KEY, 3, {"keys": {}})], revision=3
        )
        server = records.RecordServer(address, held, key=FIRST)
        server.start()
        try:
            assert records.fetch(address, since=0, key=FIRST).revision == 3
            with pytest.raises(errors.FetchError):
                records.fetch(address, since=0, key=SECOND)
            target = f"{address.ip}:{address.port}"
            with grpc.insecure_channel(target) as channel:
                call = channel.unary_unary("/sapphirelift.Records/Fetch")
                forged = records.FetchRequest(0, bytes(16), bytes(16))
                with pytest.raises(grpc.RpcError, match="UNAUTHENTICATED"):
                    call(msgspec.msgpack.encode(forged), timeout=5)
        finally:
            server.stop()


class TestRotation:
    """Rotation while flows are open."""

    def test_rotation_breaks_no_flow(self, fleet: processes.Fleet) -> None:
        """Guards against flows and heartbeats lost when the key changes."""
        fleet.start_platform()
        for number in range(2):
            fleet.start_balancer(f"balancer-{number}")
            fleet.start_agent(f"agent-{number}", service=SERVICE)
        fleet.start_agent("frozen", service="pakkaamo")
        fleet.wait_ready(agents=3)
        fleet.processes["frozen"].send_signal(signal.SIGSTOP)
        caller = caller_client.Caller(list(fleet.public.values()), seed=4)
        sessions = [caller.open(SERVICE) for _ in range(10)]
        client.ObjectClient(fleet.platform_url).put(
            keyring.KEY,
            {
                "schema_version": 2,
                "kind": "keyring",
                "name": "cluster",
                "current_id": 1,
                "keys": {"0": FIRST.hex(), "1": SECOND.hex()},
            },
        )
        end_s = time.monotonic() + keyring.SWITCH_AFTER_MS / 1000 + 7
        switched = False
        while not switched:
            assert time.monotonic() < end_s
            for session in sessions:
                outcome = session.request("POST", "/echo", body=b"jar")
                assert outcome == outcomes.Answered(200, b"jar")
            switched = all(
                fleet.dump(name)["keyring"]["current_id"] == 1
                for name in fleet.admin_ports
                if name != "frozen"
            )
            eventlet.sleep(0.1)
        sessions += [caller.open(SERVICE) for _ in range(10)]
        for session in sessions:
            outcome = session.request("POST", "/echo", body=b"jar")
            assert outcome == outcomes.Answered(200, b"jar")
        assert caller.broken_flows == 0
        for name in fleet.admin_ports:
            assert name == "frozen" or fleet.dump(name)["drops"] == {}
        fleet.processes["frozen"].send_signal(signal.SIGCONT)
        processes.wait_until(
            lambda: 1 in fleet.dump("frozen")["keyring"]["ids"], timeout_s=7
        )
        fleet.start_agent("late", service=SERVICE)
        fleet.wait_ready(agents=4)
        caller.close()
