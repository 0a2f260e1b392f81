"""A small deployment of the project's own programs on loopback addresses, with
stand-ins for the platform, the operator, engines and clients (asyncio)."""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
FRONT, READY, CONTROL, INTERNAL, METRICS = 8740, 8749, 8748, 7200, 9464
ZONES = ["tataouine", "medenine", "douz"]


def free_subnet():
    """Returns A.B.C of loopback addresses on which all ports are free."""
    for _ in range(200):
        subnet = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for port in (FRONT, READY, CONTROL, INTERNAL, METRICS):
                with socket.socket() as probe:
                    probe.bind((f"{subnet}.1", port))
            return subnet
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


class Record:
    """What was sent, answered and run; goes to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


class Process:
    def __init__(self, name, program, settings, log):
        self.name, self.program, self.settings, self.log = (
            name, program, settings, log)
        self.child = None

    def start(self):
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
               if key in os.environ}
        env["BAMBOOGATE_NODE_FILE"] = self.settings
        out = open(self.log, "ab")
        self.child = subprocess.Popen(
            [os.path.join(ROOT, self.program)], cwd=ROOT, env=env, stdout=out,
            stderr=out, stdin=subprocess.DEVNULL)
        out.close()

    def alive(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.alive():
            self.child.send_signal(number)

    def kill(self):
        if self.child is not None:
            if self.child.poll() is None:
                self.child.send_signal(signal.SIGCONT)
                self.child.kill()
            self.child.wait()

    def memory_mb(self):
        """Resident memory now and at its peak, in MB."""
        out = {}
        with open(f"/proc/{self.child.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith(("VmRSS:", "VmHWM:")):
                    out[line[:5]] = int(line.split()[1]) / 1024
        return out["VmRSS"], out["VmHWM"]


class Deployment:
    """Core machines and edge machines with the settings of the pages."""

    def __init__(self, record, core=5, edge=2, edge_memory=260,
                 core_memory=256):
        self.record = record
        self.subnet = free_subnet()
        self.folder = tempfile.mkdtemp(prefix="bamboogate-review-")
        self.core, self.edge = [], []
        core_ips = [f"{self.subnet}.{1 + i}" for i in range(core)]
        seeds = [f"{ip}:{CONTROL}" for ip in core_ips[:3]]
        tolerated = (core - 1) // 2
        for i, ip in enumerate(core_ips):
            self.core.append(self.make(
                f"core-{i}", "target/bin/platform-control", "core", ip, i,
                core_memory, seeds, tolerated))
        for i in range(edge):
            self.edge.append(self.make(
                f"edge-{i}", "target/bin/platform-gate", "edge",
                f"{self.subnet}.{50 + i}", i, edge_memory, seeds, tolerated))
        self.core_ips = core_ips
        self.edge_ips = [f"{self.subnet}.{50 + i}" for i in range(edge)]

    def make(self, name, program, kind, ip, index, memory, seeds, tolerated,
             bootstrap=True):
        is_core = kind == "core"
        data = os.path.join(self.folder, name, "data")
        os.makedirs(data, exist_ok=True)
        serves = "control_plane" if is_core else "edge"
        listen = (f'control = "{ip}:{CONTROL}"' if is_core else
                  f'front = "{ip}:{FRONT}"\nready = "{ip}:{READY}"')
        text = f"""node = "{name}"
