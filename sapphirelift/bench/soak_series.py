"""Plays soak runs of several seeds, each in a process of its own."""

import concurrent.futures
import pathlib
import subprocess
import sys
import tempfile

import msgspec

from sapphirelift import errors
from sapphirelift.bench import fleet
from sapphirelift.bench import soak

# Start, end and the last calm time come on top of the duration.
MAX_OVERTIME_S = 120.0
# Seeds that have failed once, by what they found.
FAILED_SEEDS = {
    1: "an evacuation that had ended was in force again after a return",
    32: "resets after a pause of seconds, before agents were heard again",
    34: "as 32",
    35: "a stall of the soak itself, taken for a fault of the daemons",
    41: "as 32",
    133: "resets after a pause of 1.3 s, too short to be noticed",
}


def parse_seeds(text: str) -> list[int]:
    """Returns the seeds of a list such as ``1-3,9``.

    ``failed`` stands for those that have failed once.

    >>> parse_seeds("1-3,9")
    [1, 2, 3, 9]
    >>> 133 in parse_seeds("failed")
    True

    Raises:
        RecordError: The text is not such a list.
    """
    if text == "failed":
        return list(FAILED_SEEDS)
    try:
        ranges = [part.partition("-")[::2] for part in text.split(",")]
        return [
            seed
            for first, last in ranges
            for seed in range(int(first), int(last or first) + 1)
        ]
    except ValueError as error:
        raise errors.RecordError(
            f"{text!r} is not a list of seeds",
            remedy="write it like 1-50 or 3,8,11, or failed",
        ) from error


def run(seeds: list[int], template: soak.Options, *, parallel: int) -> str:
    """Plays a run for each seed.

    Args:
        seeds: The seeds.
        template: Options of all runs; the directory gets a folder for each
            seed, a temporary one if it is empty.
        parallel: Number of runs at the same time.

    Returns:
        The report, one line for each run and more for those that failed.
    """
    root = template.directory or tempfile.mkdtemp(prefix="sapphirelift-soak-")

    def play(seed: int) -> tuple[int, str]:
        directory = pathlib.Path(root) / str(seed)
        directory.mkdir(parents=True, exist_ok=True)
        options = msgspec.structs.replace(
            template, seed=seed, directory=str(directory)
        )
        played = subprocess.run(
            [
                sys.executable,
                "-m",
                "sapphirelift.bench.soak",
                fleet.to_json(options),
            ],
            capture_output=True,
            text=True,
            check=False,
            timeout=template.duration_s + MAX_OVERTIME_S,
        )
        # A run that an exception ends has printed nothing else.
        is_cut = played.returncode > 1 or not played.stdout
        text = played.stdout + (played.stderr if is_cut else "")
        return played.returncode, text.rstrip()

    with concurrent.futures.ThreadPoolExecutor(parallel) as pool:
        results = list(pool.map(play, seeds))
    failed = [
        seed for seed, (status, _) in zip(seeds, results, strict=True) if status
    ]
    lines = [text for _, text in results]
    lines.append(
        f"{len(seeds)} seeds, failed: {failed or 'none'}; logs in {root}"
    )
    return "\n".join(lines)
