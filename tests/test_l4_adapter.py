"""Decoding of platform formats, daemon messages and daemon settings."""

import json

import pytest

from sapphirelift import deployment
from sapphirelift import errors
from sapphirelift.core.l4 import backend
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import routes
from sapphirelift.platform import configuration
from sapphirelift.platform import packets
from sapphirelift.platform import reports
from sapphirelift.standins import flow_ends

# A published example: a SYN from 100.64.0.7:40001 to 198.18.0.1:443, and the
# reset that answers it.
SYN = bytes.fromhex(
    "02 01 00 12 c6 41 9c bb 01 07 00 40 64 00 00 00 00 d5 c3 b2 a1"
    "44 33 22 11 00 00 00 00 00 00"
)
RESET = bytes.fromhex(
    "10 07 00 40 64 bb 01 41 9c 01 00 12 c6 00 00 00 00 00 00 00 00"
    "00 00 00 00 00 00 00 00 00 00"
)
FLOW = packet.FlowKey(
    packets.ip_number("100.64.0.7"), 40001, packets.ip_number("198.18.0.1"), 443
)
REPORT = {
    "Service": "shop",
    "Address": "10.1.0.9:80",
    "Zone": "a",
    "Version": "v1",
    "MaxConcurrency": 4,
    "State": "ready",
    "WarmupRemainingMs": 1500,
    "Sequence": 4,
    "born": 1_700_000_000_000,
}


def decode_report(body: bytes) -> backend.Report:
    """Decodes a report at the agent of the server that ``REPORT`` names."""
    subject = reports.Subject(messages.Address("10.1.0.9", 80), "shop", "a")
    return reports.decode("i-1", body, subject=subject)


class TestPackets:
    """Encoding and decoding of packets."""

    def test_published_example(self) -> None:
        """Guards against a field at the wrong offset or byte order."""
        decoded = packets.decode_from_caller(SYN)
        assert decoded.flow == FLOW
        assert decoded.is_syn
        assert not (decoded.is_ack or decoded.is_fin or decoded.is_reset)
        assert decoded.sequence == 0x11223344
        assert decoded.payload_bytes == 0
        assert decoded.raw is SYN
        assert packets.encode_reset(FLOW, 0) == RESET

    def test_directions_name_the_same_flow(self) -> None:
        """Guards against replies that are assigned to another flow."""
        reply = flow_ends.from_backend(FLOW, flow_ends.SYN | flow_ends.ACK)
        assert packets.decode_from_backend(reply).flow == FLOW

    def test_bounced_packet_is_decoded_as_the_caller_sent_it(self) -> None:
        """Guards against a packet that is forwarded with its bounce flag."""
        bounced = bytes([SYN[0] | flow_ends.BOUNCED]) + SYN[1:]
        decoded = packets.decode_from_backend(bounced)
        assert decoded.is_bounced
        assert decoded.flow == FLOW
        assert decoded.raw == SYN

    @pytest.mark.parametrize(
        "data",
        [b"", SYN[:-1], SYN + b"x", SYN[:-2] + b"\xff\xff", bytes(2000)],
    )
    def test_malformed_packets_are_refused(self, data: bytes) -> None:
        """Guards against a malformed packet that crashes the process."""
        with pytest.raises(errors.DatagramError):
            packets.decode_from_caller(data)


class TestReports:
    """Reports of backend servers."""

    def test_report(self) -> None:
        """Guards against fields that are mistaken for one another."""
        report = decode_report(json.dumps(REPORT).encode())
        assert report.backend_id == "i-1"
        assert (report.number, report.slots, report.cold_ms) == (4, 4, 1500)
        assert not report.is_draining

    @pytest.mark.parametrize(
        "change",
        [
            {"State": "asleep"},
            {"State": None},
            {"MaxConcurrency": 0},
            {"MaxConcurrency": "4"},
            {"Sequence": 1.5},
            {"Service": ""},
            {"born": "yesterday"},
            {"born": 1.5},
            {"born": 0},
            {"born": 10**30},
            {"Sequence": -1},
            {"Sequence": 10**30},
            {"MaxConcurrency": 10**30},
            {"WarmupRemainingMs": -1},
            {"WarmupRemainingMs": 1e300},
            {"Version": 1},
            {"Service": "other"},
            {"Zone": "b"},
            {"Address": "10.1.0.9:81"},
            {"Address": "10.1.0.9:99999"},
            {"Address": "host:80"},
            {"Address": None},
        ],
        ids=str,
    )
    def test_invalid_report_is_refused(self, change: dict[str, object]) -> None:
        """Guards against an invalid report attributed to a backend server."""
        with pytest.raises(errors.ReportError):
            decode_report(json.dumps(REPORT | change).encode())

    # Guards against a report of another writer that is taken for a new start
    # of the backend server, whose flows are then reset (review/4).
    @pytest.mark.parametrize("field", list(REPORT))
    def test_report_without_a_field_is_refused(self, field: str) -> None:
        """Each field is needed to tell whose report it is, or its state."""
        body = {name: REPORT[name] for name in REPORT if name != field}
        with pytest.raises(errors.ReportError):
            decode_report(json.dumps(body).encode())

    def test_unreadable_bytes(self) -> None:
        """Guards against errors of the JSON decoder that are not converted."""
        for body in (b"", b"\xff\xfe", b"[]", b"{"):
            with pytest.raises(errors.ReportError):
                decode_report(body)