role = "{'control' if is_core else 'gate'}"
machineClass = "{kind}"
serves = ["{serves}"]
ip = "{ip}"
zone = "{ZONES[index % 3]}"
region = "south"
internalPorts = [{INTERNAL},{INTERNAL + 15}]
seeds = {json.dumps(seeds)}
bootstrap = {str(bootstrap).lower()}
faultCounted = {str(is_core).lower()}
discovery = "registration"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]
configMode = "highest"
{f'dataDir = "{data}"' if is_core else ''}
[zones]
tataouine = "south"
medenine = "south"
douz = "south"
[listen]
{listen}
[limits]
cpuShare = {0.6 if is_core else 0.25}
cores = 1
memoryMb = {memory}
maxFds = 4100
linkMbps = 1000.0
diskMb = {128 if is_core else 0}
[faultTolerance]
machines = {tolerated}
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeMs = 250
outerMs = 5000
strictRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.8
retryWindowS = 10
budgetSlack = 150
recoverS = 12
passMs = 120
reuseWindowS = 10
"""
        path = os.path.join(self.folder, f"{name}.toml")
        with open(path, "w", encoding="ascii") as file:
            file.write(text)
        return Process(name, program, path,
                       os.path.join(self.folder, f"{name}.log"))

    def start(self):
        for each in self.core + self.edge:
            each.start()
            self.record(f"started {each.name} pid {each.child.pid}")

    def end_first_start(self):
        """Later starts find `bootstrap = false`."""
        for each in self.core + self.edge:
            with open(each.settings, encoding="ascii") as file:
                text = file.read()
            with open(each.settings, "w", encoding="ascii") as file:
                file.write(text.replace("bootstrap = true",
                                        "bootstrap = false"))

    def stop(self):
        for each in self.core + self.edge:
            each.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_ready(self, limit=15.0):
        end = time.monotonic() + limit
        for ip in self.edge_ips:
            while True:
                answer = await call(ip, READY, "GET", "/readyz", timeout=1.0)
                if answer and answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"{ip} did not become ready")
                await asyncio.sleep(0.1)


class CannotRun(Exception):
    pass


class Answer:
    def __init__(self, status, headers, body, complete=True):
        self.status, self.headers, self.body, self.complete = (
            status, headers, body, complete)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def find(headers, name):
    for key, value in headers:
        if key == name.lower():
            return value
    return None


async def read_body(reader, headers):
    """Returns the body and whether it is complete."""
    if (find(headers, "transfer-encoding") or "").lower() == "chunked":
        out = b""
        try:
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                if size == 0:
                    await reader.readline()
                    return out, True
                out += await reader.readexactly(size)
                await reader.readexactly(2)
        except (ValueError, asyncio.IncompleteReadError, ConnectionError):
            return out, False
    length = find(headers, "content-length")
    if length is not None:
        try:
            return await reader.readexactly(int(length)), True
        except asyncio.IncompleteReadError as cut:
            return cut.partial, False
    return b"", True


async def call(ip, port, method, path, headers=(), body=b"", timeout=5.0):
    """One request on a new connection. Returns None if there is no answer."""
    writer = None

    async def run():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, port,
                                                       limit=1 << 20)
        head = f"{method} {path} HTTP/1.1\r\n"
        names = [name.lower() for name, _ in headers]
        if "host" not in names:
            head += f"Host: {ip}:{port}\r\n"
        for name, value in headers:
            head += f"{name}: {value}\r\n"
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode("latin-1") + b"\r\n" + body)
        await writer.drain()
        line, fields = await read_head(reader)
        content, complete = await read_body(reader, fields)
        return Answer(int(line.split()[1]), fields, content, complete)

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
            ValueError, IndexError, asyncio.LimitOverrunError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def send_configuration(deployment, document, limit=15.0):
    body = json.dumps(document).encode()
    end = time.monotonic() + limit
    number = 0
    while time.monotonic() < end:
        ip = deployment.core_ips[number % len(deployment.core_ips)]
        number += 1
        answer = await call(ip, CONTROL, "POST", "/Config.Replace",
                            [("Content-Type", "application/json")], body,
                            timeout=2.0)
        if answer and answer.status == 200:
            deployment.record(
                f"configuration {document['version']} acknowledged by {ip}")
            return
        await asyncio.sleep(0.1)
    raise CannotRun("the configuration was not acknowledged")


class Engine:
    """A server that announces itself and answers by `handle(engine, method,
    target, headers, body, reader, writer)`, which returns False to close."""

    def __init__(self, deployment, service, host, port, handle, slots=64,
                 zone="tataouine", version="v1"):
        self.deployment, self.service, self.host, self.port = (
            deployment, service, host, port)
        self.handle, self.slots, self.zone, self.version = (
            handle, slots, zone, version)
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = None
        self.beats = None
        self.connections = set()

    async def start(self):
        """Listens, unless another process does (`handle` is None)."""
        if self.handle:
            self.server = await asyncio.start_server(
                self.serve, self.host, self.port, limit=8 << 20)
        self.beats = asyncio.ensure_future(self.beat_on())

    def heartbeat(self, state="ready"):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": f"{self.host}:{self.port}",
            "zone": self.zone, "version": self.version, "slots": self.slots,
            "state": state, "coldLeftMs": 0, "stage": "prefill_decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "seqNo": self.sequence, "born": self.born}).encode()

    async def beat(self, state="ready"):
        """Sends a heartbeat to one node after the other until it is
        acknowledged."""
        for ip in random.sample(self.deployment.core_ips,
                                len(self.deployment.core_ips)):
            answer = await call(ip, CONTROL, "POST",
                                f"/Instances.Heartbeat/{self.id}",
                                [("Content-Type", "application/json")],
                                self.heartbeat(state), timeout=1.0)
            if answer and 200 <= answer.status < 300:
                return True
        return False

    async def beat_on(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body, complete = await read_body(reader, headers)
                if not complete:
                    break
                method, target, _ = line.split(" ", 2)
                if target.startswith("/kv-events"):
                    # Waits as long as the caller asked, without events.
                    wait = float(find(headers, "wait-ms") or 0) / 1000
                    await asyncio.sleep(wait)
                    text = json.dumps({"epoch": 1, "next": 1, "lost": False,
                                       "events": []}).encode()
                    writer.write(response(200, text, [
                        ("Content-Type", "application/json")]))
                    await writer.drain()
                    continue
                expected = find(headers, "x-expect-instance")
                if expected and expected != self.id:
                    writer.write(response(421, b"", [
                        ("X-Attempt-Id", find(headers, "x-attempt-id") or ""),
                        ("X-Not-Executed", "1")]))
                    await writer.drain()
                    continue
                if not await self.handle(self, method, target, headers, body,
                                         reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop(self):
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.close()


HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"


def configuration(version, streaming_service="scribe",
                  plain_service="ledger"):
    """A configuration like that of a small deployment: one route of each
    kind."""
    def route(name, kind, service, timeout, goal, attempts, **more):
        return {"name": f"r-{name}", "host": HOST, "pathPrefix": f"/{name}/",
                "routeType": kind, "timeoutMs": timeout, "goalMs": goal,
                "priority": 2, "service": service, "maxAttempts": attempts,
                "anonymous": False, **more}

    return {
        "version": version,
        "routes": [
            route("brief", "streaming", streaming_service, 25000, 10000, 5,
                  sticky=True, resumable=True, gapGoalMs=700),
            route("booking", "non_idempotent", plain_service, 1000, 150, 1),
            route("stock", "idempotent", plain_service, 1000, 150, 3)],
        "services": [
            {"name": streaming_service, "healthPath": "/healthz",
             "maxConns": 360, "protocol": "h1", "tls": False,
             "engine": {"slots": 64, "kvCapacity": 88000,
                        "kvTokenBytes": 163840, "linkMbps": 1100000.0,
                        "moves": True, "backups": True, "stride": 6,
                        "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
                        "handleTtlS": 4.0, "models": [{"name": "m"}]}},
            {"name": plain_service, "healthPath": "/healthz", "maxConns": 100,
             "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "huka270", "apiKeys": [KEY], "priority": 1}]}


def client_headers(attempt, deadline_ms, tokens=None, parts=None):
    """The headers of a client's request; the last two of a stream."""
    out = [("Host", HOST), ("X-Attempt-Id", attempt),
           ("X-Deadline-Ms", str(deadline_ms)),
           ("Authorization", f"Bearer {KEY}")]
    if tokens:
        out += [("X-Model", "m"), ("X-Token-Count", tokens),
                ("X-Prefix-Hash", parts)]
    return out


