"""Key rotation: MOVEs to callers, the commands and secrecy of keys."""

import json
import pathlib
import signal
import time
import urllib.request
from typing import Any

import eventlet
import pytest
from eventlet import tpool

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.callers import client as caller_client
from sapphirelift.core import actions
from sapphirelift.core import agent
from sapphirelift.core import keys
from sapphirelift.core import limits
from sapphirelift.core.records import keyring
from sapphirelift.core.requests import outcomes
from sapphirelift.operators import key_commands
from sapphirelift.platform import client
from tests import processes
from tests import test_cli
from tests import test_requests

SERVICE = "jasen-kauppa"


class TestMoves:
    """MOVEs of an agent after a change of the signing key."""

    def test_old_flows_are_asked_at_a_bounded_rate(self) -> None:
        """Guards against flows that are never moved and bursts of MOVEs."""
        ring = keys.KeyRing(0, {0: bytes(32)})
        core = agent.AgentCore(
            agent.AgentIdentity("a", test_requests.AGENT, 1, "service", "dc"),
            limits=limits.AgentLimits(key_move_repeat_ms=7000),
            ring=ring,
        )

        def open_flow(number: int) -> None:
            open_datagram = wire.encode_caller(
                messages.Kind.OPEN,
                number.to_bytes(16, "big"),
                messages.Open("service", 0),
            )
            body = wire.encode_body(
                messages.OpenForward(
                    test_requests.CALLER,
                    test_requests.BALANCER,
                    0,
                    [],
                    open_datagram,
                )
            )
            kind = messages.Kind.OPEN_FORWARD
            event = agent.PeerDatagram(test_requests.BALANCER, kind, body)
            core.handle(event, now_ms=0)

        def moves(now_ms: int) -> list[bytes]:
            found = []
            for action in core.handle(agent.Tick(), now_ms=now_ms):
                if isinstance(action, actions.SendPeer):
                    _, body = wire.decode_peer(action.data, ring)
                    _, data = wire.decode_forward(body)
                    datagram = wire.decode_caller(data)
                    if datagram.kind == messages.Kind.MOVE:
                        found.append(datagram.flow_key)
            return found

        for number in range(10):
            open_flow(number)
        ring.replace({0: bytes(32), 1: bytes([1]) * 32})
        assert not any(moves(now_ms) for now_ms in range(0, 2000, 20))
        ring.set_current_key(1)
        open_flow(10)
        moves_by_time = {
            now_ms: found
            for now_ms in range(2000, 8980, 20)
            if (found := moves(now_ms))
        }
        moved_keys = [key for found in moves_by_time.values() for key in found]
        assert sorted(moved_keys) == [n.to_bytes(16, "big") for n in range(10)]
        gaps = [
            b - a
            for a, b in zip(
                moves_by_time, list(moves_by_time)[1:], strict=False
            )
        ]
        assert min(gaps) >= 500
        repeated_keys = [
            k for now_ms in range(9000, 20_000, 20) for k in moves(now_ms)
        ]
        assert set(repeated_keys) == set(moved_keys)


