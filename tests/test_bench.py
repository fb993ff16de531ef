"""Tests of the bench: its checks of outcomes, short runs and reports."""

import pathlib

import msgspec

from sapphirelift import settings
from sapphirelift.bench import forwarding
from sapphirelift.bench import judge
from sapphirelift.bench import policies
from sapphirelift.bench import report
from sapphirelift.bench import runner
from sapphirelift.bench import scenarios
from sapphirelift.bench import sizes
from sapphirelift.core.flows import baselines


def request(
    logical_id: str,
    outcome: str = judge.ANSWERED,
    *,
    idempotent: bool = False,
    is_intact: bool = True,
) -> judge.Request:
    """Returns a request to service ``a``."""
    return judge.Request(
        logical_id, "a", "c", idempotent, 1.0, 2.0, outcome, "", is_intact
    )


def run(logical_id: str, *, service: str = "a", at_s: float = 1) -> judge.Run:
    """Returns a run of 100 ms on target ``t``."""
    return judge.Run("t", service, logical_id, at_s, 100.0)


class TestJudge:
    """Violations found in outcomes and runs."""

    def test_valid_run_has_no_violations(self) -> None:
        """Guards against reporting allowed outcomes as violations."""
        violations = judge.find_violations(
            [
                request("1"),
                request("2", judge.UNKNOWN),
                request("3", judge.NOT_RUN),
                request("4", idempotent=True),
            ],
            [run("1"), run("2"), run("4"), run("4")],
        )
        assert violations == judge.Violations(0, 0, 0, 0, 0, {})

    def test_injected_faults_are_found(self) -> None:
        """Guards against a bench that misses faults of the product."""
        violations = judge.find_violations(
            [
                request("double"),
                request("refused", judge.NOT_RUN),
                request("repeated", judge.NOT_RUN, idempotent=True),
                request("astray"),
                request("mixed_up", is_intact=False),
                request("made_up"),
            ],
            [
                run("double"),
                run("double"),
                run("refused"),
                run("repeated"),
                run("astray", service="b"),
                run("mixed_up"),
            ],
        )
        assert violations.ids == {
            "double_runs": ["double"],
            "false_not_run": ["refused", "repeated"],
            "misrouted": ["astray"],
            "wrong_answers": ["mixed_up"],
            "answers_without_run": ["made_up"],
        }
        assert violations[:5] == (1, 2, 1, 1, 1)

    def test_records_without_id_are_ignored(self) -> None:
        """Guards against counting the bench's admin calls as runs."""
        records = [
            {"path": "/counters", "query": "", "started_s": 1.0},
            {"path": "/echo", "query": "id=7&work_ms=50", "started_s": 2.0},
        ]
        assert judge.read_runs("t", "a", records) == [
            judge.Run("t", "a", "7", 2.0, 50.0)
        ]

    def test_loss_is_expected_only_in_its_interval(self) -> None:
        """Guards against ignoring broken flows of other owners or times."""
        losses = [judge.FlowLoss(at_s, o, "") for at_s in (1, 5) for o in "ab"]
        broken, excused = judge.split_losses(
            losses, {"a": [judge.Interval(0, 2)]}
        )
        assert excused == [losses[0]]
        assert broken == losses[1:]

    def test_imbalance_is_against_fair_share(self) -> None:
        """Guards against reporting a slow target's fair share as imbalance."""
        work = {"fast": 200.0, "slow": 100.0}
        assert judge.imbalance(work, {"fast": 1.0, "slow": 0.5}) == (1.0, 0.0)
        assert judge.imbalance(work, {"fast": 1.0, "slow": 1.0})[0] > 1.3

    def test_late_run_in_withdrawn_data_centre(self) -> None:
        """Guards against counting other targets or runs after the return."""
        runs = [run("1", at_s=9), run("2", at_s=14), run("3", at_s=40)]
        out = judge.Interval(10, 30)
        assert judge.time_to_last_run_s(runs, {"t"}, out) == 4
        assert judge.time_to_last_run_s(runs, {"u"}, out) == 0

    def test_cold_overload_depends_on_age(self) -> None:
        """Guards against ignoring the small capacity just after a start."""
        start = judge.ColdStart("t", 10.0, 4, 1.0)
        cold = [run(str(n), at_s=10.1 + n / 1000) for n in range(3)]
        warm = [run(str(n), at_s=14.9 + n / 1000) for n in range(3)]
        assert judge.cold_overloads(cold, [start]) == 2
        assert judge.cold_overloads(warm, [start]) == 0


class TestRun:
    """Short runs with real processes."""

    def test_steady_counts_add_up(self, tmp_path: pathlib.Path) -> None:
        """Guards against requests or figures missing from the result."""
        result = runner.run(
            scenarios.SCENARIOS["steady"],
            size=sizes.Size(
                "small",
                (sizes.Service("a", 2), sizes.Service("b", 1)),
                ("x", "y"),
                slots=4,
                balancers=2,
            ),
            seed=1,
            duration_s=2,
            directory=tmp_path,
        )
        figures = result["figures"]
        outcomes = ("requests_ok", "requests_not_run", "requests_unknown")
        assert figures["requests"] == sum(figures[key] for key in outcomes)
        assert figures["requests_ok"] > 100
        assert figures["requests_unfinished"] == 0
        for key in (
            "broken_flows",
            "misrouted_packets",
            "double_runs",
            "false_not_run",
            "wrong_answers",
            "answers_without_run",
        ):
            assert figures[key] == 0, key
        assert len(figures["config_writes"]) == 2
        assert figures["control_bytes_per_s"] > 0
        assert "double_runs" in report.table(result)
        page = report.page(result)
        assert page.count("<svg") == 3
        assert "<script" not in page and "src=" not in page

    def test_forwarding_counts_both(self, tmp_path: pathlib.Path) -> None:
        """Guards against a ratio computed without any received datagrams."""
        result = forwarding.run(tmp_path, seed=1, duration_s=1.5)
        assert result["figures"]["forwarded_per_s"] > 0
        assert result["figures"]["relay_per_s"] > 0
        assert len(result["bounds"]) == 2


class TestPolicies:
    """Baselines that a scenario can run under."""

    def test_agent_settings_know_every_baseline(self) -> None:
        """Guards against a baseline that the agent's settings reject."""
        for policy in policies.POLICIES.values():
            backend = {"ip": "127.0.0.1", "port": 1, "service": "s"}
            backend |= policy.backend_settings()
            made = msgspec.convert(backend, settings.BackendSettings)
            assert made.experiment_placement == policy.placement
            if policy.placement:
                assert policy.placement in baselines.BASELINES

    def test_service_runs_without_experiments(self) -> None:
        """Guards against a baseline that is enabled by default."""
        made = settings.BackendSettings("127.0.0.1", 1, "s")
        assert made.experiment_placement == ""
        assert not made.experiment_forgets_replies
        assert policies.PRODUCT.backend_settings() == {}
