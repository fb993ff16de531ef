"""Latency histograms of the metrics page."""

import subprocess
import sys

from sapphirelift.operators import latency


class TestLatencyHistograms:
    """Bucket counts of the latency histograms."""

    def test_exposition(self) -> None:
        """Guards against latencies in the wrong bucket."""
        histograms = latency.LatencyHistograms()
        histograms.observe({"open": [1, 20, 7000]})
        histograms.observe({"open": [250]})
        lines = histograms.exposition().decode().splitlines()
        name = "sapphirelift_open_seconds"
        assert f'{name}_bucket{{le="0.001"}} 1.0' in lines
        assert f'{name}_bucket{{le="0.02"}} 2.0' in lines
        assert f'{name}_bucket{{le="0.25"}} 3.0' in lines
        assert f'{name}_bucket{{le="5.0"}} 3.0' in lines
        assert f'{name}_bucket{{le="+Inf"}} 4.0' in lines
        assert f"{name}_count 4.0" in lines
        assert f"{name}_sum 7.271" in lines

    def test_start_imports_no_slow_library(self) -> None:
        """Guards against slow imports at the start of a packet daemon."""
        code = (
            "import sys, sapphirelift._packet_agent, "
            "sapphirelift._packet_balancer; "
            "print([n for n in sys.modules if n.split('.')[0] in "
            "('prometheus_client', 'eliot', 'grpc')])"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], check=True, capture_output=True
        )
        assert done.stdout.strip() == b"[]"
