"""Second offers of openings whose requests may be repeated.

A balancer offers such an opening to a second agent if the first one is late or
likely to be slow, within a share of the openings that it has seen accepted.
"""

import collections
import dataclasses
import statistics
from collections.abc import Callable
from collections.abc import Sequence

from sapphirelift.core.l4 import actions
from sapphirelift.core.l4 import agents
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import opening as opening_module
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import placement

# An opening is late if it takes longer than this share of those of late: the
# slowest twentieth holds what callers call slow, and a limit of a few percent
# suffices for it.
LATE_QUANTILE = 0.95
# Openings from which that time is taken, and the fewest that tell it: below
# them, the slowest twentieth is not even one opening. They are counted anew
# after as many more.
RECENT_OPENINGS = 200
FEWEST_OPENINGS = 20
# Shortest time before an opening counts as late: the interval of ``tick``,
# several times what an agent in another data centre takes (a round trip of
# 6 ms).
MIN_DELAY_MS = 20
# Most extra offers saved up: those that an agent that has fallen silent makes
# late at 30 openings a second, until the balancer turns away from it.
MAX_SAVED = 4.0
# What was saved is lost after this long without openings of the service: it is
# a share of the openings of the last seconds.
SAVED_FOR_MS = 10_000
# Requests per slot of the watched servers up to which an extra offer costs no
# more than one, and at which there are none. A second acceptance reserves a
# slot until its agent knows that the caller does not use it.
ROOMY_LOAD = 0.5
FULL_LOAD = 0.9
# Share of the openings of late that was refused or held at which there are no
# extra offers: one held opening is a reason for another offer, many are a
# shortage.
STRAINED_SHARE = 0.1
# Openings refused or held count for this long: ten times as long as an agent
# holds one, so that a shortage is over before there are extra offers again.
STRAIN_MS = 6000
# A spell of withheld offers ends after this long without one.
SPELL_MS = 5000
# A service without openings for this long is forgotten.
FORGET_MS = 60_000

Log = Callable[..., None]


@dataclasses.dataclass(slots=True)
class _Spell:
    """Time in which extra offers were withheld again and again."""

    since_ms: int
    last_ms: int = 0
    withheld: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


class _Openings:
    """What the openings of one service were like of late.

    Attributes:
        delay_ms: Time after which an opening counts as late.
        saved: Number of extra offers that may be made.
        used_ms: When the last opening was accepted, refused or held.
        spell: Present spell of withheld offers.
    """

    def __init__(self, now_ms: int) -> None:
        self.delay_ms = opening_module.OPEN_ANSWER_MS
        self.saved = 0.0
        self.used_ms = now_ms
        self.spell: _Spell | None = None
        self._times_ms: collections.deque[int] = collections.deque(
            maxlen=RECENT_OPENINGS
        )
        self._uncounted = 0
        self._outcomes: collections.deque[tuple[int, bool]] = collections.deque(
            maxlen=RECENT_OPENINGS
        )

    def add(self, took_ms: int, earned: float, now_ms: int) -> None:
        """Adds an accepted opening."""
        self.expire(now_ms)
        self.saved = min(self.saved + earned, MAX_SAVED)
        self.used_ms = now_ms
        self._outcomes.append((now_ms, False))
        self._times_ms.append(took_ms)
        self._uncounted += 1
        if self._uncounted >= FEWEST_OPENINGS:
            self._uncounted = 0
            ordered = sorted(self._times_ms)
            late_ms = ordered[int(LATE_QUANTILE * len(ordered))]
            self.delay_ms = min(
                max(late_ms, MIN_DELAY_MS), opening_module.OPEN_ANSWER_MS
            )

    def add_strained(self, now_ms: int) -> None:
        """Adds an opening that was refused or held."""
        self.used_ms = now_ms
        self._outcomes.append((now_ms, True))

    def expire(self, now_ms: int) -> None:
        """Drops what was saved if there were no openings of late."""
        if now_ms - self.used_ms > SAVED_FOR_MS:
            self.saved = 0.0

    def strain(self, now_ms: int) -> float:
        """Returns the share of the openings of late refused or held."""
        while self._outcomes and now_ms - self._outcomes[0][0] > STRAIN_MS:
            self._outcomes.popleft()
        strained = sum(is_strained for _, is_strained in self._outcomes)
        return strained / max(len(self._outcomes), FEWEST_OPENINGS)


