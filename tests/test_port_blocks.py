"""Ports of daemons and stand-ins that several processes start at once."""

from sapphirelift.bench import fleet


class TestPortBlocks:
    """Blocks of ports, one holder each."""

    def test_two_holders_share_no_port(self) -> None:
        """Guards against workers of the tests that take each other's ports.

        Both begin at the same block, as processes with unlucky ids do, and
        take more ports than one block has.
        """
        first, second = fleet.PortBlocks(), fleet.PortBlocks()
        count = 2 * fleet.BLOCK_PORTS
        pairs = [(first.take(), second.take()) for _ in range(count)]
        assert len({port for pair in pairs for port in pair}) == 2 * count

    def test_blocks_return(self) -> None:
        """Guards against a long run that claims all ports of the machine."""
        holder = fleet.PortBlocks()
        count = 2 * fleet.MAX_BLOCKS * fleet.BLOCK_PORTS
        assert len({holder.take() for _ in range(count)}) == count
        assert holder.held <= fleet.MAX_BLOCKS
