"""Client library for callers: sessions and requests over UDP datagrams.

Its calls block the current eventlet green thread only.
"""

import random
from collections.abc import Callable
from collections.abc import Sequence

import eventlet
import eventlet.event
import eventlet.queue

from sapphirelift import clock
from sapphirelift import errors
from sapphirelift import messages
from sapphirelift import tasks
from sapphirelift.core.requests import caller
from sapphirelift.core.requests import outcomes
from sapphirelift.core.requests import retries
from sapphirelift.peers import endpoint

TICK_S = 0.02
# Must be shorter than the time after which the core gives up a silent flow
# (6 s), so that a new source port is tried before that.
SILENT_PATH_MS = 3000


class Caller:
    """A caller whose packets are spread over several balancers.

    Each packet goes to a random balancer, as a network fabric that sprays
    packets would send it.

    Attributes:
        balancers: Addresses to which packets are sent.
        replaced_sockets: Number of times a silent source port was replaced.
        owners: Name of the agent that owns the flow, by session id.
        broken_flows: Number of flows that were lost instead of moved.
        moved_flows: Number of flows that moved to another owner.
        on_notice: Called with each notice of the core, if set.
    """

    def __init__(
        self,
        balancers: Sequence[messages.Address],
        *,
        seed: int = 0,
        ip: str = "127.0.0.1",
        budget: retries.RetryBudget | None = None,
    ) -> None:
        self.balancers = list(balancers)
        self._rng = random.Random(seed)
        self.core = caller.CallerCore(rng=self._rng, budget=budget)
        self._ip = ip
        self._unanswered_since_ms: int | None = None
        self.replaced_sockets = 0
        self._endpoint = self._open_endpoint()
        self._pending_requests: dict[int, eventlet.event.Event] = {}
        self._pending_opens: dict[int, eventlet.event.Event] = {}
        self._ticker = tasks.spawn("caller_tick", self._tick)
        self.owners: dict[int, str] = {}
        self.broken_flows = 0
        self.moved_flows = 0
        self.on_notice: Callable[[caller.Notice], None] | None = None

    def open(self, service: str, *, timeout_s: float = 10.0) -> "Session":
        """Opens a session.

        Raises:
            FlowError: No agent accepted the flow in time.
        """
        opened: eventlet.event.Event = eventlet.event.Event()
        session_id, out = self.core.open_session(service, now_ms=clock.now_ms())
        self._pending_opens[session_id] = opened
        self._process_outputs(out)
        try:
            with eventlet.Timeout(timeout_s):
                opened.wait()
        except eventlet.Timeout as error:
            self._pending_opens.pop(session_id, None)
            self.close_session(session_id)
            raise errors.FlowError(
                f"no flow to {service} within {timeout_s} s",
                remedy="check that the service has backend servers up",
            ) from error
        return Session(self, session_id)

    def request(
        self,
        session_id: int,
        method: str,
        path: str,
        *,
        body: bytes,
        idempotent: bool,
        deadline_ms: int,
    ) -> outcomes.Outcome:
        """Sends a request on a session and waits for its outcome."""
        request_id, out = self.core.start_request(
            session_id,
            method=method,
            path=path,
            body=body,
            idempotent=idempotent,
            deadline_ms=deadline_ms,
            now_ms=clock.now_ms(),
        )
        done: eventlet.event.Event = eventlet.event.Event()
        self._pending_requests[request_id] = done
        self._process_outputs(out)
        return done.wait()

    def close_session(self, session_id: int) -> None:
        """Closes a session."""
        self._process_outputs(
            self.core.close_session(session_id, now_ms=clock.now_ms())
        )

    def close(self) -> None:
        """Stops the timer task and closes the socket."""
        self._ticker.kill()
        self._endpoint.stop()

    def _open_endpoint(self) -> endpoint.Endpoint:
        opened = endpoint.Endpoint(
            messages.Address(self._ip, 0), self._on_datagram
        )
        opened.start()
        return opened

    def _replace_silent_endpoint(self) -> None:
        """Switches to a new source port if packets remain unanswered.

        One network path can fail for good while paths from other source ports
        still work. Established flows survive the switch, because agents send
        to the source address of the last packet with the flow's token.
        """
        unanswered_since_ms = self._unanswered_since_ms
        if unanswered_since_ms is None:
            return
        if clock.now_ms() - unanswered_since_ms < SILENT_PATH_MS:
            return
        former, self._endpoint = self._endpoint, self._open_endpoint()
        former.stop()
        self._unanswered_since_ms = None
        self.replaced_sockets += 1

    def _on_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        del address
        self._unanswered_since_ms = None
        self._process_outputs(self.core.receive(data, now_ms=clock.now_ms()))

    def _tick(self) -> None:
        while True:
            eventlet.sleep(TICK_S)
            self._replace_silent_endpoint()
            self._process_outputs(self.core.tick(clock.now_ms()))

    def _process_outputs(self, outputs: list[caller.Output]) -> None:
        for output in outputs:
            match output:
                case caller.SendDatagram(data):
                    if self._unanswered_since_ms is None:
                        self._unanswered_since_ms = clock.now_ms()
                    balancer = self._rng.choice(self.balancers)
                    self._endpoint.send(data, balancer)
                case _:
                    self._on_notice(output)

    def _on_notice(self, notice: caller.Notice) -> None:
        match notice:
            case caller.RequestDone(request_id, outcome):
                done = self._pending_requests.pop(request_id, None)
                if done is not None:
                    done.send(outcome)
            case caller.FlowOpened(session_id, owner, moved):
                self.owners[session_id] = owner
                self.moved_flows += moved
                opened = self._pending_opens.pop(session_id, None)
                if opened is not None:
                    opened.send(owner)
            case caller.FlowBroken():
                self.broken_flows += 1
        if self.on_notice is not None:
            self.on_notice(notice)


class Session:
    """A session of a caller with one service."""

    def __init__(self, client: Caller, session_id: int) -> None:
        self._caller = client
        self.session_id = session_id

    @property
    def agent(self) -> str:
        """Name of the agent that owns the session's flow."""
        return self._caller.owners[self.session_id]

    def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        idempotent: bool = True,
        deadline_ms: int = 5000,
    ) -> outcomes.Outcome:
        """Sends a request and waits for its outcome."""
        return self._caller.request(
            self.session_id,
            method,
            path,
            body=body,
            idempotent=idempotent,
            deadline_ms=deadline_ms,
        )

    def close(self) -> None:
        """Closes the session."""
        self._caller.close_session(self.session_id)