class ExtraOpenings:
    """Decides which openings are offered to a second agent."""

    def __init__(
        self,
        percent: float,
        counters: collections.Counter[str],
        log: Log,
        *,
        address: messages.Address,
        data_centre: str,
    ) -> None:
        """Creates it with nothing saved.

        Args:
            percent: Share of the accepted openings of repeatable requests
                that may be offered twice; 0 for none.
            counters: Event counts by name.
            log: Writes a log line of an event with its fields.
            address: Address of the balancer.
            data_centre: Data centre whose agents are preferred.
        """
        self._percent = percent
        self._counters = counters
        self._log = log
        self._address = address
        self._data_centre = data_centre
        self._services: dict[str, _Openings] = {}

    def _of(self, service: str, now_ms: int) -> _Openings:
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _Openings(now_ms)
        return found

    def _may_offer(self, opening: opening_module.Opening) -> bool:
        return bool(self._percent) and opening.terms.is_repeatable

    def on_opened(
        self,
        opening: opening_module.Opening,
        agent: messages.Address,
        now_ms: int,
    ) -> None:
        """Records the first acceptance of an opening."""
        if not self._may_offer(opening):
            return
        took_ms = now_ms - opening.started_ms
        earned = self._percent / 100
        self._of(opening.service, now_ms).add(took_ms, earned, now_ms)
        if opening.extra is not None:
            is_won = agent == opening.extra.agent
            outcome = "won" if is_won else "lost"
            self._counters[f"extra_openings_{outcome}"] += 1

    def on_strained(self, opening: opening_module.Opening, now_ms: int) -> None:
        """Records that agents have refused or held an opening."""
        if self._may_offer(opening):
            self._of(opening.service, now_ms).add_strained(now_ms)

    def on_extra_refused(self, opening: opening_module.Opening | None) -> None:
        """Records that a second agent has refused an opening."""
        self._counters["extra_openings_refused"] += 1
        if opening is not None:
            opening.extra = None

    def reason(
        self,
        opening: opening_module.Opening,
        first: agents.KnownAgent | None,
        known: Sequence[agents.KnownAgent],
        now_ms: int,
    ) -> str:
        """Returns why an opening is to be offered to a second agent.

        Args:
            opening: The opening.
            first: Agent to which it is offered at present, None if it is not
                known any more.
            known: Agents that may be given the flow, or empty to look only
                at the time that the opening has taken.
            now_ms: Current time.

        Returns:
            ``held``, ``late`` or ``slow``; empty for no reason.
        """
        if opening.has_considered_extra or not self._may_offer(opening):
            return ""
        if opening.held_until_ms:
            return "held"
        delay_ms = self._of(opening.service, now_ms).delay_ms
        if now_ms - opening.started_ms >= delay_ms:
            return "late"
        if first is not None and known and _is_likely_slow(first, known):
            return "slow"
        return ""

    def offer(
        self,
        flow: packet.FlowKey,
        opening: opening_module.Opening,
        known: list[agents.KnownAgent],
        now_ms: int,
        *,
        reason: str,
    ) -> actions.SendDaemon | None:
        """Offers an opening to a second agent, if anything is saved for it.

        Args:
            flow: The flow.
            opening: The opening, offered once so far.
            known: Agents that may be given the flow.
            now_ms: Current time.
            reason: Why it is offered to a second agent.

        Returns:
            The offer, None if it is withheld.
        """
        opening.has_considered_extra = True
        service = self._of(opening.service, now_ms)
        service.expire(now_ms)
        tried = opening.candidates[: opening.index + 1]
        free = [a for a in known if a.address not in tried and _is_free(a)]
        room = _room(known) * max(
            1 - service.strain(now_ms) / STRAINED_SHARE, 0.0
        )
        # Less room makes an offer dearer than one, up to what can be saved.
        if room * MAX_SAVED < 1.0:
            withheld = "no_room"
        elif not free:
            withheld = "no_second"
        elif service.saved * room < 1.0:
            withheld = "budget"
        else:
            withheld = ""
        if withheld:
            self._withhold(service, opening, withheld, now_ms)
            return None
        service.saved -= 1.0 / room
        second = placement.rank(
            flow, free, count=1, data_centre=self._data_centre
        )[0]
        second.opens_since += 1
        opening.extra = opening_module.ExtraOffer(second.address, now_ms)
        self._counters["extra_openings_offered"] += 1
        self._counters[f"extra_openings_offered_{reason}"] += 1
        self._log(
            "extra_open_sent",
            flow=str(flow),
            agent=second.name,
            service=opening.service,
            reason=reason,
            waited_ms=now_ms - opening.started_ms,
            late_after_ms=service.delay_ms,
            room=round(room, 2),
            saved=round(service.saved, 2),
        )
        message = messages.Open(
            opening.service,
            self._address,
            (),
            False,
            opening.data,
            terms=opening.terms,
            is_extra=True,
        )
        return actions.SendDaemon(second.address, message)

    def _withhold(
        self,
        service: _Openings,
        opening: opening_module.Opening,
        reason: str,
        now_ms: int,
    ) -> None:
        """Counts an offer that is withheld, and logs the first of a spell."""
        self._counters[f"extra_openings_withheld_{reason}"] += 1
        if service.spell is None:
            service.spell = _Spell(now_ms)
            self._log(
                "extra_openings_withheld",
                service=opening.service,
                reason=reason,
                saved=round(service.saved, 2),
                strain=round(service.strain(now_ms), 2),
            )
        service.spell.withheld[reason] += 1
        service.spell.last_ms = now_ms

    def sweep(self, now_ms: int) -> None:
        """Ends spells and forgets unused services; to be called each second."""
        for name, service in list(self._services.items()):
            spell = service.spell
            if spell is not None and now_ms - spell.last_ms > SPELL_MS:
                service.spell = None
                self._log(
                    "extra_openings_resumed",
                    service=name,
                    withheld_for_ms=spell.last_ms - spell.since_ms,
                    withheld=dict(spell.withheld),
                )
            if service.spell is None and now_ms - service.used_ms > FORGET_MS:
                del self._services[name]

    def dump(self, now_ms: int) -> dict[str, object]:
        """Returns the limit and what is saved of it, for operators."""
        return {
            "percent": self._percent,
            "services": {
                name: {
                    "saved": round(service.saved, 2),
                    "late_after_ms": service.delay_ms,
                    "strain": round(service.strain(now_ms), 2),
                    "is_withheld": service.spell is not None,
                }
                for name, service in self._services.items()
            },
        }


