"""Aliases of the helpers that run daemons as processes on loopback."""

from sapphirelift.bench import fleet

CLUSTER_KEY_HEX = fleet.CLUSTER_KEY_HEX
START_TIMEOUT_S = fleet.START_TIMEOUT_S
Fleet = fleet.Fleet
free_port = fleet.free_port
get_json = fleet.get_json
post_json = fleet.post_json
wait_until = fleet.wait_until
