"""One engine as a process of its own, so that a signal can end it.

Arguments: ip, port, zone, service, the share of the streams without a length,
the control port and the control addresses. Writes what it does to standard
output.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from engine import Engine, Fleet  # noqa: E402


class Control:
    """The part of a deployment that heartbeats need."""

    def __init__(self, ips, port):
        self.ports = {"control": port}
        self._nodes = [type("Node", (), {"ip": ip}) for ip in ips]

    def cores(self):
        return self._nodes


async def main():
    ip, port, zone, service, unframed_share, control_port = sys.argv[1:7]
    control = Control(sys.argv[7:], int(control_port))
    fleet = Fleet(control, lambda text: print(text, flush=True))
    engine = Engine(fleet, zone, ip, int(port), service)
    engine.unframed_share = float(unframed_share)
    fleet.engines.append(engine)
    await engine.start()
    await asyncio.Event().wait()


asyncio.run(main())
