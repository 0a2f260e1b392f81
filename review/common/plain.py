"""Plain services and their clients as stand-ins, by PROTOCOL.md (asyncio)."""

import asyncio
import random
import time

from engine import answer, read_message


class Plain:
    """A sound server of a plain service."""

    def __init__(self, fleet, zone, ip, port, service, work_s=0.06):
        self.fleet = fleet
        self.zone = zone
        self.ip = ip
        self.port = port
        self.service = service
        self.work_s = work_s
        self.id = "p-%s" % zone
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.ran = {}  # attempt id -> number of runs

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.beat = asyncio.ensure_future(self._beat())

    async def stop(self):
        self.beat.cancel()
        self.server.close()

    async def _beat(self):
        while True:
            self.sequence += 1
            await self.fleet.heartbeat(self.id, {
                "service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0,
                "seqNo": self.sequence, "born": self.born})
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                run_id = request.get("x-attempt-id")
                headers = [("X-Attempt-Id", run_id), ("X-Response-Seal", "seal.%s" % self.id)]
                if request.get("x-expect-instance") not in ("", self.id):
                    writer.write(answer(421, "Misdirected Request",
                                        headers + [("X-Not-Executed", "1")]))
                    continue
                self.ran[run_id] = self.ran.get(run_id, 0) + 1
                await asyncio.sleep(self.work_s)
                writer.write(answer(200, "OK", headers, b"done %s" % run_id.encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Client:
    """Sends requests one after the other on a kept connection.

    `results` holds (attempt id, outcome, reused): outcome is a status, "cut"
    (the connection ended without an answer), "none" (no connection) or "late"
    (no answer within the deadline)."""

    def __init__(self, gate, host, path, key, size, deadline_s, think_s, results):
        self.gate = gate
        self.host = host
        self.path = path
        self.key = key
        self.size = size
        self.deadline_s = deadline_s
        self.think_s = think_s
        self.results = results

    async def run(self, until):
        reader = writer = None
        answered = 0
        while time.monotonic() < until:
            run_id = "%016x" % random.getrandbits(64)
            outcome = "none"
            try:
                if writer is None:
                    reader, writer = await asyncio.wait_for(
                        asyncio.open_connection(*self.gate), 1.0)
                    answered = 0
                outcome = "cut"
                writer.write(("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n"
                              "X-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n"
                              "Content-Length: %d\r\n\r\n"
                              % (self.path, self.host, run_id, int(self.deadline_s * 1000),
                                 self.key, self.size)).encode() + b"x" * self.size)
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), self.deadline_s)
                outcome = int(head.split(b" ", 2)[1])
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                await reader.readexactly(length)
                self.results.append((run_id, outcome, answered > 0))
                answered += 1
                if b"connection: close" in head.lower():
                    writer.close()
                    writer = None
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as problem:
                if isinstance(problem, asyncio.TimeoutError) and writer is not None:
                    outcome = "late"
                self.results.append((run_id, outcome, answered > 0))
                if writer is not None:
                    writer.close()
                writer = None
                await asyncio.sleep(0.1)
            await asyncio.sleep(self.think_s)
        if writer is not None:
            writer.close()
