"""Commands of ``sapphirelift bench``."""

import json
import pathlib
from typing import Any

from sapphirelift import errors
from sapphirelift.bench import capacity as capacity_module
from sapphirelift.bench import forwarding
from sapphirelift.bench import policies
from sapphirelift.bench import report as report_module
from sapphirelift.bench import runner
from sapphirelift.bench import scenarios
from sapphirelift.bench import sizes
from sapphirelift.bench import soak as soak_module
from sapphirelift.bench import soak_series


class Bench:
    """Measures the product with real processes on this machine."""

    def list(self) -> str:
        """Lists the scenarios."""
        lines = [
            f"{scenario.name:<18}{scenario.summary}"
            for scenario in scenarios.SCENARIOS.values()
        ]
        lines.append(f"{forwarding.NAME:<18}{forwarding.SUMMARY}")
        return "\n".join(lines)

    def run(
        self,
        name: str,
        seed: int = 1,
        output: str | None = None,
        size: str = "pihlajakoti",
        duration_s: float = 20.0,
        logs: str | None = None,
        policy: str = "product",
    ) -> str:
        """Runs a scenario and prints its figures and bounds.

        Args:
            name: Name of the scenario, see ``list``.
            seed: Seed of the load generators.
            output: JSON file to write the result to.
            size: ``dune-works`` or ``pihlajakoti``.
            duration_s: Measured time in seconds.
            logs: Existing directory for the processes' logs.
            policy: ``product``, or a baseline to compare it with: random,
                round_robin, plain_hash, least_loaded_stale, no_ramp,
                no_retry_budget or no_reply_cache.
        """
        if name == forwarding.NAME:
            result = runner.run_forwarding(seed=seed, duration_s=duration_s / 4)
            return _save(result, output)
        scenario = scenarios.SCENARIOS.get(name)
        if scenario is None:
            raise errors.RecordError(
                f"scenario '{name}' does not exist",
                remedy="see `sapphirelift bench list`",
            )
        if size not in sizes.SIZES:
            raise errors.RecordError(
                f"size '{size}' does not exist",
                remedy=f"use one of {', '.join(sizes.SIZES)}",
            )
        if policy not in policies.POLICIES:
            raise errors.RecordError(
                f"policy '{policy}' does not exist",
                remedy=f"use one of {', '.join(policies.POLICIES)}",
            )
        result = runner.run(
            scenario,
            size=sizes.SIZES[size],
            seed=seed,
            duration_s=duration_s,
            directory=pathlib.Path(logs) if logs else None,
            policy=policies.POLICIES[policy],
        )
        return _save(result, output)

    def capacity(self, name: str = "", output: str | None = None) -> str:
        """Measures cost by size and fits slopes, see docs/CAPACITY.md.

        Args:
            name: Name of the measurement; lists all if empty.
            output: JSON file to write the result to.
        """
        return capacity_module.main(name, output)

    def soak(
        self,
        seeds: str = "1-3",
        duration_s: float = 30.0,
        parallel: int = 2,
        balancers: int = 3,
        agents: int = 4,
        sessions: int = 12,
        is_short: bool = False,
        logs: str = "",
    ) -> str:
        """Plays packet daemons under faults and checks the promises.

        Args:
            seeds: Seeds, for example ``1-50`` or ``3,8``; ``failed`` for those
                that have failed once.
            duration_s: Time for which faults are injected, per seed.
            parallel: Number of seeds played at the same time.
            balancers: Number of balancers.
            agents: Number of agents, over two data centres.
            sessions: Number of callers that keep their flows open.
            is_short: Whether servers have one slot and uneven speeds, and all
                decisions under load are on.
            logs: Directory for settings and logs; a temporary one if empty.
        """
        options = soak_module.Options(
            logs,
            duration_s=duration_s,
            balancers=balancers,
            agents=agents,
            sessions=sessions,
            is_short=is_short,
        )
        # The argument parser turns a single seed into a number, and a list of
        # them into a tuple.
        listed = (
            ",".join(map(str, seeds)) if isinstance(seeds, tuple) else seeds
        )
        return soak_series.run(
            soak_series.parse_seeds(str(listed)), options, parallel=parallel
        )

    def report(self, file: str, output: str) -> str:
        """Writes an HTML report of a saved run."""
        try:
            result = json.loads(pathlib.Path(file).read_text())
            page = report_module.page(result)
        except (OSError, ValueError, KeyError) as error:
            raise errors.RecordError(
                f"{file} is not a saved run: {error!r}",
                remedy="save one with `sapphirelift bench run --output=FILE`",
            ) from error
        pathlib.Path(output).write_text(page)
        return f"wrote {output}"


def _save(result: dict[str, Any], output: str | None) -> str:
    if output:
        pathlib.Path(output).write_text(json.dumps(result, indent=1))
    return report_module.table(result)
