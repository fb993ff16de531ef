"""Balancer: forwards each packet of a caller to the agent owning its flow.

A balancer keeps a cache of flow owners that may be lost at any time. If the
owner of a flow is not cached, the balancer asks the agents for it.
"""

import collections
import itertools
import random

from sapphirelift.core import revisions
from sapphirelift.core.l4 import actions
from sapphirelift.core.l4 import agents
from sapphirelift.core.l4 import extra_openings
from sapphirelift.core.l4 import heartbeats
from sapphirelift.core.l4 import load_settings
from sapphirelift.core.l4 import lookup
from sapphirelift.core.l4 import messages
from sapphirelift.core.l4 import newer_replica
from sapphirelift.core.l4 import opening as opening_module
from sapphirelift.core.l4 import owner_candidates
from sapphirelift.core.l4 import ownership
from sapphirelift.core.l4 import packet
from sapphirelift.core.l4 import placement
from sapphirelift.core.l4 import resolver
from sapphirelift.core.l4 import routes
from sapphirelift.core.l4 import samples
from sapphirelift.core.l4 import sentinels
from sapphirelift.core.l4 import shortage
from sapphirelift.core.l4 import unproven
from sapphirelift.core.l4 import watch as watch_module
from sapphirelift.core.membership import freshness

# Size of the owner cache: five times the open flows of an entry instance at the
# design size.
MAX_OWNERS = 60_000
MAX_OPENINGS = 4096
# Flows of which an agent is reminded after its restart, and those in one
# message of 1 KB. A backend server holds up to 2,000.
MAX_REMEMBERED = 2000
REMEMBERED_IN_MESSAGE = 64
# For this long after its start, a balancer without agents drops opening packets
# instead of resetting them, because heartbeats may not have arrived yet.
SETTLE_MS = 3000
# After a pause it does so for two heartbeat intervals: the heartbeats that
# waited meanwhile are old, and say that the agents have not heard it.
SETTLE_AFTER_PAUSE_MS = 800
# A pause from which agents can count as silent: one heartbeat interval may
# have passed before it. What is in force is not out of date yet.
SHORT_PAUSE_MS = agents.SUSPECT_AFTER_MS - heartbeats.MIN_INTERVAL_MS
MAX_PEERS = 1024
# Interval at which the silent agents are compared with those that flows without
# a known owner wait for: short against the deadlines of callers.
UNPROVEN_CHECK_MS = 200
# Names of agents in a log line.
MAX_LOGGED_AGENTS = 4
# Number of other balancers listed in an acknowledgement: to an agent that has
# just started, and to others, which learn of missed balancers one by one.
LISTED_TO_NEW_AGENT = 16
LISTED_TO_KNOWN_AGENT = 1
# Share of the acknowledgements to known agents that list one.
LISTING_SHARE = 0.1
# Maximum number of agents listed in a message to a peer.
MAX_LISTED_AGENTS = 2
# A balancer that has heard of a newer configuration waits this long for the
# store to deliver it. Its watch may have gone silent then, so it begins another
# one. The store answers within some milliseconds, and a slow one within 200.
RENEW_GRACE_MS = 250
# After this long it fetches the configuration from another balancer: a page of
# 300 KB with 1,400 routes, which fills a link of 20 Mbit/s for 0.1 s.
FETCH_GRACE_MS = 1000
# Peers asked for their revisions after a pause, so that one at least answers.
PEERS_ASKED_AFTER_PAUSE = 8
# Number of peers and of silent agents contacted in a gossip round. With a round
# every 500 ms, a change reaches 840 balancers in 5 rounds.
GOSSIP_PEERS = 3
GOSSIP_HELLOS = 16
# Hellos in a round to agents known only by their address, 44 B each, after a
# start or a loss of power: those that have had the fewest come first.
GOSSIP_HELLOS_TO_UNCONFIRMED = 64
SILENT_PEER_MS = 3000
FORGET_PEER_MS = 120_000


