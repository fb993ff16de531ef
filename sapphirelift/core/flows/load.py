"""Loads of the peers of one service, and choices based on them."""

import math
import random
from typing import NamedTuple

from sapphirelift import messages
from sapphirelift import wire
from sapphirelift.core.membership import membership

REPORT_INTERVAL_MS = 200
REPEAT_MS = 800
STALE_MS = 1200
SAMPLED_PEERS = 8
RESAMPLE_MS = 10_000
MAX_PEERS = 256
# Share of a daemon's 6 KB/s of control traffic, see ``Reporter``.
REPORT_BYTES_PER_S = 4500
UDP_IP_HEADER_BYTES = 28
# At 1 s, 80% utilisation and 40 ms of work the noise of 4 slots left an
# imbalance of up to 1.13 between real processes; 3 s halves the excess.
UTILISATION_TIME_MS = 3000.0
# Placement of flows, design page section 4.2.
FLOWS_MARGIN = 0.1
# Requests stay when utilisations differ by less than this. Larger margins
# left more imbalance and saved few transfers.
RELATIVE_MARGIN = 0.02
ABSOLUTE_MARGIN = 0.005
# An agent at the start of its ramp admits less than one request at a time.
MIN_LIMIT = 0.1
# A few slots queue at a lower use than many: an agent that ramped up with one
# slot at the use of the others, 0.75, had waits of several requests.
SLOT_RESERVE = 0.5


class LocalLoad(NamedTuple):
    """Load of this agent, fields as in ``messages.Load``."""

    state: str
    busy: int
    limit: float
    queued: int
    utilisation: float
    flows: int
    slots: int

    @property
    def use(self) -> float:
        """Utilisation of what admission allows."""
        return _use(self.utilisation, self.slots, self.limit)


class Meter:
    """Exponentially smoothed busy share of all slots."""

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._busy = 0
        self._value = 0.0
        self._at_ms: int | None = None

    def update(self, busy: int, now_ms: int) -> float:
        """Takes the number of busy slots from now on; returns the share."""
        if self._at_ms is not None:
            keep = math.exp(-(now_ms - self._at_ms) / UTILISATION_TIME_MS)
            target = self._busy / self._slots
            self._value = target + (self._value - target) * keep
        self._at_ms, self._busy = now_ms, busy
        return self._value


class Peer:
    """Last report of a peer, with what this agent has sent it since."""

    def __init__(self, report: messages.Load, now_ms: int) -> None:
        self.report = report
        self.heard_ms = now_ms
        self.requests_open = 0
        self.flows_sent = 0

    @property
    def address(self) -> messages.Address:
        """Peer socket of the agent."""
        return messages.Address(self.report.ip, self.report.port)

    @property
    def free(self) -> float:
        """Estimated number of requests that would start at once."""
        report = self.report
        taken = report.busy + report.queued + self.requests_open
        return report.limit - taken

    @property
    def use(self) -> float:
        """Utilisation of what admission allows, with open requests.

        By utilisation of all slots, agents that had just returned looked idle
        and got several times what their ramp allowed. Counting ended requests
        too kept requests at the busiest agent: one short request was taken
        for a whole report interval of work.
        """
        share = REPORT_INTERVAL_MS / UTILISATION_TIME_MS
        slots = max(self.report.slots, 1)
        utilisation = (
            self.report.utilisation + share * self.requests_open / slots
        )
        return _use(utilisation, slots, self.report.limit)

    @property
    def flows_per_slot(self) -> float:
        """Flows per slot with those sent since the report."""
        flows = self.report.flows + self.flows_sent
        return flows / max(self.report.slots, 1)

    def request_sent(self) -> None:
        """Counts a request sent to the peer since the report."""
        self.requests_open += 1

    def request_ended(self) -> None:
        """Counts the end of a request sent since the report."""
        self.requests_open -= 1