def _is_free(agent: agents.KnownAgent, *, own_opens: int = 0) -> bool:
    """Returns whether an agent seems to have a warm server and a free slot.

    Args:
        agent: The agent.
        own_opens: Number of openings sent to it that do not count.
    """
    heartbeat = agent.heartbeat
    requests = heartbeat.busy + max(agent.opens_since - own_opens, 0)
    return (
        not agent.is_cold
        and not heartbeat.waiting
        and requests < max(heartbeat.slots, 1)
    )


def _is_likely_slow(
    first: agents.KnownAgent, known: Sequence[agents.KnownAgent]
) -> bool:
    """Returns whether an agent is likely to be slow, compared with others."""
    if not _is_free(first, own_opens=1):
        return True
    typical_ms = statistics.median(a.heartbeat.response_ms for a in known)
    return first.heartbeat.response_ms > placement.SLOW_RATIO * typical_ms > 0


def _room(known: Sequence[agents.KnownAgent]) -> float:
    """Returns the room of the agents: 1 for plenty of it, 0 for none."""
    warm = [agent for agent in known if not agent.is_cold]
    slots = sum(max(agent.heartbeat.slots, 1) for agent in warm)
    if not slots:
        return 0.0
    requests = sum(a.heartbeat.busy + a.heartbeat.waiting for a in warm)
    spare = (FULL_LOAD - requests / slots) / (FULL_LOAD - ROOMY_LOAD)
    return min(max(spare, 0.0), 1.0)
