"""Model engines and plain services as stand-ins, by PROTOCOL.md (asyncio)."""

import asyncio
import json
import time


class Message:
    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_message(reader):
    """Reads a request, or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        body = await reader.readexactly(length)
    return Message(lines[0], headers, body)


def answer(status, reason, headers, body=b""):
    out = "HTTP/1.1 %d %s\r\n" % (status, reason)
    for name, value in headers:
        out += "%s: %s\r\n" % (name, value)
    out += "Content-Length: %d\r\n\r\n" % len(body)
    return out.encode() + body


class Memory:
    """KV cache of one run: whose prompt it is and how far it was generated."""

    def __init__(self, run_id, prompt, made):
        self.run_id = run_id
        self.prompt = prompt
        self.made = made


class Run:
    def __init__(self, run_id, memory, last):
        self.run_id = run_id
        self.memory = memory
        self.last = last


class Engine:
    """One engine address. `crash` and `start` give it new incarnations."""

    def __init__(self, fleet, zone, ip, port, service, slots=12,
                 event_s=0.1, prefill_s=0.1):
        self.fleet = fleet
        self.zone = zone
        self.ip = ip
        self.port = port
        self.service = service
        self.slots = slots
        self.event_s = event_s
        self.prefill_s = prefill_s
        self.starts = 0
        self.server = None
        self.writers = set()
        self.tasks = set()
        self.answers = 0
        self.duplicates = 0
        self.duplicate_window = None  # (from, until), monotonic seconds
        self.unframed_share = 0.0  # of the streams, at most; the long ones
        self.unframed = 0
        self.streams = 0

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self):
        self.starts += 1
        self.id = "i-%s-%d" % (self.zone, self.starts)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = {}
        self.copies = {}
        self.handles = 0
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.beat = asyncio.ensure_future(self._beat())

    async def crash(self):
        """The process is gone: its memory is lost, its connections are reset."""
        self.fleet.note("engine %s (%s) crashes" % (self.id, self.zone))
        self.beat.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        self.runs = {}
        self.copies = {}

    async def _beat(self):
        while True:
            self.sequence += 1
            body = {"service": self.service, "address": self.address,
                    "zone": self.zone, "version": "v1", "slots": self.slots,
                    "state": "ready", "coldLeftMs": 0, "stage": "prefill_decode",
                    "models": [{"name": "m", "version": 1, "adapters": []}],
                    "seqNo": self.sequence, "born": self.born}
            await self.fleet.heartbeat(self.id, body)
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        last_move = None  # (run, bytes) of the last kv-move answer here
        try:
            while True:
                request = await read_message(reader)
                method, target, _ = request.start.split(" ", 2)
                path = target.split("?", 1)[0]
                if method == "POST" and path == "/kv-move":
                    run, out = self._move(request)
                    if last_move and last_move[0] != run and self._duplicates_now():
                        # A second copy of the answer before arrives late, at
                        # the point where the next answer is expected.
                        self.duplicates += 1
                        self.fleet.note("engine %s repeats its answer to the move of %s "
                                        "before its answer to the move of %s"
                                        % (self.id, last_move[0], run))
                        writer.write(last_move[1])
                        await asyncio.sleep(0.003)
                    last_move = (run, out)
                    self.answers += 1
                    writer.write(out)
                elif path == "/kv-events":
                    wait = int(request.get("wait-ms", "0")) / 1000.0
                    await asyncio.sleep(min(wait, 1.0))
                    self.answers += 1
                    body = {"epoch": self.starts, "next": 1, "lost": False, "events": []}
                    writer.write(answer(200, "OK", [("Content-Type", "application/json")],
                                        json.dumps(body).encode()))
                elif path == "/healthz":
                    self.answers += 1
                    writer.write(answer(200, "OK", [("X-Instance-Id", self.id)]))
                else:
                    last_move = None
                    self.answers += 1
                    await self._run(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    def _duplicates_now(self):
        if not self.duplicate_window:
            return False
        begin, end = self.duplicate_window
        # At most 3 in 100 of this engine's answers are spoiled.
        return (begin <= time.monotonic() < end
                and self.duplicates + 1 <= 0.03 * (self.answers + 1))

    def _move(self, request):
        body = json.loads(request.body)
        run = self.runs.get(body["id"])
        target = self.fleet.engine_at(body["target"])
        headers = [("Content-Type", "application/json")]
        if run is None:
            return body["id"], answer(404, "Not Found", headers, b"{}")
        if target is None or target.server is None:
            return body["id"], answer(503, "Service Unavailable", headers, b"{}")
        self.handles += 1
        handle = "h%d" % self.handles
        target.copies["%s/%s" % (self.address, handle)] = Memory(
            run.run_id, run.memory.prompt, run.memory.made)
        self.fleet.note("engine %s copies run %s to %s as %s"
                        % (self.id, run.run_id, target.id, handle))
        return body["id"], answer(200, "OK", headers, json.dumps(
            {"kvHandle": handle, "made": run.memory.made}).encode())

    async def _run(self, request, writer):
        run_id = request.get("x-attempt-id")
        expected = request.get("x-expect-instance")
        headers = [("X-Attempt-Id", run_id), ("X-Response-Seal", "seal.%s" % self.id)]
        if expected and expected != self.id:
            writer.write(answer(421, "Misdirected Request", headers + [("X-Not-Executed", "1")]))
            return
        resume_after = int(request.get("last-event-id", "0") or 0)
        source = request.get("kv-from")
        if source:
            memory = self.copies.pop(source, None)
            if memory is None:
                self.fleet.note("engine %s has no copy %s for %s" % (self.id, source, run_id))
                writer.write(answer(503, "Service Unavailable",
                                    headers + [("X-Not-Executed", "1")]))
                return
            self.fleet.note("engine %s goes on with %s from the memory of %s (%s)"
                            % (self.id, run_id, memory.run_id, source))
            self.fleet.went_on(run_id, memory.run_id)
            memory = Memory(memory.run_id, memory.prompt, resume_after)
        else:
            await asyncio.sleep(self.prefill_s)
            memory = Memory(run_id, request.body.decode(), resume_after)
        last = int(request.get("x-token-count").split(",")[1]) // 9
        run = Run(run_id, memory, last)
        self.runs[run_id] = run
        self.fleet.note("engine %s (%s) runs %s after event %d, backup at %s"
                        % (self.id, self.zone, run_id, resume_after,
                           request.get("x-kv-backup", "none")))
        self.streams += 1
        unframed = (last >= 50 and
                    self.unframed + 1 <= self.unframed_share * self.streams)
        framing = ("Connection", "close") if unframed else ("Transfer-Encoding", "chunked")
        if unframed:
            self.unframed += 1
            self.fleet.note("engine %s answers %s without a length (%d of %d streams)"
                            % (self.id, run_id, self.unframed, self.streams))
        head = "HTTP/1.1 200 OK\r\n"
        for name, value in headers + [("Content-Type", "text/event-stream"),
                                      ("X-Weight-Versions", "1"), framing]:
            head += "%s: %s\r\n" % (name, value)
        writer.write(head.encode() + b"\r\n")
        backup = self.fleet.engine_at(request.get("x-kv-backup"))
        try:
            while memory.made < last:
                await asyncio.sleep(self.event_s)
                memory.made += 1
                event = b"id: %d\ndata: %s %d\n\n" % (memory.made, memory.prompt.encode(),
                                                      memory.made)
                writer.write(event if unframed else
                             b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                if backup is not None and backup.server is not None and \
                        not backup.server.is_serving():
                    backup = None
                if backup is not None:
                    backup.copies["%s/%s" % (backup.address, run_id)] = Memory(
                        run_id, memory.prompt, memory.made)
            if unframed:
                await writer.drain()
                raise ConnectionError("the answer ends with its connection")
            writer.write(b"0\r\n\r\n")
        finally:
            self.runs.pop(run_id, None)


class Fleet:
    """All engines, their heartbeats and the record of what they saw."""

    def __init__(self, deployment, note):
        self.deployment = deployment
        self.note = note
        self.engines = []
        self.foreign = []

    def engine_at(self, address):
        return next((e for e in self.engines if e.address == address), None)

    def went_on(self, run_id, memory_of):
        if run_id != memory_of:
            self.foreign.append((run_id, memory_of))

    async def heartbeat(self, engine_id, body):
        for node in self.deployment.cores():
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(
                    node.ip, self.deployment.ports["control"]), 1.0)
                text = json.dumps(body).encode()
                writer.write(("POST /Instances.Heartbeat/%s HTTP/1.1\r\nHost: control\r\n"
                              "Content-Type: application/json\r\nContent-Length: %d\r\n"
                              "Connection: close\r\n\r\n"
                              % (engine_id, len(text))).encode() + text)
                status = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if b" 200 " in status:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
        return False


async def stream_request(gate, host, path, key, run_id, prompt, tokens, note):
    """One client attempt on a streaming route.

    Returns (status, events, complete): events are (id, data)."""
    reader, writer = await asyncio.open_connection(*gate)
    try:
        return await stream_on(reader, writer, host, path, key, run_id, prompt, tokens, note)
    finally:
        writer.close()


async def stream_on(reader, writer, host, path, key, run_id, prompt, tokens, note):
    """The same on an open connection, which it leaves open."""
    body = prompt.encode()
    writer.write(("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n"
                  "X-Model: m\r\nX-Token-Count: %s\r\nX-Prefix-Hash: %s:%s\r\n"
                  "X-Deadline-Ms: 25000\r\nAuthorization: Bearer %s\r\n"
                  "Content-Length: %d\r\n\r\n"
                  % (path, host, run_id, tokens, run_id, tokens.split(",")[0], key,
                     len(body))).encode() + body)
    status, events, complete = 0, [], False
    try:
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 26)
        status = int(head.split(b" ", 2)[1])
        if b"chunked" not in head:
            note("client %s gets status %d" % (run_id, status))
            return status, events, complete
        buffer = b""
        while True:
            line = await asyncio.wait_for(reader.readline(), 26)
            if not line.endswith(b"\r\n"):
                break  # the connection ended without the last chunk
            size = int(line, 16)
            if size == 0:
                if await reader.readline() != b"\r\n":
                    break
                complete = True
                break
            buffer += (await reader.readexactly(size + 2))[:-2]
            while b"\n\n" in buffer:
                event, buffer = buffer.split(b"\n\n", 1)
                fields = dict(line.split(b": ", 1) for line in event.split(b"\n") if b": " in line)
                events.append((int(fields[b"id"]), fields[b"data"].decode()))
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError, ValueError):
        pass
    note("client %s gets status %d, %d events, %s"
         % (run_id, status, len(events), "complete" if complete else "broken off"))
    return status, events, complete