class LoadTable:
    """Reports of the other agents of one service."""

    def __init__(
        self,
        *,
        name: str,
        service: str,
        members: membership.Membership,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._service = service
        self._members = members
        self._rng = rng
        self.peers: dict[str, Peer] = {}

    def apply(self, report: messages.Load, now_ms: int) -> bool:
        """Takes over a report; returns False if it must not be used."""
        if report.service != self._service or report.name == self._name:
            return False
        held = self.peers.get(report.name)
        if held is not None and (
            (report.incarnation, report.sequence)
            <= (held.report.incarnation, held.report.sequence)
        ):
            return False
        if held is None and len(self.peers) >= MAX_PEERS:
            oldest = min(self.peers.values(), key=lambda peer: peer.heard_ms)
            del self.peers[oldest.report.name]
        self.peers[report.name] = Peer(report, now_ms)
        return True

    def usable(self, now_ms: int) -> list[Peer]:
        """Returns the peers that are up and whose report is recent."""
        return [
            peer
            for peer in self.peers.values()
            if now_ms - peer.heard_ms <= STALE_MS
            and peer.report.state == membership.UP
            and self._is_current(peer.report)
        ]

    def _is_current(self, report: messages.Load) -> bool:
        member = self._members.members.get(report.name)
        if member is None:
            return True
        if member.incarnation != report.incarnation:
            return member.incarnation < report.incarnation
        return member.state == membership.UP and not member.suspected

    def place_flow(
        self, own: LocalLoad, candidates: list[messages.Address], now_ms: int
    ) -> Peer | None:
        """Returns the candidate that should take a flow in place of this one.

        Flows per slot decide, then utilisation. The candidate must have
        fewer flows per slot by more than ``FLOWS_MARGIN``, and by more than
        one flow, so that the flow does not make it the more loaded one.
        """
        options = [
            peer
            for peer in self.usable(now_ms)
            if peer.address in candidates and peer.report.limit >= 1
        ]
        if not options:
            return None
        best = min(options, key=lambda p: (p.flows_per_slot, p.use))
        here = own.flows / own.slots
        there = best.flows_per_slot
        one_flow = 1 / max(best.report.slots, 1)
        if there >= here * (1 - FLOWS_MARGIN) or here - there < one_flow:
            return None
        best.flows_sent += 1
        return best

    def place_request(self, own: LocalLoad, now_ms: int) -> Peer | None:
        """Returns the peer that should run a request in place of this agent.

        A free local slot is used unless local utilisation is clearly above
        the mean of the peers. Of two peers drawn at random the less utilised
        one is compared with this agent, so that agents with the same reports
        do not all choose the same peer.
        """
        peers = self.usable(now_ms)
        if not peers:
            return None
        is_free = own.busy + own.queued < own.limit
        mean = sum(peer.use for peer in peers) / len(peers)
        if is_free and own.use <= _with_margin(mean):
            return None
        options = [peer for peer in peers if peer.free >= 1]
        if not options:
            return self._shorter_queue(own, peers)
        pair = self._draw_pair(options)
        best = min(pair, key=lambda peer: peer.use)
        if is_free and own.use <= _with_margin(best.use):
            return None
        if best.use > _with_margin(own.use):
            return None
        best.request_sent()
        return best

    def _draw_pair(self, peers: list[Peer]) -> list[Peer]:
        """Draws two peers, each with a chance that grows with its limit.

        With equal chances an agent that ramps up and reported one free slot
        got a dozen requests from its peers before its next report.
        """

        def key(peer: Peer) -> float:
            weight = max(peer.report.limit, MIN_LIMIT)
            return self._rng.random() ** (1.0 / weight)

        return sorted(peers, key=key, reverse=True)[:2]

    def _shorter_queue(self, own: LocalLoad, peers: list[Peer]) -> Peer | None:
        """Returns a peer whose queue is shorter while no peer has free slots.

        A queue of the same length is enough at a clearly less utilised peer,
        because its slots are likely to be free again since the report.
        """
        pair = self._draw_pair(peers)
        best = max(pair, key=lambda peer: peer.free)
        is_below = own.use > _with_margin(best.use)
        here = own.limit - own.busy - own.queued
        if best.report.limit < 1 or best.free < here + (0 if is_below else 2):
            return None
        best.request_sent()
        return best


def _use(utilisation: float, slots: int, limit: float) -> float:
    return utilisation * slots / max(limit - SLOT_RESERVE, MIN_LIMIT)


def _with_margin(utilisation: float) -> float:
    return utilisation * (1 + RELATIVE_MARGIN) + ABSOLUTE_MARGIN


class Reporter:
    """Decides when and to whom this agent reports its load.

    A report has at most about 150 bytes (12 of header, 28 of UDP and IP,
    about 70 of fixed fields and the names of member and service). 8 peers
    every 200 ms would be 6,000 bytes a second, so rounds are spaced such that
    a second carries ``REPORT_BYTES_PER_S`` = 4,500 bytes. Three heartbeats a
    second of at most 250 bytes each add 750. The sum of 5,250 bytes a second
    stays below the 6,000 of a daemon. With 6 peers and short names a round of
    130 bytes each fits into 200 ms.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        address: messages.Address,
        incarnation: int,
        members: membership.Membership,
        rng: random.Random,
    ) -> None:
        self._report = messages.Load(
            name=name,
            service=service,
            ip=address.ip,
            port=address.port,
            incarnation=incarnation,
            sequence=0,
            state=membership.UP,
            busy=0,
            limit=0.0,
            queued=0,
            utilisation=0.0,
            flows=0,
            slots=0,
        )
        self._members = members
        self._rng = rng
        self._last: LocalLoad | None = None
        self._sent_ms = 0
        self._next_ms = 0
        self._sampled: list[str] = []
        self._resample_ms = 0

    def renew(self, incarnation: int) -> None:
        """Reports as another incarnation from now on."""
        self._report = self._report._replace(incarnation=incarnation)
        self._last = None

    def due(
        self, own: LocalLoad, now_ms: int
    ) -> tuple[bytes, list[messages.Address]]:
        """Returns the report to send now, encoded, and its receivers."""
        own = own._replace(
            utilisation=round(own.utilisation, 3), limit=round(own.limit, 2)
        )
        changed = own != self._last
        if now_ms < self._next_ms or (
            not changed and now_ms - self._sent_ms < REPEAT_MS
        ):
            return b"", []
        receivers = self._receivers(now_ms)
        if not receivers:
            return b"", []
        self._last, self._sent_ms = own, now_ms
        self._report = self._report._replace(
            sequence=self._report.sequence + 1, **own._asdict()
        )
        body = wire.encode_body(self._report)
        size = len(body) + wire.PEER_HEADER_BYTES + UDP_IP_HEADER_BYTES
        spacing_ms = len(receivers) * size * 1000 / REPORT_BYTES_PER_S
        self._next_ms = now_ms + max(REPORT_INTERVAL_MS, math.ceil(spacing_ms))
        return body, receivers

    def _receivers(self, now_ms: int) -> list[messages.Address]:
        """Returns the sampled peers; the sample is kept for a while."""
        peers = {
            member.name: member.address
            for member in self._members.with_role(
                "agent", service=self._report.service
            )
            if member.name != self._report.name
        }
        wanted = min(SAMPLED_PEERS, len(peers))
        kept = [name for name in self._sampled if name in peers]
        if now_ms >= self._resample_ms or len(kept) < wanted:
            self._resample_ms = now_ms + RESAMPLE_MS
            kept = self._rng.sample(sorted(peers), wanted)
        self._sampled = kept
        return [peers[name] for name in kept]
