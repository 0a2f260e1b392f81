"""Starts the project's programs on loopback addresses, with stand-ins for
engines, clients and the operator that follow the pages.

Every machine has its own address in 127.0.0.0/8 and the same ports, as on the
platform. All times are real.
"""
import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.realpath(__file__))))
FRONT, READY, CONTROL = 8740, 8749, 8748
INTERNAL = (7200, 7215)
METRICS = 9464  # fixed by the programs
BOUNDS = {"contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
          "graceS": 8, "configApplyMs": 2000, "recoverS": 12}


class CannotRun(Exception):
    """The case couldn't be brought about; exit code 2."""


def _bindable(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def free_network(rng):
    """Returns the first three bytes of an unused loopback network."""
    for _ in range(200):
        prefix = f"127.{rng.randrange(10, 250)}.{rng.randrange(1, 250)}"
        if all(_bindable(f"{prefix}.{host}", port) for host in (1, 11, 101)
               for port in (FRONT, READY, CONTROL, METRICS, INTERNAL[0])):
            return prefix
    raise CannotRun("no free loopback network")


class Machine:
    """One machine with one of the two roles of the deploy file."""

    def __init__(self, stage, name, role, zone, ip, seeds):
        self.stage, self.name, self.role = stage, name, role
        self.zone, self.ip, self.seeds = zone, ip, seeds
        self.process = None
        self.folder = os.path.join(stage.folder, name)
        os.makedirs(self.folder)
        self.started_at = None

    def write_settings(self, bootstrap):
        edge = self.role == "gate"
        serves = "edge" if edge else "control_plane"
        lines = [
            f'node = "{self.name}"', f'role = "{self.role}"',
            f'machineClass = "{"edge" if edge else "core"}"',
            f'serves = ["{serves}"]', f'ip = "{self.ip}"',
            f'zone = "{self.zone}"', 'region = "south"',
            f'internalPorts = [{INTERNAL[0]},{INTERNAL[1]}]',
            'seeds = [' + ",".join(f'"{s}:{CONTROL}"' for s in self.seeds) +
            ']',
            f'bootstrap = {str(bootstrap).lower()}',
            f'faultCounted = {str(not edge).lower()}',
            'discovery = "registration"', 'entry = "vip"',
            'heartbeatMs = 1200',
            'contracts = ["base","drain","config","cost","retry","recover",'
            '"engine","stream","tenants"]', 'configMode = "highest"']
        if not edge:
            lines.append(f'dataDir = "{self.folder}/data"')
        lines += ['[zones]', 'a = "south"', 'b = "south"', 'c = "south"',
                  '[listen]']
        if edge:
            lines += [f'front = "{self.ip}:{FRONT}"',
                      f'ready = "{self.ip}:{READY}"']
        else:
            lines.append(f'control = "{self.ip}:{CONTROL}"')
        lines += ['[limits]', 'cpuShare = 0.25' if edge else 'cpuShare = 0.6',
                  'cores = 1', 'memoryMb = 260', 'maxFds = 4100',
                  'linkMbps = 1000.0', f'diskMb = {0 if edge else 128}',
                  '[faultTolerance]', 'machines = 2', 'zones = 0',
                  'regions = 0', '[bounds]', 'seedLagS = 3',
                  'reuseAfterS = 2', 'lossSlackMs = 200', 'downgradeMs = 250',
                  'outerMs = 5000', 'strictRevoke = false', 'revokeMs = 5000',
                  'retryBudgetRatio = 0.8', 'retryWindowS = 10',
                  'budgetSlack = 150', 'passMs = 120', 'reuseWindowS = 10']
        lines += [f'{key} = {value}' for key, value in BOUNDS.items()]
        path = os.path.join(self.folder, "node.toml")
        with open(path + ".new", "w") as out:
            out.write("\n".join(lines) + "\n")
        os.replace(path + ".new", path)
        return path

    def start(self, bootstrap=False):
        path = self.write_settings(bootstrap)
        if self.role != "gate":
            os.makedirs(os.path.join(self.folder, "data"), exist_ok=True)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["BAMBOOGATE_NODE_FILE"] = path
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(
                self.stage.commands[self.role], cwd=REPOSITORY,
                env=environment, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log)
        self.started_at = time.monotonic()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def running(self):
        return self.process is not None and self.process.poll() is None

    def log_lines(self):
        with open(os.path.join(self.folder, "log"), errors="replace") as log:
            return log.readlines()


class Stage:
    """The machines of a small deployment, a record and its verdict."""

    def __init__(self, case_folder, cores=5, gates=2):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.case_folder = case_folder
        self.rng = random.Random()
        self.keep = os.environ.get("KEEP")
        self.folder = tempfile.mkdtemp(prefix="bamboogate-review-")
        self.prefix = free_network(self.rng)
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), "rb") as f:
            roles = tomllib.load(f)["roles"]
        self.commands = {name: role["run"].split()
                         for name, role in roles.items()}
        for command in self.commands.values():
            if not os.path.exists(os.path.join(REPOSITORY, command[0])):
                raise CannotRun(f"{command[0]} isn't built")
        self.began = time.monotonic()
        self.record = open(os.path.join(case_folder, "record.txt"), "w")
        core_ips = [f"{self.prefix}.{11 + i}" for i in range(cores)]
        seeds = core_ips[:3]
        zones = "abc"
        self.cores = [Machine(self, f"core-{i + 1}", "control", zones[i % 3],
                              ip, seeds) for i, ip in enumerate(core_ips)]
        self.gates = [Machine(self, f"edge-{i + 1}", "gate", zones[i % 3],
                              f"{self.prefix}.{101 + i}", seeds)
                      for i in range(gates)]
        self.servers = []

    @property
    def machines(self):
        return self.cores + self.gates

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        line = f"{self.now():8.3f} {text}"
        self.record.write(line + "\n")
        self.record.flush()
        if os.environ.get("VERBOSE"):
            print(line, flush=True)

    def start_all(self):
        for each in self.machines:
            each.start(bootstrap=True)
        self.note(f"started {len(self.cores)} core and {len(self.gates)} edge "
                  f"machines, disruption {'on' if self.trouble else 'off'}")

    def close(self):
        for each in self.machines:
            if each.process and each.process.poll() is None:
                try:
                    each.process.send_signal(signal.SIGCONT)
                except ProcessLookupError:
                    pass
                each.kill()
        self.record.close()
        if not self.keep:
            import shutil
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder)

    # The operator

    async def operator_call(self, method, path, body=None, until=30.0,
                            cores=None):
        """Calls nodes in turn until one gives a clear response."""
        nodes = list(cores or self.cores)
        deadline = time.monotonic() + until
        pause = 0.1
        turn = 0
        while time.monotonic() < deadline:
            node = nodes[turn % len(nodes)]
            turn += 1
            try:
                answer = await asyncio.wait_for(
                    request((node.ip, CONTROL), method, path,
                            {"Content-Type": "application/json"}, body), 1.0)
            except (OSError, asyncio.TimeoutError, BrokenAnswer,
                    asyncio.IncompleteReadError):
                answer = None
            if answer and (answer.status == 200 or
                           answer.status in (400, 409, 412, 413, 422)):
                return answer
            await asyncio.sleep(pause)
            pause = min(pause * 1.5, 0.5)
        return None

    async def replace_config(self, document, until=30.0, cores=None):
        answer = await self.operator_call(
            "POST", "/Config.Replace", json.dumps(document).encode(), until,
            cores)
        status = answer.status if answer else None
        self.note(f"operator: version {document['version']} -> {status}")
        return status

    async def wait_ready(self, gates=None, until=30.0):
        for gate in gates or self.gates:
            deadline = time.monotonic() + until
            while True:
                try:
                    answer = await asyncio.wait_for(
                        request((gate.ip, READY), "GET", "/readyz", {}), 1.0)
                    if answer.status == 200:
                        break
                except (OSError, asyncio.TimeoutError, BrokenAnswer,
                        asyncio.IncompleteReadError):
                    pass
                if time.monotonic() > deadline:
                    raise CannotRun(f"{gate.name} isn't ready")
                await asyncio.sleep(0.05)
        self.note("gates are ready: " +
                  ", ".join(g.name for g in gates or self.gates))


