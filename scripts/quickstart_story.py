"""Runs an end-to-end scenario on a loopback deployment and prints its figures.

The scenario: three control replicas, three gates, two engines and a booking
service start; an operator applies the example declarations and activates a
preset; a caller streams a long generation whose engine is killed in
mid-stream; another caller makes a booking and resends it.
"""
import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
CLIENT_KEY = "example-key-ben-achour-treks"
OPERATOR_KEY = "example-key-muletiers-" + json.loads(
    (ROOT / "examples/muletiers/operators.json").read_text()
)["operators"][0]["id"]
PROMPT = "Manifest for the trek to Ksar Ghilane, 14 mules. tokens=400"
DOMAINS = ("tataouine", "medenine", "douz")


def free_ports(count):
    """Returns distinct ports that are free during the call.

    They are closed before the return, so another process may still take one.
    """
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]


class Deployment:
    """The processes of the scenario. stop_all ends all of them."""

    def __init__(self, bin_folder, folder):
        self.bin = pathlib.Path(bin_folder)
        self.folder = folder
        self.processes = {}
        ports = [f"127.0.0.1:{port}" for port in free_ports(15)]
        self.links = ports[0:3]
        self.operators = ports[3:6]
        self.gate_links = ports[6:9]
        self.gates = ports[9:12]
        self.engines = ports[12:14]
        self.service = ports[14]
        for name, text in (("secret", "quickstart-shared-secret"),
                           ("operator", OPERATOR_KEY)):
            path = folder / name
            path.write_text(text)
            path.chmod(0o600)

    def start(self, name, program, *flags):
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            [self.bin / program, *flags], stdout=log, stderr=log)

    def start_all(self):
        for i in range(3):
            peers = ",".join(f"c{j}={self.links[j]}" for j in range(3)
                             if j != i)
            self.start(f"c{i}", "bamboogate-control", "--node-id", f"c{i}",
                       "--failure-domain", DOMAINS[i],
                       "--link-address", self.links[i],
                       "--operator-address", self.operators[i],
                       "--peers", peers,
                       "--data-folder", str(self.folder / f"data{i}"),
                       "--secret-file", str(self.folder / "secret"),
                       "--bootstrap-operator-key-file",
                       str(self.folder / "operator"))
        controls = ",".join(f"c{i}={self.links[i]}" for i in range(3))
        for i in range(3):
            peers = ",".join(f"g{j}={self.gate_links[j]}" for j in range(3)
                             if j != i)
            self.start(f"g{i}", "bamboogate-gate", "--node-id", f"g{i}",
                       "--failure-domain", DOMAINS[i],
                       "--link-address", self.gate_links[i],
                       "--http-address", self.gates[i], "--gates", peers,
                       "--control-replicas", controls,
                       "--secret-file", str(self.folder / "secret"))
        announce = ",".join(self.gates)
        for i in range(2):
            self.start(f"e{i}", "fake_engine", "--address", self.engines[i],
                       "--announce", announce, "--id", f"engine-{i}",
                       "--failure-domain", DOMAINS[i], "--models", "draft",
                       "--slots", "16", "--token-interval-ms", "5")
        self.start("s0", "fake_service", "--address", self.service,
                   "--announce", announce, "--id", "booking-0",
                   "--service", "booking", "--failure-domain", DOMAINS[2])

    def stop_all(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        end = time.monotonic() + 5
        for process in self.processes.values():
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def ctl(self, *arguments):
        """Runs bamboogatectl and returns the completed process."""
        environment = {**os.environ, "BAMBOOGATE_OPERATOR_KEY": OPERATOR_KEY}
        return subprocess.run(
            [self.bin / "bamboogatectl", "--control", ",".join(
                f"c{i}={self.operators[i]}" for i in range(3)),
             "--gate-addresses", ",".join(self.gates), *arguments],
            env=environment, capture_output=True, text=True, timeout=30)


def wait_for(description, check, limit=15.0):
    """Polls check until it returns true; exits after limit seconds."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if check():
                return
        time.sleep(0.05)
    raise SystemExit(f"quickstart: timed out after {limit:.0f} s waiting for "
                     f"{description}")


def request(address, method, path, body=None, headers=None, timeout=30):
    connection = http.client.HTTPConnection(address, timeout=timeout)
    connection.request(method, path, body, headers or {})
    return connection, connection.getresponse()


def bearer(key):
    return {"Authorization": f"Bearer {key}"}


class StreamResult:
    """The generation as received by its caller."""

    def __init__(self):
        self.indices = []
        self.text = []
        self.arrivals = []
        self.finish = None
        self.complete = False


def stream_generation(deployment, on_token):
    """Streams the generation and calls on_token after each token."""
    result = StreamResult()
    start = time.monotonic()
    connection, response = request(
        deployment.gates[0], "POST", "/v1/completions",
        json.dumps({"model": "draft", "prompt": PROMPT, "stream": True,
                    "max_tokens": 4096, "service_class": "trek-manifest"}),
        {**bearer(CLIENT_KEY), "Content-Type": "application/json"})
    if response.status != 200:
        raise SystemExit("quickstart: the generation was refused: "
                         f"{response.status} {response.read()}")
    index = None
    for line in response:
        line = line.decode().strip()
        if line.startswith("id: "):
            index = int(line[4:])
        elif line == "data: [DONE]":
            result.complete = True
        elif line.startswith("data: "):
            document = json.loads(line[6:])
            if index is None:
                result.finish = document
                continue
            result.indices.append(index)
            result.text.append(document["choices"][0]["text"])
            result.arrivals.append(time.monotonic() - start)
            index = None
            on_token(result)
    connection.close()
    return result


def kill_serving_engine(deployment, state):
    """Returns a callback that kills the engine that runs the generation.

    After 100 tokens it kills the engine that reports a running request.
    """
    def on_token(result):
        if state or len(result.indices) < 100:
            return
        for i in range(2):
            _, answer = request(deployment.engines[i], "GET", "/healthz",
                                timeout=2)
            if json.loads(answer.read()).get("running", 0) > 0:
                deployment.processes[f"e{i}"].kill()
                state["at"] = result.arrivals[-1]
                state["engine"] = f"engine-{i}"
                return
    return on_token


def booking(deployment, gate):
    connection, response = request(
        deployment.gates[gate], "POST", "/v1/services/booking/strings/4",
        "one mule string", {**bearer(CLIENT_KEY),
                            "Idempotency-Key": "quickstart-1"})
    answer = (response.status, response.read())
    connection.close()
    return answer


def main():
    checks = []

    def check(name, passed):
        checks.append(passed)
        print(f"{'ok  ' if passed else 'FAIL'} {name}")

    folder = pathlib.Path(tempfile.mkdtemp(prefix="bamboogate-quickstart-"))
    deployment = Deployment(sys.argv[1], folder)
    try:
        deployment.start_all()
        wait_for("applying the declarations", lambda: deployment.ctl(
            "apply", str(ROOT / "examples/muletiers")).returncode == 0)
        activated = deployment.ctl("preset", "use", "peak", "--wait")
        check("preset 'peak' is in force at every gate",
              activated.returncode == 0)
        print(activated.stdout.strip())
        for gate in deployment.gates:
            wait_for(f"readiness of {gate}", lambda g=gate: request(
                g, "GET", "/readyz", timeout=2)[1].status == 200)
        time.sleep(1.5)  # upstreams announce themselves every second

        killed = {}
        result = stream_generation(deployment,
                                   kill_serving_engine(deployment, killed))
        gaps = [b - a for a, b in zip(result.arrivals, result.arrivals[1:])]
        expected = list(range(len(result.indices)))
        print("answer:", "".join(result.text[:8]), "...")
        check("the engine was killed in mid-stream", bool(killed))
        check("the answer ended whole", result.complete)
        check("no token is missing or repeated", result.indices == expected)
        check("the end states the same count", bool(result.finish) and
              result.finish["integrity"]["tokens"] == len(result.indices))

        first = booking(deployment, 0)
        second = booking(deployment, 2)
        counts = json.loads(request(deployment.service, "GET",
                                    "/counts")[1].read())
        check("the booking was answered", first[0] == 200)
        check("the resend got the first answer", second == first)
        runs = counts["runs"].get("one mule string", 0)
        check("the booking ran once", runs == 1)

        for command in ("status", "burn"):
            output = deployment.ctl(command)
            check(f"bamboogatectl {command}", output.returncode == 0)
            print(output.stdout or output.stderr)

        print(f"first_token_seconds {result.arrivals[0]:.3f} s")
        print(f"pause_at_kill_seconds {max(gaps):.3f} s")
        print(f"tokens_received {len(result.indices)} tokens")
        missing = len(set(range(400)) - set(result.indices))
        print(f"tokens_missing {missing} tokens")
        repeated = len(result.indices) - len(set(result.indices))
        print(f"tokens_repeated {repeated} tokens")
        print(f"booking_runs {runs} runs")
    finally:
        deployment.stop_all()
    print(f"logs: {folder}")
    return 0 if checks and all(checks) else 1


if __name__ == "__main__":
    sys.exit(main())