class TestCommands:
    """The ``sapphirelift keys`` commands, without daemons."""

    def test_rotation_and_its_refusals(
        self, fleet: processes.Fleet, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a key removed while daemons or flows need it."""
        fleet.start_platform()
        tool = test_cli.Tool(tmp_path, fleet.platform_url)
        platform = client.ObjectClient(fleet.platform_url, calls_per_s=100)
        settings = tmp_path / "settings.json"
        settings.write_text(
            json.dumps({"cluster_key_hex": processes.CLUSTER_KEY_HEX})
        )

        def error_of(*arguments: str) -> str:
            completed = tool.run("keys", *arguments)
            assert completed.returncode in (1, 2)
            assert completed.stderr.count("\n") == 1
            return completed.stderr

        def put_status(revision: int, not_observed: int) -> None:
            value = {
                "observed_revisions": {"a": revision},
                "members_not_observed": not_observed,
            }
            platform.put(key_commands.STATUS_KEY, value)

        assert "--settings=FILE" in error_of("rotate")
        option = f"--settings={settings}"
        rotated = tool.json("keys", "rotate", option)
        assert (rotated["current_id"], rotated["ids"]) == (1, [0, 1])
        stored = platform.get(keyring.KEY)
        assert stored is not None
        keys_by_id = stored.value["keys"]
        assert keys_by_id["0"] == processes.CLUSTER_KEY_HEX
        assert keys_by_id["1"] != keys_by_id["0"]
        assert "keys retire" in error_of("rotate")
        assert "in force at 1 daemons" in error_of("retire")
        put_status(stored.revision - 1, 0)
        assert "in force at 1 daemons" in error_of("retire")
        put_status(stored.revision, 2)
        assert "in force at 2 daemons" in error_of("retire")
        put_status(stored.revision, 0)
        assert "old and flows may use" in error_of("retire")
        rotation = platform.get(key_commands.ROTATION_KEY)
        assert rotation is not None
        old_ms = key_commands.MIN_AGE_S * 1000
        rotation_value = rotation.value | {
            "wall_ms": rotation.value["wall_ms"] - old_ms
        }
        platform.put(
            key_commands.ROTATION_KEY, rotation_value | {"revision": 1}
        )
        assert "not known when" in error_of("retire")
        platform.put(key_commands.ROTATION_KEY, rotation_value)
        assert tool.json("keys", "retire")["ids"] == [1]
        assert "no old key" in error_of("retire")
        assert tool.json("keys", "rotate")["ids"] == [1, 2]
        assert tool.json("keys", "retire", "--force")["ids"] == [2]


class TestSecrecy:
    """Rotation with running daemons, and all output of the system."""

    @pytest.mark.timeout(180)
    def test_flows_survive_and_no_key_is_shown(
        self, fleet: processes.Fleet, tmp_path: pathlib.Path
    ) -> None:
        """Guards against flows lost with the old key and keys in outputs."""
        fleet.start_platform()
        fleet.start_balancer("balancer")
        for number in range(2):
            fleet.start_agent(f"agent-{number}", service=SERVICE)
        fleet.wait_ready(agents=2)
        tool = test_cli.Tool(tmp_path, fleet.platform_url)
        platform = client.ObjectClient(fleet.platform_url, calls_per_s=100)
        caller = caller_client.Caller(list(fleet.public.values()), seed=4)
        sessions = [caller.open(SERVICE) for _ in range(6)]
        outputs: list[str] = []

        def run(*arguments: str) -> None:
            # In a thread, so that the caller's green threads keep running.
            completed = tpool.execute(tool.run, *arguments)
            outputs.extend((completed.stdout, completed.stderr))

        run("keys", "rotate", f"--settings={tmp_path / 'balancer.json'}")
        stored = platform.get(keyring.KEY)
        assert stored is not None
        record = tmp_path / "keyring-record.json"
        record.write_text(json.dumps(stored.value))

        def all_flows_moved() -> bool:
            dumps = [fleet.dump(f"agent-{n}") for n in range(2)]
            counts = [d["counters"].get("moves_key_rotated", 0) for d in dumps]
            return sum(counts) >= len(sessions)

        def use_sessions() -> None:
            for session in sessions:
                outcome = session.request("POST", "/echo", body=b"jar")
                assert outcome == outcomes.Answered(200, b"jar")

        end_s = time.monotonic() + 60
        while not all_flows_moved():
            assert time.monotonic() < end_s
            use_sessions()
            eventlet.sleep(0.2)
        eventlet.sleep(2)  # The callers close their old flows.
        for arguments in (
            ("keys", "show"),
            ("keys",),
            ("keys", "rotate"),
            ("keys", "retire"),
            ("get", "keyring", "cluster"),
            ("list", "keyring"),
            ("diff", str(record)),
            ("validate", str(record)),
            ("status",),
            ("keys", "retire", "--force"),
            ("diff", str(record)),
            ("keys", "show", "--output=json"),
            *(("dump", f"127.0.0.1:{p}") for p in fleet.admin_ports.values()),
        ):
            run(*arguments)
        tpool.execute(
            processes.wait_until,
            lambda: all(
                fleet.dump(name)["keyring"]["ids"] == [1]
                for name in fleet.admin_ports
            ),
        )
        use_sessions()
        assert caller.broken_flows == 0
        for name, port in fleet.admin_ports.items():
            url = f"http://127.0.0.1:{port}/metrics"
            with urllib.request.urlopen(url, timeout=3) as answer:
                outputs.append(answer.read().decode())
            fleet.processes[name].send_signal(signal.SIGUSR1)
            outputs.append(json.dumps(fleet.dump(name)))
        logs = list(fleet.directory.glob("*.log"))
        processes.wait_until(
            lambda: sum("state_dump" in log.read_text() for log in logs) == 3
        )
        outputs += [log.read_text() for log in logs]
        status = platform.list_objects("").objects
        outputs += [json.dumps(o.value) for o in status if o.key != keyring.KEY]
        caller.close()
        assert any("keyring_in_force" in text for text in outputs)
        for digits in stored.value["keys"].values():
            for secret in _text_forms(bytes.fromhex(digits)):
                assert not any(secret in text for text in outputs)


def _text_forms(key: bytes) -> list[str]:
    """Returns the forms in which a key could appear in an output."""
    values: list[Any] = [list(key), key.hex(), key.hex().upper()]
    return [str(v).strip("[]") for v in values] + [repr(key)[2:-1]]