class BrokenAnswer(Exception):
    """The connection ended before a complete answer."""


class Message:
    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body

    @property
    def status(self):
        return int(self.start.split()[1])

    def get(self, name, default=None):
        name = name.lower()
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default


async def read_message(reader, is_response, on_part=None):
    """Reads one request or response; None at a clean end before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as problem:
        if not problem.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    message = Message(lines[0], headers, b"")
    chunked = (message.get("Transfer-Encoding") or "").lower() == "chunked"
    length = message.get("Content-Length")
    parts = []

    async def take(part):
        parts.append(part)
        if on_part:
            await on_part(message, part)

    if chunked:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size:
                await take(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                break
    elif length is not None:
        await take(await reader.readexactly(int(length)))
    elif is_response:
        while part := await reader.read(65536):
            await take(part)
    message.body = b"".join(parts)
    return message


def serialize(start, headers, body):
    lines = [start] + [f"{k}: {v}" for k, v in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


class Connection:
    """A client's connection, which may be kept for further requests."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def request(self, method, path, headers, body=None, on_part=None):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                *self.address, limit=1 << 24)
        fields = {"Host": self.address[0], **headers}
        if body is None and method == "POST":
            body = b""
        self.writer.write(serialize(f"{method} {path} HTTP/1.1", fields, body))
        await self.writer.drain()
        answer = await read_message(self.reader, True, on_part)
        if answer is None:
            raise BrokenAnswer("closed without an answer")
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


