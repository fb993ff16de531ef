"""Load reports between the agents of one service, and placement by load."""

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
# Part of the limit of 6 KB/s of control traffic per daemon; ``Reporter``
# derives the value.
REPORT_BYTES_PER_S = 4500
UDP_IP_HEADER_BYTES = 28
# Time constant of the smoothing. With 1 s, at 80% utilisation and 40 ms of
# work per request, the noise of 4 slots left an imbalance of up to 1.13
# between real processes; 3 s halves the part above 1.
UTILISATION_TIME_MS = 3000.0
# Relative difference in flows per slot above which a new flow is forwarded
# to another candidate; see section 4.2 of the design page.
FLOWS_MARGIN = 0.1
# A request is transferred only if the utilisations differ by more than these
# margins. Larger margins left more imbalance and saved few transfers.
RELATIVE_MARGIN = 0.02
ABSOLUTE_MARGIN = 0.005
# Lower bound of an agent's limit in divisions and weights. At the start of
# its ramp an agent admits less than one request at a time.
MIN_LIMIT = 0.1
# Slots subtracted from the limit when utilisation is computed. With few slots
# queues form at a lower utilisation than with many: at a ramping agent with
# one slot and the utilisation of its peers, 0.75, requests waited for several
# others.
SLOT_RESERVE = 0.5


class LocalLoad(NamedTuple):
    """Load of the local agent, with the fields of ``messages.Load``."""

    state: str
    busy: int
    limit: float
    queued: int
    utilisation: float
    flows: int
    slots: int

    @property
    def limit_utilisation(self) -> float:
        """Utilisation relative to the current admission limit."""
        return _limit_utilisation(self.utilisation, self.slots, self.limit)


class Meter:
    """Exponentially smoothed utilisation of all slots."""

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._busy = 0
        self._value = 0.0
        self._updated_ms: int | None = None

    def update(self, busy: int, now_ms: int) -> float:
        """Sets the current number of busy slots; returns the utilisation."""
        if self._updated_ms is not None:
            decay = math.exp(-(now_ms - self._updated_ms) / UTILISATION_TIME_MS)
            target = self._busy / self._slots
            self._value = target + (self._value - target) * decay
        self._updated_ms, self._busy = now_ms, busy
        return self._value


class Peer:
    """Last report of a peer, and the work sent to the peer since then."""

    def __init__(self, report: messages.Load, now_ms: int) -> None:
        self.report = report
        self.last_heard_ms = now_ms
        self.requests_open = 0
        self.flows_sent = 0

    @property
    def address(self) -> messages.Address:
        """Address of the peer socket of the agent."""
        return messages.Address(self.report.ip, self.report.port)

    @property
    def free(self) -> float:
        """Estimated number of requests that would start without queueing."""
        report = self.report
        taken = report.busy + report.queued + self.requests_open
        return report.limit - taken

    @property
    def limit_utilisation(self) -> float:
        """Utilisation relative to the admission limit, with open requests.

        Utilisation relative to all slots made agents that had just returned
        look idle, so that they got several times the requests that their ramp
        allowed. Requests that have ended since the report don't count: when
        they did, each short request counted as work for a whole report
        interval, and requests stayed at the busiest agent.
        """
        share = REPORT_INTERVAL_MS / UTILISATION_TIME_MS
        slots = max(self.report.slots, 1)
        utilisation = (
            self.report.utilisation + share * self.requests_open / slots
        )
        return _limit_utilisation(utilisation, slots, self.report.limit)

    @property
    def flows_per_slot(self) -> float:
        """Flows per slot, including flows sent since the report."""
        flows = self.report.flows + self.flows_sent
        return flows / max(self.report.slots, 1)

    def request_sent(self) -> None:
        """Counts a request sent to the peer since the report."""
        self.requests_open += 1

    def request_ended(self) -> None:
        """Counts the end of a request sent since the report."""
        self.requests_open -= 1