class TestConfiguration:
    """The operators' configuration."""

    def test_routes_and_services(self) -> None:
        """Guards against a route that is lost or leads to the wrong service."""
        value = {
            "Version": 7,
            "Routes": [
                {
                    "Name": "one",
                    "Host": "198.18.0.1",
                    "PathPrefix": "/8443/",
                    "Type": "safe",
                    "TrafficSplit": [
                        {"Service": "shop", "Weight": 90},
                        {"Service": "packing", "Weight": 10},
                    ],
                },
                {
                    "Name": "two",
                    "Host": "198.18.0.2",
                    "PathPrefix": "/443/",
                    "Service": "shop",
                },
            ],
            "Services": [
                {"Name": "shop", "MaxConnections": 2000, "WarmupPerS": 8.0}
            ],
            "Limits": {"IdleTimeoutMs": 15000, "MaxBodyBytes": 1},
        }
        decoded = configuration.decode(value, 30)
        assert (decoded.revision, decoded.version) == (30, 7)
        one = decoded.routes[
            routes.RouteKey(packets.ip_number("198.18.0.1"), 8443)
        ]
        assert one.services == ("shop", "packing")
        assert decoded.services["shop"].cold_opens_per_s == 8.0
        chosen = [
            one.service_for(FLOW._replace(caller_port=port))
            for port in range(1000)
        ]
        assert 50 < chosen.count("packing") < 160

    @pytest.mark.parametrize(
        "value",
        [
            None,
            {},
            {"Version": "7"},
            {
                "Version": 1,
                "Routes": [{"Name": "a", "Host": "x", "PathPrefix": "/1/"}],
            },
            {
                "Version": 1,
                "Routes": [
                    {"Name": "a", "Host": "1.2.3.4", "PathPrefix": "/1/"}
                ],
            },
        ],
        ids=str,
    )
    def test_invalid_configuration_is_refused(self, value: object) -> None:
        """Guards against a configuration that is applied in part."""
        with pytest.raises(errors.ConfigurationError):
            configuration.decode(value, 1)


class TestMessages:
    """Messages between daemons."""

    def test_round_trip(self) -> None:
        """Guards against a field that is lost in encoding or decoding."""
        address = messages.Address("10.1.0.2", 7720)
        message = messages.Open("shop", address, (address,), True, SYN)
        assert messages.decode(messages.encode(message)) == message

    @pytest.mark.parametrize("data", [b"", b"\xff", b"\x00", b"\x00\xc1", SYN])
    def test_malformed_messages_are_refused(self, data: bytes) -> None:
        """Guards against a malformed message that crashes the process."""
        with pytest.raises(errors.DatagramError):
            messages.decode(data)


class TestSettings:
    """Settings of the daemon."""

    SETTINGS = {
        "name": "front-1",
        "role": "balancer",
        "ip": "10.1.0.1",
        "data_centre": "a",
        "region": "r",
        "packets": "10.1.0.1:80",
        "readiness": "10.1.0.1:81",
        "internal_ports": [7720, 7735],
        "platform": "10.200.1.7:8169",
        "report_interval_ms": 1200,
        "contact_ms": 4000,
        "stop_timeout_s": 6,
    }

    def test_valid_settings(self) -> None:
        """Guards against listening on ports that other daemons do not use."""
        settings = deployment.parse(json.dumps(self.SETTINGS).encode())
        assert settings.daemon_address == ("10.1.0.1", 7720)
        assert settings.admin_address == ("10.1.0.1", 7735)

    def test_fractional_bounds_and_a_single_internal_port(self) -> None:
        """Guards against a daemon that refuses the settings of another site."""
        change = {
            "contact_ms": 4000.5,
            "stop_timeout_s": 6.5,
            "report_interval_ms": 770.25,
            "internal_ports": [7720, 7720],
        }
        settings = deployment.parse(json.dumps(self.SETTINGS | change).encode())
        assert settings.stop_timeout_s == 6.5
        assert settings.daemon_address.port == settings.admin_address.port

    @pytest.mark.parametrize(
        ("change", "field"),
        [
            ({"packets": "10.1.0.1"}, "packets"),
            ({"packets": "host:80"}, "packets"),
            ({"readiness": "10.1.0.1:99999"}, "readiness"),
            ({"platform": "10.1.0.1:-1"}, "platform"),
            ({"internal_ports": [2, 1]}, "internal_ports"),
            ({"contact_ms": 0}, "contact_ms"),
            ({"role": "agent"}, "service"),
            ({"colour": "red"}, "colour"),
        ],
        ids=str,
    )
    def test_error_names_the_field(
        self, change: dict[str, object], field: str
    ) -> None:
        """Guards against invalid settings that are accepted or not named."""
        with pytest.raises(errors.SettingsError, match=field):
            deployment.parse(json.dumps(self.SETTINGS | change).encode())