async def answer_plain(engine, method, target, headers, body, reader, writer):
    """A sound server: runs each request for 30 ms."""
    await asyncio.sleep(0.03)
    attempt = find(headers, "x-attempt-id") or ""
    writer.write(response(200, b"booked " + attempt.encode(), [
        ("X-Attempt-Id", attempt), ("X-Response-Seal", f"3e1b.{attempt}")]))
    await writer.drain()
    return True


async def answer_stream(engine, method, target, headers, body, reader,
                        writer, events=20, pause=0.05):
    """A sound engine: a stream of some events."""
    attempt = find(headers, "x-attempt-id") or ""
    first = int(find(headers, "last-event-id") or 0) + 1
    writer.write((f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
                  f"X-Response-Seal: 3e1b.{attempt}\r\n"
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n").encode())
    for number in range(first, events + 1):
        text = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
        await writer.drain()
        await asyncio.sleep(pause)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


REASONS = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}


def response(status, body, headers):
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


def run_case(folder, case):
    """Runs `case(record, trouble)`, which returns True if the rule held."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")
    for program in ("platform-gate", "platform-control"):
        if not os.access(os.path.join(ROOT, "target/bin", program), os.X_OK):
            record(f"target/bin/{program} is missing")
            sys.exit(2)
    # The end of asyncio.run cancels the case, which ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = asyncio.run(asyncio.wait_for(case(record, trouble), 112))
    except (CannotRun, asyncio.TimeoutError) as problem:
        record(f"could not run: {problem!r}")
        print(f"could not run: {problem!r}")
        sys.exit(2)
    record("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