class LoadTable:
    """Latest load reports of the other agents of one service."""

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
        """Stores a report; returns False if it is foreign or outdated."""
        if report.service != self._service or report.name == self._name:
            return False
        known = self.peers.get(report.name)
        if known is not None and (
            (report.incarnation, report.sequence)
            <= (known.report.incarnation, known.report.sequence)
        ):
            return False
        if known is None and len(self.peers) >= MAX_PEERS:
            oldest = min(
                self.peers.values(), key=lambda peer: peer.last_heard_ms
            )
            del self.peers[oldest.report.name]
        self.peers[report.name] = Peer(report, now_ms)
        return True

    def usable_peers(self, now_ms: int) -> list[Peer]:
        """Returns the peers that are up and whose last report is recent."""
        return [
            peer
            for peer in self.peers.values()
            if now_ms - peer.last_heard_ms <= STALE_MS
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
        """Returns the candidate that should own a new flow, or None.

        None means that the flow stays at this agent. The candidate with the
        fewest flows per slot is preferred; utilisation breaks ties. It must
        have fewer flows per slot than this agent by more than ``FLOWS_MARGIN``,
        and by at least one flow, so that the new flow does not make it the
        more loaded one.
        """
        options = [
            peer
            for peer in self.usable_peers(now_ms)
            if peer.address in candidates and peer.report.limit >= 1
        ]
        if not options:
            return None
        best = min(
            options, key=lambda p: (p.flows_per_slot, p.limit_utilisation)
        )
        own_flows = own.flows / own.slots
        best_flows = best.flows_per_slot
        one_flow = 1 / max(best.report.slots, 1)
        if (
            best_flows >= own_flows * (1 - FLOWS_MARGIN)
            or own_flows - best_flows < one_flow
        ):
            return None
        best.flows_sent += 1
        return best

    def place_request(self, own: LocalLoad, now_ms: int) -> Peer | None:
        """Returns the peer that should run a request, or None.

        None means that the request stays at this agent. A free local slot is
        used unless the local utilisation exceeds the mean of the peers by
        more than the margins. Otherwise two peers are drawn at random and the
        less utilised one is compared with this agent ("power of two
        choices"), so that agents with the same reports don't all choose the
        same peer.
        """
        peers = self.usable_peers(now_ms)
        if not peers:
            return None
        has_free_slot = own.busy + own.queued < own.limit
        mean = sum(peer.limit_utilisation for peer in peers) / len(peers)
        if has_free_slot and own.limit_utilisation <= _with_margin(mean):
            return None
        options = [peer for peer in peers if peer.free >= 1]
        if not options:
            return self._shorter_queue(own, peers)
        pair = self._draw_pair(options)
        best = min(pair, key=lambda peer: peer.limit_utilisation)
        if has_free_slot and own.limit_utilisation <= _with_margin(
            best.limit_utilisation
        ):
            return None
        if best.limit_utilisation > _with_margin(own.limit_utilisation):
            return None
        best.request_sent()
        return best

    def _draw_pair(self, peers: list[Peer]) -> list[Peer]:
        """Draws two peers at random, weighted by their limits.

        With equal weights a ramping agent that had reported one free slot
        got a dozen requests from its peers before its next report.
        """

        def key(peer: Peer) -> float:
            weight = max(peer.report.limit, MIN_LIMIT)
            return self._rng.random() ** (1.0 / weight)

        return sorted(peers, key=key, reverse=True)[:2]

    def _shorter_queue(self, own: LocalLoad, peers: list[Peer]) -> Peer | None:
        """Returns a peer with a shorter queue, or None.

        This is the choice while no peer has free slots. The peer must have
        at least two requests fewer than this agent, relative to the limits.
        An equal number is enough if its utilisation is lower by more than
        the margins: some of its slots are likely to have become free since
        the report.
        """
        pair = self._draw_pair(peers)
        best = max(pair, key=lambda peer: peer.free)
        is_less_utilised = own.limit_utilisation > _with_margin(
            best.limit_utilisation
        )
        own_free = own.limit - own.busy - own.queued
        if best.report.limit < 1 or best.free < own_free + (
            0 if is_less_utilised else 2
        ):
            return None
        best.request_sent()
        return best


def _limit_utilisation(utilisation: float, slots: int, limit: float) -> float:
    return utilisation * slots / max(limit - SLOT_RESERVE, MIN_LIMIT)


def _with_margin(utilisation: float) -> float:
    return utilisation * (1 + RELATIVE_MARGIN) + ABSOLUTE_MARGIN


class Reporter:
    """Decides when this agent reports its load, and to which peers.

    A report has at most about 150 bytes: 12 of header, 28 of UDP and IP
    headers, about 70 of fixed fields, and the names of member and service.
    Reports to 8 peers every 200 ms would take 6,000 bytes a second. The
    rounds are therefore spaced so that reports take at most
    ``REPORT_BYTES_PER_S`` = 4,500 bytes a second. Three heartbeats a second of
    at most 250 bytes each add 750. The sum of 5,250 bytes a second stays below
    the limit of 6,000 per daemon. With 6 peers and short names, a round of
    reports of 130 bytes each fits into 200 ms.
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

    def change_incarnation(self, incarnation: int) -> None:
        """Sets the incarnation of this agent for the reports that follow."""
        self._report = self._report._replace(incarnation=incarnation)
        self._last = None

    def due_report(
        self, own: LocalLoad, now_ms: int
    ) -> tuple[bytes, list[messages.Address]]:
        """Returns the encoded report to send now, and its receivers.

        The list of receivers is empty if no report is due.
        """
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
        """Returns the addresses of a random sample of the peers.

        The sample is drawn again every ``RESAMPLE_MS``, and earlier if it has
        become smaller than wanted.
        """
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
