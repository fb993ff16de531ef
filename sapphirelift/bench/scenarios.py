"""Scenarios: changes made under load, and the bounds on the figures."""

import dataclasses
from collections.abc import Callable
from collections.abc import Mapping

from sapphirelift.bench import experiment
from sapphirelift.bench import results

_Bound = results.Bound
_Experiment = experiment.Experiment


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A change during the run.

    Attributes:
        at: Time as a fraction of the measured duration.
        run: The change.
    """

    at: float
    run: Callable[[_Experiment], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A load, the changes made during it and the bounds on its figures.

    The ratio figures compare the time before the first step with the time
    after it.

    Attributes:
        utilisation: Offered load as a fraction of the capacity of all slots.
        bounds: Bounds in addition to ``results.COMMON_BOUNDS``.
        slow_target_speed: Speed of the first target of the first service.
        slow_callers: Whether a slow caller joins at phase 1.
        deadline_ms: Deadline of the requests.
        faults: Faults of the packets between callers and balancers, see
            ``fault_proxy.Faults``.
    """

    name: str
    summary: str
    steps: tuple[Step, ...] = ()
    utilisation: float = 0.6
    bounds: tuple[_Bound, ...] = ()
    slow_target_speed: float = 1.0
    slow_callers: bool = False
    deadline_ms: int = 5000
    faults: Mapping[str, float] | None = None


def _write(run: _Experiment) -> None:
    run.write_config()


_WRITES = (Step(0.3, _write), Step(0.7, _write))

_SCENARIOS = (
    Scenario(
        "steady",
        "no change but two configuration writes",
        steps=_WRITES,
        bounds=(
            _Bound("imbalance_max_over_mean", "<=", 1.10, only_slots=4),
            _Bound("requests_unknown", "<=", 0),
        ),
    ),
    Scenario(
        "balancer_churn",
        "balancers are killed, started and stopped by plan",
        steps=(
            Step(0.2, lambda run: run.kill_balancer("balancer-1")),
            Step(0.35, lambda run: run.start_balancer("balancer-4")),
            Step(0.5, lambda run: run.stop_balancer("balancer-2")),
            Step(0.6, _write),
            Step(0.7, lambda run: run.start_balancer("balancer-5")),
            Step(0.8, lambda run: run.stop_balancer("balancer-3")),
        ),
        bounds=(_Bound("requests_unknown", "<=", 0),),
    ),
    Scenario(
        "backend_churn",
        "backend servers stop by plan, start cold and become cold again",
        utilisation=0.5,
        steps=(
            Step(0.15, lambda run: run.stop_target(run.target(0))),
            Step(0.3, lambda run: run.start_target("target-new")),
            Step(0.45, lambda run: run.restart_target(run.target(0))),
            Step(0.55, _write),
            Step(0.7, lambda run: run.replace_with_cold_backend(run.target(1))),
        ),
        bounds=(
            _Bound("cold_overload_events", "<=", 0),
            _Bound("leaving_quiet_s", "<=", 3.0),
        ),
    ),
    Scenario(
        "data_centre",
        "a data centre is withdrawn and returns",
        utilisation=0.4,
        steps=(
            Step(0.3, lambda run: run.withdraw(1)),
            Step(0.65, lambda run: run.restore(1)),
        ),
        bounds=(
            _Bound("data_centre_quiet_s", "<=", 3.0),
            _Bound("latency_p99_ratio", "<=", 2.0),
        ),
    ),
    Scenario(
        "slow_target",
        "one target runs at half the speed",
        slow_target_speed=0.5,
        utilisation=0.5,
        steps=_WRITES,
        bounds=(_Bound("imbalance_max_over_mean", "<=", 1.25),),
    ),
    Scenario(
        "slow_caller",
        "a caller joins whose requests take 50 times longer",
        utilisation=0.3,
        slow_callers=True,
        steps=(Step(0.4, lambda run: run.next_phase()), Step(0.7, _write)),
        bounds=(_Bound("latency_p99_ratio", "<=", 1.5),),
    ),
    Scenario(
        "overload",
        "load at capacity, then at twice the capacity",
        utilisation=1.0,
        deadline_ms=1000,
        steps=(Step(0.5, lambda run: run.set_rate(2.0)), Step(0.7, _write)),
        bounds=(_Bound("goodput_ratio", ">=", 0.9),),
    ),
    Scenario(
        "late_duplicates",
        "a fifth of the callers' packets is repeated, a fifth is late",
        utilisation=0.4,
        steps=_WRITES,
        faults={"duplicate": 0.2, "reorder": 0.2, "reorder_ms": 400.0},
    ),
    Scenario(
        "platform_outage",
        "the platform is down for half of the run, a balancer starts then",
        steps=(
            Step(0.2, lambda run: run.set_platform_down(True)),
            Step(0.35, lambda run: run.start_balancer("balancer-4")),
            Step(0.45, lambda run: run.kill_balancer("balancer-1")),
            Step(0.7, lambda run: run.set_platform_down(False)),
            Step(0.72, _write),
        ),
        bounds=(_Bound("requests_unknown", "<=", 0),),
    ),
    Scenario(
        "mixed",
        "balancers, backend servers, a data centre and the platform together",
        utilisation=0.4,
        steps=(
            Step(0.15, lambda run: run.stop_target(run.target(0))),
            Step(0.16, lambda run: run.kill_balancer("balancer-1")),
            Step(0.25, lambda run: run.start_balancer("balancer-4")),
            Step(0.3, lambda run: run.set_platform_down(True)),
            Step(0.35, lambda run: run.restart_target(run.target(0))),
            Step(0.4, lambda run: run.freeze("balancer-2")),
            Step(0.42, lambda run: run.set_platform_down(False)),
            Step(0.45, lambda run: run.withdraw(1)),
            # Later than the bound on data_centre_quiet_s: if the resumed
            # balancer forwarded packets queued in its socket, the bound
            # would be missed.
            Step(0.7, lambda run: run.resume("balancer-2")),
            Step(0.8, lambda run: run.restore(1)),
            Step(
                0.85, lambda run: run.replace_with_cold_backend(run.target(3))
            ),
        ),
        bounds=(
            _Bound("data_centre_quiet_s", "<=", 3.0),
            _Bound("leaving_quiet_s", "<=", 3.0),
            _Bound("cold_overload_events", "<=", 0),
        ),
    ),
)
SCENARIOS = {scenario.name: scenario for scenario in _SCENARIOS}