async def request(address, method, path, headers, body=None, on_part=None):
    connection = Connection(address)
    try:
        return await connection.request(method, path, headers, body, on_part)
    finally:
        connection.close()


_attempts = 0


def attempt_id():
    global _attempts
    _attempts += 1
    return f"{random.getrandbits(40):010x}{_attempts:06x}"


class Server:
    """A back end: a plain service that announces itself."""

    def __init__(self, stage, name, service, zone, host, port=8080,
                 work_s=0.02):
        self.stage, self.name, self.service = stage, name, service
        self.zone, self.work_s = zone, work_s
        self.address = (f"{stage.prefix}.{host}", port)
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.leaving = False
        self.listener = None
        self.beats = None
        self.runs = []  # (time, attempt id)
        self.version = "v1"
        self.slots = 12

    async def start(self, announce=True):
        self.listener = await asyncio.start_server(
            self._serve, *self.address, limit=1 << 24)
        if announce:
            self.beats = asyncio.create_task(self._beat_forever())

    async def stop(self):
        if self.beats:
            self.beats.cancel()
            self.beats = None
        if self.listener:
            self.listener.close()
            self.listener = None

    def heartbeat(self):
        self.sequence += 1
        return {"service": self.service,
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                "seqNo": self.sequence, "born": self.born}

    async def send(self, path, document, node):
        return await request(
            (node.ip, CONTROL) if hasattr(node, "ip") else node, "POST",
            f"{path}/{self.id}", {"Content-Type": "application/json"},
            json.dumps(document).encode())

    async def announce(self, path="/Instances.Heartbeat", document=None,
                       nodes=None):
        """Calls nodes until one acknowledges within a second."""
        document = document or self.heartbeat()
        nodes = nodes or self.stage.rng.sample(self.stage.cores,
                                               len(self.stage.cores))
        for node in nodes:
            try:
                answer = await asyncio.wait_for(
                    self.send(path, document, node), 1.0)
                if answer.status // 100 == 2:
                    return node
            except (OSError, asyncio.TimeoutError, BrokenAnswer,
                    asyncio.IncompleteReadError):
                pass
        return None

    async def _beat_forever(self):
        while True:
            await self.announce()
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        try:
            while message := await read_message(reader, False):
                if not await self.answer(message, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, message, writer):
        """Answers one request. @return whether the connection is kept"""
        attempt = message.get("X-Attempt-Id")
        if message.start.split()[1] == "/healthz":
            writer.write(serialize("HTTP/1.1 200 OK",
                                   {"X-Instance-Id": self.id}, b""))
            await writer.drain()
            return True
        if message.get("X-Expect-Instance") not in (None, self.id):
            writer.write(serialize(
                "HTTP/1.1 421 Misdirected Request",
                {"X-Attempt-Id": attempt, "X-Not-Executed": "1",
                 **self.statements()}, b""))
            await writer.drain()
            return True
        self.note_run(message, attempt)
        await asyncio.sleep(self.work_s)
        writer.write(serialize(
            "HTTP/1.1 200 OK",
            {"X-Attempt-Id": attempt, "X-Response-Seal": f"seal.{attempt}",
             **self.statements()},
            f"answer to {attempt}".encode()))
        await writer.drain()
        return True

    def statements(self):
        """An engine that leaves says so in all its answers."""
        return {"Server-Leaving": "1"} if self.leaving else {}

    def note_run(self, message, attempt):
        self.runs.append((self.stage.now(), attempt))
        self.stage.note(f"{self.name}: runs {attempt} "
                        f"({message.start.split(' HTTP')[0]})")


