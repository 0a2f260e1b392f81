"""Starts a small deployment of the platform programs on loopback addresses.

The programs are those of deploy/system.toml (target/bin); their settings have
the fields of DEPLOY.md. Everything is ended, by process id, in `stop`.
"""

import json
import os
import random
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ("ambato", "latacunga", "riobamba")


class CannotRun(Exception):
    """The deployment could not be brought up; says nothing about the rule."""


class Node:
    def __init__(self, name, program, ip, zone, first_start):
        self.name = name
        self.program = program
        self.ip = ip
        self.zone = zone
        self.first_start = first_start
        self.process = None
        self.log = None


class Deployment:
    """`cores` control machines and `gates` gates, one loopback IP each."""

    def __init__(self, record, cores=3, gates=1, tolerated=1, memory_mb=256):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="bamboogate-review-")
        self.prefix = "127.%d.%d" % (random.randint(20, 220), random.randint(1, 250))
        self.tolerated = tolerated
        self.memory_mb = memory_mb
        self.ports = {"control": 8748, "front": 8740, "ready": 8749}
        self.nodes = []
        for i in range(cores):
            self.nodes.append(Node("core-%d" % (i + 1), "platform-control",
                                   "%s.%d" % (self.prefix, 10 + i),
                                   ZONES[i % len(ZONES)], True))
        for i in range(gates):
            self.nodes.append(Node("edge-%d" % (i + 1), "platform-gate",
                                   "%s.%d" % (self.prefix, 30 + i),
                                   ZONES[i % len(ZONES)], True))

    def cores(self):
        return [n for n in self.nodes if n.program == "platform-control"]

    def gates(self):
        return [n for n in self.nodes if n.program == "platform-gate"]

    def node(self, name):
        return next(n for n in self.nodes if n.name == name)

    def control_url(self, node):
        return "http://%s:%d" % (node.ip, self.ports["control"])

    def _settings(self, node):
        seeds = ['"%s:%d"' % (n.ip, self.ports["control"]) for n in self.cores()[:3]]
        core = node.program == "platform-control"
        lines = [
            'node = "%s"' % node.name,
            'role = "%s"' % ("control" if core else "gate"),
            'machineClass = "%s"' % ("core" if core else "edge"),
            'serves = ["%s"]' % ("control_plane" if core else "edge"),
            'ip = "%s"' % node.ip,
            'zone = "%s"' % node.zone,
            'region = "sierra-centro"',
            "internalPorts = [7200,7215]",
            "seeds = [%s]" % ",".join(seeds),
            "bootstrap = %s" % ("true" if node.first_start else "false"),
            "faultCounted = %s" % ("true" if core else "false"),
            'discovery = "registration"',
            'entry = "vip"',
            "heartbeatMs = 1200",
            'configMode = "highest"',
        ]
        if core:
            lines.append('dataDir = "%s"' % os.path.join(self.folder, node.name, "data"))
        lines += ["[zones]"] + ['%s = "sierra-centro"' % z for z in ZONES]
        lines.append("[listen]")
        if core:
            lines.append('control = "%s:%d"' % (node.ip, self.ports["control"]))
        else:
            lines.append('front = "%s:%d"' % (node.ip, self.ports["front"]))
            lines.append('ready = "%s:%d"' % (node.ip, self.ports["ready"]))
        lines += ["[limits]", "cpuShare = %s" % (0.6 if core else 0.25), "cores = 1",
                  "memoryMb = %d" % (self.memory_mb if core else 110), "maxFds = 4096",
                  "linkMbps = 1000.0", "diskMb = %d" % (128 if core else 0),
                  "[faultTolerance]", "machines = %d" % self.tolerated,
                  "zones = 0", "regions = 0",
                  "[bounds]", "contactMs = 3000", "ackMs = 4000", "catchUpS = 4",
                  "drainMs = 2000", "graceS = 8", "lossSlackMs = 200",
                  "configApplyMs = 2000", "downgradeMs = 250", "outerMs = 5000",
                  "retryBudgetRatio = 0.8", "retryWindowS = 10", "budgetSlack = 150",
                  "recoverS = 12", "passMs = 120", "reuseWindowS = 8.6"]
        return "\n".join(lines) + "\n"

    def start_node(self, node):
        folder = os.path.join(self.folder, node.name)
        os.makedirs(os.path.join(folder, "data"), exist_ok=True)
        path = os.path.join(folder, "node.toml")
        with open(path, "w") as out:
            out.write(self._settings(node))
        program = os.path.join(ROOT, "target", "bin", node.program)
        if not os.path.exists(program):
            raise CannotRun("no program %s; run the build of the deploy file" % program)
        node.log = open(os.path.join(folder, "log"), "ab")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["BAMBOOGATE_NODE_FILE"] = path
        node.process = subprocess.Popen([program], cwd=ROOT, env=environment,
                                        stdout=node.log, stderr=subprocess.STDOUT)
        node.first_start = False

    def start(self):
        for node in self.nodes:
            self.start_node(node)

    def exited(self):
        """Nodes whose process has ended without a signal from this script."""
        return [n for n in self.nodes if n.process and n.process.poll() is not None]

    def send(self, node, number):
        node.process.send_signal(number)

    def call(self, method, url, body=None, timeout=1.0):
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(url, data=data, method=method,
                                         headers={"Content-Type": "application/json"})
        try:
            with urllib.request.urlopen(request, timeout=timeout) as answer:
                return answer.status, answer.read()
        except urllib.error.HTTPError as problem:
            return problem.code, problem.read()
        except OSError as problem:
            return 0, str(problem).encode()

    def configure(self, document, within_s=20.0):
        """Sends a configuration until a core machine acknowledges it."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            for node in self.cores():
                status, _ = self.call("POST", self.control_url(node) + "/Config.Replace", document)
                if status == 200:
                    return node
            time.sleep(0.1)
        raise CannotRun("no core machine acknowledged the configuration")

    def await_ready(self, within_s=20.0):
        deadline = time.monotonic() + within_s
        for node in self.gates():
            url = "http://%s:%d/readyz" % (node.ip, self.ports["ready"])
            while self.call("GET", url)[0] != 200:
                if time.monotonic() > deadline:
                    raise CannotRun("%s is not ready" % node.name)
                time.sleep(0.05)

    def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes:
            if node.process:
                node.process.wait()
            if node.log:
                node.log.close()
        if os.environ.get("KEEP"):
            print("logs are kept in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