class Balancer:
    """Decision logic of one balancer, without I/O.

    Attributes:
        configuration: Configuration in force.
        evacuations: Evacuated data centres.
        agents: Agents from which heartbeats have been received.
        counters: Event counts by name.
        samples: Latencies for histograms: from an opening packet to its
            acceptance, and of owner searches.
        extra_openings: Decides which openings are offered to a second agent.
        is_leaving: Whether the balancer is about to stop.
        has_directory: Whether the addresses of all daemons are known, so
            that a flow without an owner among the agents does not exist.
        peers: Other balancers and when each was last heard.
        is_store_connected: Whether the store answers, so that a newer
            configuration can be expected from it.
        store_era: Newest era of the store that it has heard of.
        watch: Agents from which the balancer hears often.
    """

    def __init__(
        self,
        *,
        address: messages.Address,
        replica: messages.Address,
        now_ms: int,
        rng: random.Random,
        data_centre: str = "",
        contact_ms: int = 4000,
        load: load_settings.LoadSettings = load_settings.NONE,
    ) -> None:
        """Creates a balancer that knows no other daemons.

        Args:
            address: Address at which it receives messages.
            replica: Address at which it serves its configuration.
            now_ms: Current time.
            rng: Random number generator for choosing gossip targets.
            data_centre: Its data centre, whose agents are preferred; empty
                for no preference.
            contact_ms: See the property.
            load: Decisions under load that the deployment asks for.
        """
        self.load_settings = load
        self.configuration = routes.Configuration()
        self.evacuations = routes.Evacuations()
        self.agents = agents.Agents()
        self.counters: collections.Counter[str] = collections.Counter()
        self.samples = samples.Samples("open", "owner_search")
        self.extra_openings = extra_openings.ExtraOpenings(
            load.extra_openings_percent,
            self.counters,
            self._log,
            address=address,
            data_centre=data_centre,
        )
        self.is_leaving = False
        self.has_directory = False
        self.is_store_connected = True
        self.store_era = 0
        self.peers: dict[messages.Address, int] = {}
        self._address = address
        self._replica = replica
        self._rng = rng
        self._data_centre = data_centre
        self.watch = watch_module.Watch(own=address, data_centre=data_centre)
        self._placement = placement.Placement(
            is_by_expected_time=load.places_by_expected_time,
            data_centre=data_centre,
            counters=self.counters,
            log=self._log,
        )
        # Peers that the store answers, by their own word, and when.
        self._peers_with_store: dict[messages.Address, int] = {}
        self._departed_agents: dict[messages.Address, agents.DepartedAgent] = {}
        self._unconfirmed_agents: dict[
            messages.Address, agents.UnconfirmedAgent
        ] = {}
        self._candidates = owner_candidates.OwnerCandidates(
            self.agents,
            self._unconfirmed_agents,
            self.watch,
            contact_ms=contact_ms,
        )
        self._started_ms = now_ms
        self._owners: collections.OrderedDict[
            packet.FlowKey, ownership.Owner
        ] = collections.OrderedDict()
        self._openings: dict[packet.FlowKey, opening_module.Opening] = {}
        self._lookups = lookup.Lookups(self.counters)
        self._resolver = resolver.Resolver(self.counters)
        self._unproven = unproven.UnprovenFlows()
        self._unproven_checked_ms = now_ms
        self._shortages = shortage.Shortages(
            self.agents, self.watch, self.counters, self._log, load
        )
        self._silent_resolvers: dict[messages.Address, int] = {}
        self._removed_routes: dict[routes.RouteKey, int] = {}
        self._newer_replica: newer_replica.NewerReplica | None = None
        self._has_agents_of_peer = False
        self._freshness = freshness.Freshness()
        self._resumed_boot_ms = -SETTLE_AFTER_PAUSE_MS
        self._revisions_number = 0
        self._resumed_number = 0
        self._actions: list[actions.Action] = []

    def drain_actions(self) -> list[actions.Action]:
        """Returns and clears the actions queued since the last call."""
        decided, self._actions = self._actions, []
        return decided

    @property
    def contact_ms(self) -> int:
        """Time without messages after which a stopping instance is lost."""
        return self._candidates.contact_ms

    @contact_ms.setter
    def contact_ms(self, contact_ms: int) -> None:
        self._candidates.contact_ms = contact_ms

    @property
    def is_ready(self) -> bool:
        """Whether the balancer can assign new flows to agents."""
        return (
            not self.is_leaving
            and self.configuration.revision > 0
            and self.evacuations.revision > 0
            and len(self.agents) > 0
        )

    @property
    def _configuration_store_revision(self) -> int:
        return revisions.store_revision_of(self.configuration.revision)

    @property
    def has_pending(self) -> bool:
        """Whether ``tick`` has anything to time out."""
        return (
            bool(self._openings)
            or self._lookups.has_pending
            or self._resolver.has_pending
            or len(self._unproven) > 0
            or self._newer_replica is not None
        )

    def is_sentinel(self, now_ms: int) -> bool:
        """Returns whether it checks often that the store still answers."""
        return sentinels.is_sentinel(
            self._address, self._peers_with_store, now_ms
        )

    def observe(self, boot_ms: int) -> None:
        """Notices if the process was paused; to be called often.

        What is in force here may be out of date then: the balancer opens no
        new flows until a peer has answered. Packets of open flows go on.

        Args:
            boot_ms: Time on a clock that runs while the instance is suspended.
        """
        paused_ms = boot_ms - (self._freshness.last_observed_ms or boot_ms)
        if paused_ms >= SHORT_PAUSE_MS:
            self._resumed_boot_ms = boot_ms
        if not self._freshness.observe(boot_ms):
            return
        self.counters["resumed"] += 1
        self._resumed_number = self._revisions_number
        self._openings.clear()
        peers = list(self.peers)
        self._log("resumed", peers=len(peers))
        if not peers:
            self._freshness.confirm()
        asked = min(len(peers), PEERS_ASKED_AFTER_PAUSE)
        for address in self._rng.sample(peers, asked):
            self._send_revisions(address, is_reply=False)

    # Configuration and evacuations.

    def set_configuration(
        self, configuration: routes.Configuration, now_ms: int, *, source: str
    ) -> bool:
        """Applies a configuration if it takes the place of the current one.

        Returns:
            Whether it has been applied.
        """
        current = self.configuration
        if not current.is_replaced_by(
            version=configuration.version, revision=configuration.revision
        ):
            return False
        for key in current.routes.keys() - configuration.routes.keys():
            self._removed_routes[key] = now_ms
        for key in configuration.routes:
            self._removed_routes.pop(key, None)
        self.configuration = configuration
        self._log(
            "configuration_in_force",
            version=configuration.version,
            former_version=current.version,
            revision=revisions.store_revision_of(configuration.revision),
            era=revisions.era_of(configuration.revision),
            routes=len(configuration.routes),
            source=source,
        )
        self._announce_change()
        return True

    def set_evacuations(
        self, evacuations: routes.Evacuations, *, source: str
    ) -> bool:
        """Applies a set of evacuations if it is newer than the current one.

        Returns:
            Whether what is in force has changed.
        """
        current = self.evacuations
        updated = current.updated(evacuations)
        if updated == current:
            return False
        self.evacuations = updated
        self.watch.invalidate()
        if updated.data_centres != current.data_centres or not current.revision:
            self._log(
                "evacuations_in_force",
                data_centres=sorted(updated.data_centres),
                revision=revisions.store_revision_of(updated.revision),
                era=revisions.era_of(updated.revision),
                is_settled=updated.is_settled,
                source=source,
            )
            self._announce_change()
        return True

    def _announce_change(self) -> None:
        """Tells the watched agents and some peers what is in force now."""
        self.acknowledge_watched()
        for address in self._choose_peers():
            self._send_revisions(address, is_reply=False)

    def _choose_peers(self) -> list[messages.Address]:
        peers = list(self.peers)
        return self._rng.sample(peers, min(GOSSIP_PEERS, len(peers)))

    # Packets from callers.

    def on_packet(self, received: packet.Packet, now_ms: int) -> None:
        """Handles a packet from a caller."""
        self.counters["packets"] += 1
        if received.is_bounced or (received.is_syn and received.is_ack):
            self.counters["dropped_not_from_caller"] += 1
        elif received.is_syn:
            self._on_syn(received, now_ms)
        else:
            self._on_non_syn(received, now_ms)

    def _on_syn(self, received: packet.Packet, now_ms: int) -> None:
        flow = received.flow
        owner = self._owners.get(flow)
        if owner is not None and owner.is_opened_by(received, now_ms):
            self._forward_copy_to_owner(owner, received)
            return
        opening = self._openings.get(flow)
        if opening is not None and opening.is_opened_by(received, now_ms):
            self._on_retransmitted_syn(flow, opening, now_ms)
            return
        former = self._forget_former_flow(flow)
        self._open(received, now_ms, former=former)

    def _forget_former_flow(
        self, flow: packet.FlowKey
    ) -> messages.Address | None:
        """Forgets what is known of a flow that the caller opens anew.

        Its former owner may serve another service by now, or the route may
        lead to another one.

        Returns:
            The former owner, None if it is not known.
        """
        owner = self._owners.pop(flow, None)
        self._openings.pop(flow, None)
        self._lookups.cancel(flow)
        self._unproven.discard(flow)
        return owner.address if owner is not None else None

    def _open(
        self,
        received: packet.Packet,
        now_ms: int,
        *,
        former: messages.Address | None,
    ) -> None:
        """Sends an opening packet to the best agent.

        Args:
            received: The packet.
            now_ms: Current time.
            former: Agent that owned a flow of the same addresses and ports. If
                it may take the flow it comes first, as it alone can tell
                whether the packet is a late copy.
        """
        flow = received.flow
        if not self._freshness.is_fresh(self._freshness.last_observed_ms):
            self.counters["opens_dropped_after_pause"] += 1
            return
        route = self.configuration.find(flow)
        if route is None:
            self._refuse_unrouted(received, now_ms)
            return
        if former is None and self._shortages.refuses(received, route, now_ms):
            self._reset(received)
            return
        service = route.service_for(flow)
        choice = self._placement.choose(
            flow,
            self.agents,
            self.watch,
            route=route,
            evacuated=self.evacuations.data_centres,
            now_ms=now_ms,
        )
        ranked = self._shortages.shorten(service, choice.ranked)
        if not ranked:
            if self._is_settling(now_ms):
                self.counters["opens_dropped_settling"] += 1
                return
            self.counters["opens_refused_no_agent"] += 1
            self._log(
                "open_refused",
                flow=str(flow),
                reason="no_agent",
                service=service,
                known_agents=len(self.agents.of_services([service])),
                configuration_revision=self._configuration_store_revision,
            )
            self._reset(received)
            return
        if len(self._openings) >= MAX_OPENINGS:
            self.counters["opens_dropped_table_full"] += 1
            return
        for agent in choice.found:
            if agent.address == former:
                ranked = [agent, *(a for a in ranked if a is not agent)]
        opening = opening_module.Opening(
            received.raw,
            service,
            received.sequence,
            [agent.address for agent in ranked],
            route.terms,
            now_ms,
            now_ms,
        )
        self._openings[flow] = opening
        best = ranked[0]
        self._log(
            "open_sent",
            flow=str(flow),
            agent=best.name,
            service=service,
            flows=best.flows,
            opens_since=best.opens_since,
            busy=round(best.heartbeat.busy, 2),
            load_age_ms=now_ms - best.last_heard_ms,
            is_local=best.heartbeat.data_centre == self._data_centre,
            choices=len(choice.candidates),
            configuration_revision=self._configuration_store_revision,
        )
        self._send_open(opening)
        self._consider_extra(flow, opening, now_ms, known=choice.candidates)

    def _is_settling(self, now_ms: int) -> bool:
        """Returns whether agents may live that count as silent here."""
        boot_ms = self._freshness.last_observed_ms
        return (
            now_ms - self._started_ms < SETTLE_MS
            or boot_ms - self._resumed_boot_ms < SETTLE_AFTER_PAUSE_MS
        )

    def _send_open(self, opening: opening_module.Opening) -> None:
        address = opening.candidates[opening.index]
        agent = self.agents.get(address)
        if agent is not None:
            agent.opens_since += 1
        self.counters["opens_sent"] += 1
        others = tuple(opening.candidates[opening.index + 1 :])
        message = messages.Open(
            opening.service,
            self._address,
            others,
            any(self._is_warm(other) for other in others),
            opening.data,
            unoffered=len(others),
            terms=opening.terms,
        )
        self._actions.append(actions.SendDaemon(address, message))

    def _consider_extra(
        self,
        flow: packet.FlowKey,
        opening: opening_module.Opening,
        now_ms: int,
        *,
        known: list[agents.KnownAgent] | None = None,
    ) -> None:
        """Offers an opening to a second agent if there is reason to.

        Args:
            flow: The flow.
            opening: The opening, which has been offered to one agent.
            now_ms: Current time.
            known: Agents that may be given the flow, None to find them if
                there is reason for an offer.
        """
        first = self.agents.get(opening.candidate)
        extra = self.extra_openings
        reason = extra.reason(opening, first, known or (), now_ms)
        route = self.configuration.find(flow) if reason else None
        if route is None or not opening.may_be_repeated_on(route):
            return
        if known is None:
            found = placement.eligible(
                self.agents,
                opening.service,
                route=route,
                evacuated=self.evacuations.data_centres,
                now_ms=now_ms,
            )
            watched = [a for a in found if self.watch.includes(a.address)]
            known = watched or found
        offer = extra.offer(flow, opening, known, now_ms, reason=reason)
        if offer is not None:
            self._actions.append(offer)

    def _is_warm(self, address: messages.Address) -> bool:
        agent = self.agents.get(address)
        return agent is not None and not agent.is_cold

    def _forward_copy_to_owner(
        self, owner: ownership.Owner, received: packet.Packet
    ) -> None:
        """Forwards a copy of an opening packet to the agent that accepted it.

        The service is that of the opening: another instance may have taken
        over the agent's address.
        """
        message = messages.Open(
            owner.service, self._address, (), False, received.raw
        )
        self._actions.append(actions.SendDaemon(owner.address, message))

    def _on_retransmitted_syn(
        self, flow: packet.FlowKey, opening: opening_module.Opening, now_ms: int
    ) -> None:
        if opening.extra is not None and opening.extra.refusal is not None:
            # The second agent has yet to answer.
            return
        if opening.is_overdue(now_ms):
            self._try_next_candidate(flow, opening, now_ms)
        else:
            self._send_open(opening)

    def _try_next_candidate(
        self, flow: packet.FlowKey, opening: opening_module.Opening, now_ms: int
    ) -> None:
        """Sends an unanswered opening packet to the next candidate."""
        silent = self.agents.get(opening.candidates[opening.index])
        if silent is not None:
            silent.unanswered_ms = now_ms
            self._ask_for_heartbeat(silent, now_ms)
        self.counters["opens_unanswered"] += 1
        self._log(
            "open_unanswered",
            flow=str(flow),
            agent=silent.name if silent is not None else None,
            waited_ms=now_ms - opening.sent_ms,
        )
        opening.index = (opening.index + 1) % len(opening.candidates)
        opening.sent_ms = now_ms
        self._send_open(opening)

    def _refuse_unrouted(self, received: packet.Packet, now_ms: int) -> None:
        if self.configuration.revision == 0:
            self.counters["opens_dropped_settling"] += 1
            return
        self.counters["opens_refused_no_route"] += 1
        self._log(
            "open_refused",
            flow=str(received.flow),
            reason="no_route",
            configuration_revision=self._configuration_store_revision,
        )
        self._reset(received)

    def _on_non_syn(self, received: packet.Packet, now_ms: int) -> None:
        flow = received.flow
        key = routes.RouteKey(flow.route_ip, flow.route_port)
        if key in self._removed_routes:
            owner = self._owners.pop(flow, None)
            if owner is None:
                # It may have been opened after the return of the route, in a
                # configuration that has not arrived here yet.
                self.counters["packets_dropped_no_route"] += 1
                return
            self.counters["resets_route_removed"] += 1
            self._log_reset(
                flow,
                "route_removed",
                self._belief(owner),
                now_ms,
                removed_since_ms=now_ms - self._removed_routes[key],
                configuration_revision=self._configuration_store_revision,
            )
            self._reset(received)
            return
        owner = self._owners.get(flow)
        lost: ownership.Owner | None = None
        if owner is not None and self._is_lost(owner.address, now_ms):
            lost, owner = self._owners.pop(flow), None
        if owner is not None:
            self._owners.move_to_end(flow)
            owner.resolve(received)
            self._deliver_to_owner(owner.address, received, now_ms)
            return
        opening = self._openings.get(flow)
        if opening is not None:
            if not opening.keep(received, now_ms):
                self._deliver(opening.candidate, received)
            return
        self._look_up(received, now_ms, belief=self._belief(lost))

    def _is_lost(self, address: messages.Address, now_ms: int) -> bool:
        if address in self._departed_agents:
            return True
        agent = self.agents.get(address)
        return agent is not None and not agent.may_own(
            now_ms, contact_ms=self.contact_ms
        )

    def _deliver(
        self, address: messages.Address, received: packet.Packet
    ) -> None:
        message = messages.Deliver(self._address, received.raw)
        self._actions.append(actions.SendDaemon(address, message))

    def _deliver_to_owner(
        self, address: messages.Address, received: packet.Packet, now_ms: int
    ) -> None:
        agent = self.agents.get(address)
        if agent is not None:
            if not agent.used_ms and not self.watch.includes(address):
                self.watch.invalidate()
            agent.used_ms = now_ms
        self._deliver(address, received)

    def _reset(self, received: packet.Packet) -> None:
        if not received.is_reset:
            self._actions.append(
                actions.ResetCaller(received.flow, received.acknowledged)
            )

    # Search for the owner of a flow.

    def _look_up(
        self,
        received: packet.Packet,
        now_ms: int,
        *,
        without: messages.Address | None = None,
        belief: ownership.Belief | None = None,
    ) -> None:
        if self._lookups.is_searching(received.flow):
            steps = self._lookups.add_packet(received, now_ms)
            self._apply_lookup_steps(now_ms, steps)
            return
        if self._unproven.holds(received, now_ms):
            self.counters["searches_spared"] += 1
            return
        route = self.configuration.find(received.flow)
        if route is None:
            # The route may have been added in a configuration that has not
            # arrived here yet.
            self.counters["packets_dropped_no_route"] += 1
            return
        known_agents = len(self.agents) + len(self._unconfirmed_agents)
        self._apply_lookup_steps(
            now_ms,
            self._lookups.begin(
                received,
                self._candidates.of(received.flow, route, now_ms),
                now_ms,
                without=without,
                knows_all_agents=self.has_directory
                and known_agents <= owner_candidates.MAX_ASKED_AGENTS,
                can_resolve=len(self.agents) >= resolver.MIN_AGENTS,
                belief=belief,
                is_owner_stopping=self._candidates.is_any_stopping(now_ms),
            ),
        )

    def _search_unproven_again(self, now_ms: int) -> None:
        """Searches for flows of which silent agents were the last hope."""
        if (
            not len(self._unproven)
            or now_ms - self._unproven_checked_ms < UNPROVEN_CHECK_MS
        ):
            return
        self._unproven_checked_ms = now_ms
        silent = self._candidates.silent(now_ms)
        answering = frozenset(
            agent.address for agent in self.agents if not agent.is_late(now_ms)
        )
        for received in self._unproven.take_due(silent, answering, now_ms):
            self.counters["searches_repeated"] += 1
            self._look_up(received, now_ms)

    def _apply_lookup_steps(
        self, now_ms: int, steps: list[lookup.Step]
    ) -> None:
        for step in steps:
            match step:
                case lookup.SendAsk(address, flow):
                    self.counters["asks"] += 1
                    self._record_question(address, now_ms)
                    self._actions.append(
                        actions.SendDaemon(address, messages.Ask(flow))
                    )
                case lookup.SendResolve(flow):
                    self._send_resolve(flow, now_ms)
                case lookup.ResolverSilent(flow, address):
                    self._on_resolver_silent(flow, address, now_ms)
                case lookup.Found(flow, address, packets, took_ms):
                    self.samples.add("owner_search", took_ms)
                    self._cache_owner(
                        flow, ownership.Owner(address, now_ms, ownership.FOUND)
                    )
                    self._log(
                        "owner_found",
                        flow=str(flow),
                        agent=self._agent_name(address),
                        packets=len(packets),
                        took_ms=took_ms,
                    )
                    for buffered in packets:
                        self._deliver(address, buffered)
                case lookup.Probe(address, probe):
                    self._deliver(address, probe)
                case lookup.NoOwner():
                    self._on_no_owner(step, now_ms)

    # Joint searches for the owners of many flows.

    def _resolver_of(
        self, flow: packet.FlowKey, now_ms: int
    ) -> messages.Address:
        balancers = [
            address
            for address in self.peers
            if now_ms >= self._silent_resolvers.get(address, now_ms)
        ]
        return resolver.choose(flow, [*balancers, self._address])

    def _send_resolve(self, flow: packet.FlowKey, now_ms: int) -> None:
        address = self._resolver_of(flow, now_ms)
        self._lookups.on_resolve_sent(flow, address)
        self.counters["resolves"] += 1
        if address == self._address:
            self._resolver.add(flow, self._address)
        else:
            message = messages.Resolve(self._address, flow)
            self._actions.append(actions.SendDaemon(address, message))

    def _on_resolver_silent(
        self, flow: packet.FlowKey, address: messages.Address, now_ms: int
    ) -> None:
        if address == self._address:
            return
        # To ask all agents about this flow alone would cost most while many
        # flows are searched for.
        self._lookups.on_resolve_sent(flow, self._address)
        self._resolver.add(flow, self._address)
        self._silent_resolvers[address] = now_ms + resolver.UNRESPONSIVE_MS
        self.counters["resolvers_silent"] += 1
        self._log("resolver_silent", flow=str(flow), ip=address.ip)

    def _apply_resolver_steps(
        self, now_ms: int, steps: list[resolver.Step]
    ) -> None:
        for step in steps:
            match step:
                case resolver.AskAgent(address, flows, number):
                    self._record_question(address, now_ms)
                    ask = messages.AskMany(self._address, flows, number)
                    self._actions.append(actions.SendDaemon(address, ask))
                case resolver.Reply(balancer, outcome):
                    if balancer == self._address:
                        self._apply_lookup_steps(
                            now_ms, self._lookups.on_resolved(outcome, now_ms)
                        )
                    else:
                        self._actions.append(
                            actions.SendDaemon(balancer, outcome)
                        )

    def _tick_resolver(self, now_ms: int) -> None:
        self._apply_resolver_steps(now_ms, self._resolver.tick(now_ms))
        if not self._resolver.is_round_due(now_ms):
            return
        self._apply_resolver_steps(
            now_ms,
            self._resolver.begin_round(
                self._candidates.all(now_ms),
                now_ms,
                knows_all_agents=self.has_directory,
            ),
        )

    def _record_question(self, address: messages.Address, now_ms: int) -> None:
        """Takes a question about a flow as one for a sign of life."""
        agent = self.agents.get(address)
        if agent is None:
            return
        if agent.is_late(now_ms):
            agent.on_asked(now_ms)
        else:
            agent.on_questioned(now_ms)

    def _on_no_owner(self, found: lookup.NoOwner, now_ms: int) -> None:
        # ``has_directory`` may have become true during the search, so that
        # only the value at its beginning counts.
        is_certain = found.silent == 0 and found.has_asked_all
        self.counters["flows_without_owner"] += 1
        if found.flow in self._openings or found.flow in self._owners:
            # It has been opened, or is about to be, since the search began.
            return
        if is_certain and found.packets:
            self._log_reset(
                found.flow,
                "no_owner",
                found.belief,
                now_ms,
                agents=len(self.agents),
            )
            self._reset(found.packets[-1])
            return
        silent = self._candidates.silent(now_ms)
        if found.packets:
            self._unproven.add(found.packets[-1], silent, now_ms)
        self._log(
            "flow_without_owner",
            flow=str(found.flow),
            silent_agents=found.silent,
            silent=sorted(map(self._agent_name, silent))[:MAX_LOGGED_AGENTS],
            has_asked_all=found.has_asked_all,
            outcome="dropped",
        )

    def _belief(self, owner: ownership.Owner | None) -> ownership.Belief | None:
        if owner is None:
            return None
        return ownership.Belief(
            self._agent_name(owner.address), owner.since_ms, owner.source
        )

    def _log_reset(
        self,
        flow: packet.FlowKey,
        reason: str,
        belief: ownership.Belief | None,
        now_ms: int,
        **details: object,
    ) -> None:
        self._actions.append(
            ownership.reset_line(
                flow, reason=reason, belief=belief, now_ms=now_ms, **details
            )
        )

    def _cache_owner(
        self, flow: packet.FlowKey, owner: ownership.Owner
    ) -> None:
        self._owners.pop(flow, None)
        self._unproven.discard(flow)
        if len(self._owners) >= MAX_OWNERS:
            self._owners.popitem(last=False)
            self.counters["owners_evicted"] += 1
        self._owners[flow] = owner

    def _agent_name(self, address: messages.Address) -> str:
        agent = self.agents.get(address)
        return agent.name if agent is not None else address.ip

    # Messages from other daemons.

    def on_message(self, message: messages.Message, now_ms: int) -> None:
        """Handles a message from an agent or another balancer."""
        match message:
            case messages.Opened():
                self._on_opened(message, now_ms)
            case messages.Held():
                self._on_held(message, now_ms)
                opening = self._openings.get(message.flow)
                if opening is not None:
                    self.extra_openings.on_strained(opening, now_ms)
                    self._consider_extra(message.flow, opening, now_ms)
            case messages.Refused():
                if not self._keep_refusal(message, now_ms):
                    self._on_refused(message, now_ms)
            case messages.Answer():
                self._on_heard(message.agent, now_ms)
                self._on_answer(message, now_ms)
            case messages.AnswerMany():
                self._on_heard(message.agent, now_ms)
                self._apply_resolver_steps(
                    now_ms, self._resolver.on_answer(message)
                )
            case messages.Resolve():
                self._resolver.add(message.flow, message.balancer)
            case messages.Resolved():
                self._apply_lookup_steps(
                    now_ms, self._lookups.on_resolved(message, now_ms)
                )
            case messages.Missed():
                # The I/O layer decodes the packet and calls ``on_missed``.
                raise TypeError("Missed needs its packet decoded")
            case messages.Pulse():
                # The I/O layer calls ``on_pulse`` with the sender.
                raise TypeError("Pulse needs its sender")
            case messages.Heartbeat():
                self._on_heartbeat(message, now_ms)
            case messages.Revisions():
                self._on_revisions(message, now_ms)
            case _:
                self.counters["dropped_unexpected_kind"] += 1

    def _on_heard(self, address: messages.Address, now_ms: int) -> None:
        agent = self.agents.get(address)
        if agent is not None:
            agent.on_heard(now_ms)

    def _on_answer(self, answer: messages.Answer, now_ms: int) -> None:
        if answer.verdict == messages.OWNS:
            # The answer may have come after the end of the search.
            received = self._unproven.take(answer.flow)
            if received is not None:
                owner = ownership.Owner(answer.agent, now_ms, ownership.FOUND)
                self._cache_owner(answer.flow, owner)
                self._deliver(answer.agent, received)
        self._apply_lookup_steps(
            now_ms, self._lookups.on_answer(answer, now_ms)
        )

    def _on_opened(self, opened: messages.Opened, now_ms: int) -> None:
        flow = opened.flow
        agent = self.agents.get(opened.agent)
        if agent is not None:
            agent.on_heard(now_ms)
            agent.flows = opened.flows
            agent.opens_since = max(agent.opens_since - 1, 0)
        opening = self._openings.get(flow)
        if opening is not None and opening.is_denied_by_caller(opened):
            self.counters["opened_twice"] += 1
            opening.unused = opened.agent
            return
        if opening is not None:
            del self._openings[flow]
            self.samples.add("open", now_ms - opening.started_ms)
            self.extra_openings.on_opened(opening, opened.agent, now_ms)
            self._cache_owner(
                flow,
                ownership.Owner(
                    opened.agent,
                    now_ms,
                    ownership.OPENED,
                    opening.caller_sequence,
                    opening.service,
                    opening.started_ms,
                    opened.initial_sequence,
                    unused=opening.unused,
                ),
            )
            for received in opening.take_packets():
                self._deliver_to_owner(opened.agent, received, now_ms)
            return
        owner = self._owners.get(flow)
        if owner is None or owner.address == opened.agent:
            return
        if owner.initial_sequence is not None:
            self.counters["opened_twice"] += 1
            owner.alternative = (opened.agent, opened.initial_sequence)

    def _on_held(self, held: messages.Held, now_ms: int) -> None:
        opening = self._openings.get(held.flow)
        if opening is None:
            return
        self.counters["opens_held"] += 1
        opening.held_until_ms = now_ms + held.wait_ms
        if held.agent in opening.candidates:
            opening.index = opening.candidates.index(held.agent)

    def _on_refused(self, refused: messages.Refused, now_ms: int) -> None:
        opening = self._openings.pop(refused.flow, None)
        if opening is None and not self._forget_refusing_owner(refused):
            return
        if opening is not None and (
            opening.is_used or refused.flow in self._owners
        ):
            # Later packets find the agent that has accepted the flow.
            self.counters["refusals_after_use"] += 1
            return
        self.counters[f"opens_refused_{refused.reason}"] += 1
        if opening is not None:
            self._shortages.on_refused(
                opening.service, opening.terms.priority, refused.reason
            )
        self._log(
            "open_refused",
            flow=str(refused.flow),
            reason=refused.reason,
            agent=self._agent_name(refused.agent),
            retry_after_ms=refused.retry_after_ms,
            waited_ms=(
                now_ms - opening.started_ms if opening is not None else None
            ),
        )
        self._actions.append(actions.ResetCaller(refused.flow, 0))

    def _keep_refusal(self, refused: messages.Refused, now_ms: int) -> bool:
        """Keeps a refusal to itself as long as another agent may accept.

        Returns:
            Whether the caller does not hear of it, at least for now.
        """
        opening = self._openings.get(refused.flow)
        extra = opening.extra if opening is not None else None
        if refused.reason == messages.EXTRA:
            self._on_heard(refused.agent, now_ms)
            if extra is not None and extra.agent == refused.agent:
                self.extra_openings.on_extra_refused(opening)
                if extra.refusal is not None:
                    self._on_refused(extra.refusal, now_ms)
            return True
        if opening is None:
            return False
        self.extra_openings.on_strained(opening, now_ms)
        if (
            extra is None
            or extra.agent == refused.agent
            or extra.is_overdue(now_ms)
        ):
            return False
        extra.refusal = refused
        return True

    def _forget_refusing_owner(self, refused: messages.Refused) -> bool:
        """Forgets an owner that has refused a copy of the opening packet.

        The agent has lost the flow since it accepted it, and the caller still
        waits for the acceptance.

        Returns:
            Whether the refusing agent was the owner.
        """
        owner = self._owners.get(refused.flow)
        if (
            owner is None
            or owner.address != refused.agent
            or owner.caller_sequence is None
        ):
            return False
        del self._owners[refused.flow]
        return True

    def on_missed(
        self,
        agent: messages.Address,
        received: packet.Packet,
        now_ms: int,
    ) -> None:
        """Handles a packet returned by an agent that does not own its flow."""
        self.counters["missed"] += 1
        flow = received.flow
        owner = self._owners.get(flow)
        belief = self._belief(owner)
        if owner is not None and owner.address == agent:
            if owner.alternative is not None:
                owner.address, owner.alternative = owner.alternative[0], None
                self._deliver(owner.address, received)
                return
            del self._owners[flow]
        elif owner is not None:
            self._deliver(owner.address, received)
            return
        if self._lookups.is_probing(flow):
            self._apply_lookup_steps(
                now_ms, self._lookups.on_missed(flow, agent, received, now_ms)
            )
            return
        self._look_up(received, now_ms, without=agent, belief=belief)

    def _on_heartbeat(self, heartbeat: messages.Heartbeat, now_ms: int) -> None:
        if heartbeat.state == agents.GONE:
            self._on_gone(heartbeat, now_ms)
            return
        departed = self._departed_agents.get(heartbeat.address)
        if departed is not None:
            if heartbeat.incarnation == departed.incarnation or (
                agents.is_outdated(
                    heartbeat.incarnation,
                    newest=departed.incarnation,
                    newest_age_ms=now_ms - departed.since_ms,
                )
            ):
                self.counters["heartbeats_overtaken"] += 1
                return
            del self._departed_agents[heartbeat.address]
        previous = self.agents.update_from_heartbeat(heartbeat, now_ms)
        self._unconfirmed_agents.pop(heartbeat.address, None)
        known = self.agents.get(heartbeat.address)
        if known is not None and known.heartbeat is heartbeat:
            self._log_agent_change(previous, known, now_ms)
        is_new = (
            previous is None
            or previous.heartbeat.incarnation != heartbeat.incarnation
        )
        listed = 0
        if is_new:
            listed = LISTED_TO_NEW_AGENT
            if previous is not None and not heartbeat.has_full_table:
                self._remind(heartbeat.address)
        elif self._rng.random() < LISTING_SHARE:
            listed = LISTED_TO_KNOWN_AGENT
        self._acknowledge(heartbeat, listed=listed, is_answer=True)

    def _remind(self, address: messages.Address) -> None:
        """Tells an agent that has started again which flows it owned.

        And which ones its backend server accepted, but their callers took the
        acceptance of another one. It may keep silent about their packets.
        """
        for is_elsewhere in (False, True):
            newest = (
                flow
                for flow, owner in reversed(self._owners.items())
                if address == (owner.unused if is_elsewhere else owner.address)
            )
            flows = tuple(itertools.islice(newest, MAX_REMEMBERED))
            for first in range(0, len(flows), REMEMBERED_IN_MESSAGE):
                part = flows[first : first + REMEMBERED_IN_MESSAGE]
                message = messages.Remembered(self._address, part, is_elsewhere)
                self._actions.append(actions.SendDaemon(address, message))

    def on_pulse(
        self, pulse: messages.Pulse, sender: messages.Address, now_ms: int
    ) -> None:
        """Handles the changing part of an agent's heartbeat."""
        known = self.agents.get(sender)
        if known is None or known.heartbeat.incarnation != pulse.incarnation:
            self.counters["pulses_of_unknown_agents"] += 1
            if sender not in self._departed_agents:
                self._send_hello(sender)
            return
        self._on_heartbeat(known.heartbeat.updated(pulse), now_ms)

    def _on_gone(self, heartbeat: messages.Heartbeat, now_ms: int) -> None:
        """Removes an agent that stops together with its backend server."""
        known = self.agents.get(heartbeat.address)
        if known is not None and agents.is_outdated(
            heartbeat.incarnation,
            newest=known.heartbeat.incarnation,
            newest_age_ms=now_ms - known.heartbeat_ms,
        ):
            self.counters["heartbeats_overtaken"] += 1
            return
        self._unconfirmed_agents.pop(heartbeat.address, None)
        self._departed_agents[heartbeat.address] = agents.DepartedAgent(
            heartbeat.incarnation, now_ms
        )
        if known is not None:
            self.agents.remove(heartbeat.address)
            self.watch.invalidate()
            self._log(
                "agent_gone",
                agent=heartbeat.name,
                silent_ms=now_ms - known.last_heard_ms,
            )

    def _log_agent_change(
        self,
        previous: agents.KnownAgent | None,
        agent: agents.KnownAgent,
        now_ms: int,
    ) -> None:
        heartbeat = agent.heartbeat
        if previous is None:
            self.watch.invalidate()
            self._log(
                "agent_found",
                agent=heartbeat.name,
                ip=heartbeat.address.ip,
                service=heartbeat.service,
                state=heartbeat.state,
                data_centre=heartbeat.data_centre,
            )
        elif (
            previous.heartbeat.state != heartbeat.state
            or previous.heartbeat.incarnation != heartbeat.incarnation
            or not previous.is_alive(now_ms)
        ):
            self.watch.invalidate()
            self._log(
                "agent_changed",
                agent=heartbeat.name,
                state=heartbeat.state,
                former_state=previous.heartbeat.state,
                restarted=previous.heartbeat.incarnation
                != heartbeat.incarnation,
                silent_ms=now_ms - previous.last_heard_ms,
            )

    def _acknowledge(
        self,
        heartbeat: messages.Heartbeat,
        *,
        listed: int = 0,
        is_answer: bool = False,
    ) -> None:
        """Acknowledges a heartbeat, or announces a change in this form.

        Args:
            heartbeat: The agent's newest heartbeat.
            listed: Number of other balancers to list.
            is_answer: Whether the heartbeat has just arrived.
        """
        service = self.configuration.services.get(heartbeat.service)
        peers: tuple[messages.Address, ...] = ()
        if listed:
            peers = tuple(self.peers)
        if len(peers) > listed:
            peers = tuple(self._rng.sample(peers, listed))
        ack = messages.HeartbeatAck(
            balancer=self._address,
            balancers=peers,
            configuration_revision=(
                self.configuration.revision if service is not None else 0
            ),
            cold_opens_per_s=service.cold_opens_per_s if service else 0.0,
            max_flows=service.max_flows if service else 0,
            idle_timeout_ms=self.configuration.idle_timeout_ms,
            is_evacuated=(
                heartbeat.data_centre in self.evacuations.data_centres
            ),
            evacuations_revision=self.evacuations.revision,
            is_leaving=self.is_leaving,
            interval_ms=self._choose_interval_ms(heartbeat.address),
            number=heartbeat.number if is_answer else 0,
            configuration_version=(
                self.configuration.version if service is not None else 0
            ),
            is_settled=self.evacuations.is_settled,
            store_era=self.store_era,
        )
        self._actions.append(actions.SendDaemon(heartbeat.address, ack))

    # Other balancers, and agents known only by their address.

    def add_peer(self, address: messages.Address, now_ms: int) -> None:
        """Starts exchanging revisions with another balancer."""
        if address == self._address or address in self.peers:
            return
        if len(self.peers) < MAX_PEERS:
            self.peers[address] = now_ms
            self._log("peer_found", ip=address.ip)
            self._send_revisions(address, is_reply=False)

    def add_agent(
        self,
        address: messages.Address,
        now_ms: int,
        *,
        is_stopping: bool = False,
    ) -> None:
        """Sends a hello to an agent that has sent no heartbeat yet.

        Args:
            address: Its address.
            now_ms: Current time.
            is_stopping: Whether it is known to have announced a planned stop.
        """
        if (
            self.agents.get(address) is not None
            or address in self._unconfirmed_agents
            or address in self._departed_agents
        ):
            return
        if len(self._unconfirmed_agents) < agents.MAX_AGENTS:
            self._unconfirmed_agents[address] = agents.UnconfirmedAgent(
                now_ms, is_stopping
            )
            self._send_hello(address)

    def known_agents(self) -> list[messages.Address]:
        """Returns the addresses of all agents, with or without heartbeats."""
        return [
            *(agent.address for agent in self.agents),
            *self._unconfirmed_agents,
        ]

    def _send_hello(self, address: messages.Address) -> None:
        found = self._unconfirmed_agents.get(address)
        if found is not None:
            self._unconfirmed_agents[address] = found._replace(
                hellos=found.hellos + 1
            )
        hello = messages.Hello(self._address, self._choose_interval_ms(address))
        self._actions.append(actions.SendDaemon(address, hello))

    def _choose_interval_ms(self, address: messages.Address) -> int:
        """Returns and records the interval to ask an agent for."""
        interval_ms = self.watch.interval_ms(address)
        agent = self.agents.get(address)
        if agent is not None:
            agent.interval_ms = interval_ms
        return interval_ms

    def _ask_for_heartbeat(self, agent: agents.KnownAgent, now_ms: int) -> None:
        agent.on_asked(now_ms)
        self._send_hello(agent.address)

    def _on_revisions(self, announced: messages.Revisions, now_ms: int) -> None:
        sender = announced.balancer
        if sender not in self.peers:
            self.add_peer(sender, now_ms)
        self.peers[sender] = now_ms
        if announced.has_store:
            self._peers_with_store[sender] = now_ms
        else:
            self._peers_with_store.pop(sender, None)
        for address in announced.agents:
            self.add_agent(address, now_ms)
        if not announced.is_reply:
            self._send_revisions(sender, is_reply=True, number=announced.number)
        self.set_evacuations(
            routes.Evacuations(
                announced.evacuations_revision,
                frozenset(announced.evacuated),
                announced.is_settled,
            ),
            source=sender.ip,
        )
        newer = newer_replica.NewerReplica(
            announced.replica,
            announced.configuration_version,
            announced.configuration_revision,
            announced.has_directory,
            now_ms,
        )
        if announced.is_reply and announced.number > self._resumed_number:
            self._freshness.confirm()
        self.store_era = max(self.store_era, announced.store_era)
        if self._remembers_lost_entries(announced, now_ms):
            self.has_directory = False
            self._has_agents_of_peer = True
            self._fetch(announced.replica)
            return
        if not self._lacks(newer):
            return
        known = self._newer_replica
        if self.is_ready and (known is None or known.is_older_than(newer)):
            self._relay(announced)
        if known is not None:
            newer = newer._replace(
                since_ms=known.since_ms, has_renewed=known.has_renewed
            )
        self._newer_replica = newer
        self._obtain_newer_replica(now_ms)

    def _relay(self, announced: messages.Revisions) -> None:
        """Passes on at once that a balancer has a newer configuration.

        The store may have delivered it to that balancer alone.
        """
        onward = announced._replace(is_reply=True, number=0, agents=())
        for address in self._choose_peers():
            if address != announced.balancer:
                self._actions.append(actions.SendDaemon(address, onward))

    def _lacks(self, newer: newer_replica.NewerReplica) -> bool:
        """Returns whether a peer has state that this balancer lacks."""
        lacks_directory = newer.has_directory and not self.has_directory
        current = self.configuration
        if current.revision and newer.configuration_version == current.version:
            # Written again after the store's return, at another revision.
            return lacks_directory
        return lacks_directory or current.is_replaced_by(
            version=newer.configuration_version,
            revision=newer.configuration_revision,
        )

    def _obtain_newer_replica(self, now_ms: int) -> None:
        """Obtains what a peer has announced if the store does not send it."""
        newer = self._newer_replica
        if newer is None:
            return
        waited_ms = now_ms - newer.since_ms
        if not self._lacks(newer):
            self._newer_replica = None
        elif (
            not self.is_store_connected
            or waited_ms >= FETCH_GRACE_MS
            or self._has_started_with_older(newer, now_ms)
        ):
            self._newer_replica = None
            self._fetch(newer.address)
        elif waited_ms >= RENEW_GRACE_MS and not newer.has_renewed:
            self._newer_replica = newer._replace(has_renewed=True)
            self.counters["watches_renewed"] += 1
            self._log(
                "watches_renewed",
                peer=newer.address.ip,
                version=newer.configuration_version,
                version_in_force=self.configuration.version,
                waited_ms=waited_ms,
            )
            self._actions.append(actions.RenewWatches())

    def _fetch(self, replica: messages.Address) -> None:
        self.counters["replicas_fetched"] += 1
        self._actions.append(actions.FetchReplica(replica))

    def _remembers_lost_entries(
        self, announced: messages.Revisions, now_ms: int
    ) -> bool:
        """Returns whether a peer may know agents that the directory lacks.

        The peer has memory of before the store's return, whereas this balancer
        has started after it. Agents have yet to write lost entries again.
        """
        peer_era = revisions.era_of(announced.evacuations_revision)
        return (
            not self._has_agents_of_peer
            and announced.has_directory
            and now_ms - self._started_ms < SETTLE_MS
            and announced.evacuations_revision > 0
            and peer_era < self.store_era
        )

    def _has_started_with_older(
        self, newer: newer_replica.NewerReplica, now_ms: int
    ) -> bool:
        """Returns whether the store had an older configuration at the start.

        It has returned from an older copy, and the operators have yet to write
        the newer configuration again.
        """
        return (
            0 < self.configuration.version < newer.configuration_version
            and now_ms - self._started_ms < SETTLE_MS
        )

    def _send_revisions(
        self, address: messages.Address, *, is_reply: bool, number: int = 0
    ) -> None:
        if not is_reply:
            self._revisions_number += 1
            number = self._revisions_number
        known = [agent.address for agent in self.agents]
        if len(known) > MAX_LISTED_AGENTS:
            known = self._rng.sample(known, MAX_LISTED_AGENTS)
        message = messages.Revisions(
            balancer=self._address,
            replica=self._replica,
            configuration_revision=self.configuration.revision,
            evacuations_revision=self.evacuations.revision,
            evacuated=tuple(sorted(self.evacuations.data_centres)),
            agents=tuple(known),
            has_directory=self.has_directory,
            is_reply=is_reply,
            number=number,
            configuration_version=self.configuration.version,
            is_settled=self.evacuations.is_settled,
            store_era=self.store_era,
            has_store=self.is_store_connected,
        )
        self._actions.append(actions.SendDaemon(address, message))

    def gossip(self, now_ms: int) -> None:
        """Exchanges revisions with some peers, and asks late agents.

        To be called every 500 ms.
        """
        addresses = [
            address
            for address, last_heard_ms in self.peers.items()
            if now_ms - last_heard_ms <= SILENT_PEER_MS
        ]
        silent_peers = [a for a in self.peers if a not in addresses]
        if len(addresses) > GOSSIP_PEERS:
            addresses = self._rng.sample(addresses, GOSSIP_PEERS)
        if silent_peers:
            addresses.append(self._rng.choice(silent_peers))
        for address in addresses:
            self._send_revisions(address, is_reply=False)
        self._obtain_newer_replica(now_ms)
        self._ask_late_agents(now_ms)
        added = self.watch.update(
            self.agents,
            evacuated=self.evacuations.data_centres,
            now_ms=now_ms,
        )
        for address in added:
            self._send_hello(address)

    def _ask_late_agents(self, now_ms: int) -> None:
        """Asks late agents for a heartbeat: all that matter, some others."""
        others: list[messages.Address] = []
        for agent in self.agents:
            if not agent.is_late(now_ms):
                continue
            if self.watch.includes(agent.address) and agent.may_own(
                now_ms, contact_ms=self.contact_ms
            ):
                self._ask_for_heartbeat(agent, now_ms)
                if not agent.is_alive(now_ms):
                    self.watch.invalidate()
            else:
                others.append(agent.address)
        # Flows without another owner wait for them.
        waited_for = sorted(
            self._candidates.unconfirmed(now_ms),
            key=lambda address: self._unconfirmed_agents[address].hellos,
        )
        for address in waited_for[:GOSSIP_HELLOS_TO_UNCONFIRMED]:
            self._send_hello(address)
        others += [
            address
            for address, found in self._unconfirmed_agents.items()
            if not found.may_own(now_ms, contact_ms=self.contact_ms)
        ]
        if len(others) > GOSSIP_HELLOS:
            others = self._rng.sample(others, GOSSIP_HELLOS)
        for address in others:
            known = self.agents.get(address)
            if known is not None:
                self._ask_for_heartbeat(known, now_ms)
            else:
                self._send_hello(address)

    def acknowledge_watched(self) -> None:
        """Sends what is in force to the watched agents.

        Each agent is watched by several balancers.
        """
        for agent in self.agents:
            if self.watch.includes(agent.address):
                self._acknowledge(agent.heartbeat)

    def leave(self) -> None:
        """Announces that the balancer is about to stop."""
        self.is_leaving = True
        self.acknowledge_watched()

    # Timers.

    def tick(self, now_ms: int) -> None:
        """Handles timeouts of openings and searches.

        To be called every 20 ms.
        """
        for flow, opening in list(self._openings.items()):
            if now_ms - opening.started_ms > packet.OPEN_LIFETIME_MS:
                del self._openings[flow]
                self.counters["opens_timed_out"] += 1
                self._log(
                    "open_timed_out",
                    flow=str(flow),
                    service=opening.service,
                    candidates=len(opening.candidates),
                )
            else:
                self._tick_opening(flow, opening, now_ms)
        self._apply_lookup_steps(now_ms, self._lookups.tick(now_ms))
        self._tick_resolver(now_ms)
        self._search_unproven_again(now_ms)
        self._obtain_newer_replica(now_ms)

    def _tick_opening(
        self, flow: packet.FlowKey, opening: opening_module.Opening, now_ms: int
    ) -> None:
        extra = opening.extra
        if flow in self._owners:
            # A search has found the agent that the caller uses.
            del self._openings[flow]
        elif opening.has_waiting_packets(now_ms):
            self._search_among_offered(opening, now_ms)
        elif extra is not None and extra.refusal is not None:
            if extra.is_overdue(now_ms):
                self._on_refused(extra.refusal, now_ms)
        elif opening.is_overdue(now_ms):
            self._try_next_candidate(flow, opening, now_ms)
        else:
            self._consider_extra(flow, opening, now_ms)

    def _search_among_offered(
        self, opening: opening_module.Opening, now_ms: int
    ) -> None:
        """Asks which agent the caller uses; the word of it has been lost.

        Without an answer the packets are dropped: they may be of an earlier
        flow, while none of the agents has accepted the opening yet.
        """
        self.counters["extra_openings_searched"] += 1
        for received in opening.take_packets():
            if self._lookups.is_searching(received.flow):
                steps = self._lookups.add_packet(received, now_ms)
            else:
                steps = self._lookups.begin(
                    received, opening.offered, now_ms, knows_all_agents=False
                )
            self._apply_lookup_steps(now_ms, steps)

    def sweep(self, now_ms: int) -> None:
        """Removes expired entries; to be called every second."""
        self.extra_openings.sweep(now_ms)
        for agent in self.agents.forget_silent(now_ms):
            self._log(
                "agent_forgotten",
                agent=agent.name,
                silent_ms=now_ms - agent.last_heard_ms,
            )
        for address, found in list(self._unconfirmed_agents.items()):
            if now_ms - found.found_ms > agents.FORGET_AFTER_MS:
                del self._unconfirmed_agents[address]
        for address, departed in list(self._departed_agents.items()):
            if now_ms - departed.since_ms > agents.FORGET_AFTER_MS:
                del self._departed_agents[address]
        for address, last_heard_ms in list(self.peers.items()):
            if now_ms - last_heard_ms > FORGET_PEER_MS:
                del self.peers[address]
                self._peers_with_store.pop(address, None)
                self._log("peer_forgotten", ip=address.ip)
        for address, until_ms in list(self._silent_resolvers.items()):
            if now_ms >= until_ms:
                del self._silent_resolvers[address]
        for key, removed_ms in list(self._removed_routes.items()):
            if now_ms - removed_ms > agents.FORGET_AFTER_MS:
                del self._removed_routes[key]

    def _log(self, event: str, **fields: object) -> None:
        self._actions.append(actions.Log(event, fields))