class Engine(Server):
    """A model engine: streams events with increasing ids and keeps copies."""

    def __init__(self, stage, name, service, zone, host, step_s=0.05,
                 first_s=0.1, **more):
        super().__init__(stage, name, service, zone, host, **more)
        self.step_s, self.first_s = step_s, first_s
        self.peers = {}  # (ip, port) -> Engine
        self.copies = {}  # name in Kv-From -> events
        self.active = {}  # attempt id -> events made
        self.slots = 64

    def heartbeat(self):
        return {**super().heartbeat(), "stage": "prefill_decode",
                "models": [{"name": "m", "version": 1, "adapters": []}]}

    async def answer(self, message, writer):
        path = message.start.split()[1]
        if path.startswith("/kv-events"):
            wait = min(int(message.get("Wait-Ms", "0")), 1000)
            await asyncio.sleep(wait / 1000)
            writer.write(serialize(
                "HTTP/1.1 200 OK", self.statements(),
                json.dumps({"epoch": 1, "next": 1, "lost": False,
                            "events": []}).encode()))
            await writer.drain()
            return True
        if path == "/kv-move":
            order = json.loads(message.body)
            return await self.move(order, writer)
        if path == "/healthz":
            return await super().answer(message, writer)
        return await self.stream(message, writer)

    async def move(self, order, writer):
        made = self.active.get(order["id"])
        ip, port = order["target"].split(":")
        holder = self.peers.get((ip, int(port)))
        if made is None or holder is None:
            status = "404 Not Found" if made is None else "503 Unavailable"
            writer.write(serialize(f"HTTP/1.1 {status}", {}, b""))
        else:
            handle = f"h-{order['id']}"
            holder.copies[f"{self.address[0]}:{self.address[1]}/{handle}"] = \
                made
            writer.write(serialize(
                "HTTP/1.1 200 OK", {},
                json.dumps({"kvHandle": handle, "made": made}).encode()))
        await writer.drain()
        return True

    async def stream(self, message, writer):
        attempt = message.get("X-Attempt-Id")
        if message.get("X-Expect-Instance") not in (None, self.id):
            writer.write(serialize(
                "HTTP/1.1 421 Misdirected Request",
                {"X-Attempt-Id": attempt, "X-Not-Executed": "1",
                 **self.statements()}, b""))
            await writer.drain()
            return True
        source = message.get("Kv-From")
        if source is not None and source not in self.copies:
            writer.write(serialize(
                "HTTP/1.1 503 Service Unavailable",
                {"X-Attempt-Id": attempt, "X-Not-Executed": "1",
                 **self.statements()}, b""))
            await writer.drain()
            return True
        if source is not None:
            del self.copies[source]
        first = int(message.get("Last-Event-Id", "0")) + 1
        tokens = (message.get("X-Token-Count") or "0,60").split(",")
        last = self.events_of(tokens)
        self.note_run(message, f"{attempt} from event {first}" +
                      (" of a copy" if source else ""))
        backup = message.get("X-Kv-Backup")
        await asyncio.sleep(0.02 if source else self.first_s)
        writer.write(serialize(
            "HTTP/1.1 200 OK",
            {"X-Attempt-Id": attempt, "X-Response-Seal": f"seal.{attempt}",
             "Content-Type": "text/event-stream",
             "Transfer-Encoding": "chunked", **self.statements()}, None))
        try:
            for number in range(first, last + 1):
                event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                self.active[attempt] = number
                if backup:
                    ip, port = backup.split(":")
                    holder = self.peers.get((ip, int(port)))
                    if holder:
                        holder.copies[f"{backup}/{attempt}"] = number
                await asyncio.sleep(self.step_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.active.pop(attempt, None)
        return True

    @staticmethod
    def events_of(tokens):
        return max(1, int(tokens[1]) // 6) if len(tokens) > 1 else 10


def plain_route(name, service, kind, prefix=None, timeout_ms=1500):
    return {"name": name, "host": "h.example", "pathPrefix": prefix or
            f"/{name}/", "routeType": kind, "timeoutMs": timeout_ms,
            "goalMs": 300, "priority": 2, "service": service,
            "maxAttempts": 3, "anonymous": False}


def configuration(version, routes, services, limits=None, keys=("key-1",)):
    return {"version": version, "routes": routes,
            "services": [s if isinstance(s, dict) else
                         {"name": s, "healthPath": "/healthz", "maxConns": 150,
                          "protocol": "h1", "tls": False} for s in services],
            "limits": limits or {"maxHeaderBytes": 16384,
                                 "maxBodyBytes": 4194304,
                                 "headerTimeoutMs": 3000,
                                 "idleTimeoutMs": 15000},
            "tenants": [{"name": "t1", "apiKeys": list(keys)}]}


def stream_route(name, service, priority=2):
    return {"name": name, "host": "h.example", "pathPrefix": f"/{name}/",
            "routeType": "streaming", "timeoutMs": 25000, "goalMs": 10000,
            "priority": priority, "service": service, "maxAttempts": 5,
            "anonymous": False, "sticky": True, "resumable": True,
            "gapGoalMs": 700}


def engine_service(name):
    return {"name": name, "healthPath": "/healthz", "maxConns": 150,
            "protocol": "h1", "tls": False,
            "engine": {"slots": 64, "kvCapacity": 88000,
                       "kvTokenBytes": 163840, "linkMbps": 1100000.0,
                       "moves": True, "backups": True, "stride": 6,
                       "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
                       "handleTtlS": 4.0, "models": [{"name": "m"}]}}


def run_case(case_folder, play, **machines):
    """Plays a case and exits as the issue asks: 1 broken, 0 held, 2 not run."""
    stage = None
    code = 2
    # Ends the processes of the case also if it is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        stage = Stage(case_folder, **machines)

        async def bounded():
            return await asyncio.wait_for(play(stage), 112)

        broken = asyncio.run(bounded())
        code = 1 if broken else 0
        stage.note("RULE BROKEN" if broken else "the rule held")
    except CannotRun as problem:
        if stage:
            stage.note(f"couldn't run: {problem}")
        print(f"couldn't run: {problem}", file=sys.stderr)
    except Exception as problem:  # noqa: BLE001 - a case never hangs
        if stage:
            stage.note(f"couldn't run: {problem!r}")
        print(f"couldn't run: {problem!r}", file=sys.stderr)
    finally:
        if stage:
            stage.close()
    sys.exit(code)
