"""Runs processes of two builds together and checks that they work with each
other.

usage: mixed_builds.py OLD_BIN NEW_BIN

Every scenario runs in both directions: data of the old build read by the new
one and the reverse, replicas of both builds under changes of leader, a rolling
replacement under callers, a generation that is handed to a gate of the other
build, and the operators' command line against the other build.
"""
import contextlib
import json
import pathlib
import signal
import sys
import tempfile
import threading
import time

from quickstart_story import (CLIENT_KEY, ROOT, Deployment, bearer, booking,
                              request, wait_for)

REPLICAS = ("c0", "c1", "c2")
GATES = ("g0", "g1", "g2")
ALTERNATING_PRESETS = ("ordinary", "peak")
STREAM_LIMIT_S = 60  # a generation of 600 tokens takes about 3 s


class MixedDeployment(Deployment):
    """A deployment whose processes come from one of two builds each."""

    def __init__(self, builds, folder, build_of):
        super().__init__(builds["old"], folder)
        self.builds = {name: pathlib.Path(path)
                       for name, path in builds.items()}
        self.build_of = build_of
        self.commands = {}

    def start(self, name, program, *flags):
        if program == "bamboogate-control" and "--snapshot-interval" not in \
                flags:
            # Short enough that a snapshot is written within each scenario.
            flags = (*flags, "--snapshot-interval", "10")
        self.commands[name] = (program, flags)
        self.bin = self.builds[self.build_of.get(name, "old")]
        super().start(name, program, *flags)

    def stop(self, name):
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        process.wait(30)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def replace(self, name, build):
        """Stops a process as planned and starts it again from `build`."""
        self.stop(name)
        self.build_of[name] = build
        program, flags = self.commands[name]
        self.start(name, program, *flags)

    def ctl_of(self, build, *arguments):
        self.bin = self.builds[build]
        return self.ctl("--timeout", "20s", *arguments)

    def ctl_json(self, build, *arguments):
        shown = self.ctl_of(build, "--output", "json", *arguments)
        if shown.returncode != 0:
            raise RuntimeError(f"{arguments}: {shown.stderr}")
        return json.loads(shown.stdout)

    def wait_gates(self):
        for gate in self.gates:
            wait_for(f"readiness of {gate}", lambda g=gate: request(
                g, "GET", "/readyz", timeout=2)[1].status == 200, 30)

    def boot(self, build):
        """Starts all processes and puts the first preset in force."""
        self.start_all()
        wait_for("applying the declarations", lambda: self.ctl_of(
            build, "apply", str(ROOT / "examples/muletiers")).returncode == 0)
        wait_for("the first preset", lambda: self.ctl_of(
            build, "preset", "use", "peak", "--wait").returncode == 0)
        self.wait_gates()
        time.sleep(1.5)  # the engines' first announcements

    def leader(self, build):
        return self.ctl_json(build, "status").get("leader")


class Caller:
    """One caller of a generation who returns to another gate after a loss."""

    def __init__(self, deployment, prompt, gate=0):
        self.deployment = deployment
        self.prompt = prompt
        self.gate = gate
        self.indices = []
        self.text = []
        self.epoch = None
        self.id = None
        self.finish = None
        self.whole = False
        self.returns = 0
        self.refusals = []

    def read(self, response):
        index = None
        for line in response:
            line = line.decode().strip()
            if line.startswith("id: "):
                index = int(line[4:])
            elif line.startswith(": epoch "):
                self.epoch = line[8:]
            elif line == "data: [DONE]":
                self.whole = True
            elif line.startswith("data: "):
                document = json.loads(line[6:])
                if index is None:
                    self.finish = document
                    continue
                self.indices.append(index)
                self.text.append(document["choices"][0]["text"])
                index = None

    def attempt(self):
        address = self.deployment.gates[self.gate % 3]
        if self.id is None:
            connection, response = request(
                address, "POST", "/v1/completions", json.dumps(
                    {"model": "draft", "prompt": self.prompt, "stream": True,
                     "max_tokens": 4096, "service_class": "trek-manifest"}),
                {**bearer(CLIENT_KEY), "Content-Type": "application/json"})
        else:
            headers = bearer(CLIENT_KEY)
            if self.indices:
                headers["Last-Event-ID"] = str(self.indices[-1])
            if self.epoch:
                headers["X-Generation-Epoch"] = self.epoch
            connection, response = request(
                address, "GET", f"/v1/completions/{self.id}", None, headers)
        with contextlib.closing(connection):
            if response.status == 200:
                self.id = response.getheader("X-Request-Id", self.id)
                self.read(response)
            else:
                self.refusals.append((response.status, response.read()))

    def run(self):
        end = time.monotonic() + STREAM_LIMIT_S
        while not self.whole and time.monotonic() < end:
            try:
                self.attempt()
            except OSError as problem:
                self.refusals.append(("connection", str(problem)))
            except Exception as problem:  # http.client's own errors
                self.refusals.append(("protocol", str(problem)))
            if not self.whole:
                self.gate += 1
                self.returns += 1
                time.sleep(0.1)
        return self

    def complete(self):
        """Whether the answer is whole, without missing or repeated tokens."""
        return (self.whole and self.finish is not None and
                self.indices == list(range(len(self.indices))) and
                self.finish["integrity"]["tokens"] == len(self.indices))


class Checks:
    def __init__(self):
        self.passed = 0
        self.failed = 0

    def __call__(self, name, held, detail=""):
        self.passed += bool(held)
        self.failed += not held
        print(f"{'ok  ' if held else 'FAIL'} {name}"
              f"{'' if held else f': {detail}'}", flush=True)


@contextlib.contextmanager
def deployment_of(builds, build_of):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="bamboogate-mixed-"))
    deployment = MixedDeployment(builds, folder, build_of)
    try:
        yield deployment
    except BaseException:
        print(f"logs: {folder}", flush=True)
        raise
    finally:
        for process in deployment.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        deployment.stop_all()


def all_of(build):
    names = REPLICAS + GATES + ("e0", "e1", "s0")
    return {name: build for name in names}


def other(build):
    return "new" if build == "old" else "old"


def stored_data(builds, writer, check):
    """Logs, snapshots and answers that one build wrote, read by the other."""
    reader = other(writer)
    with deployment_of(builds, all_of(writer)) as system:
        system.boot(writer)
        for i in range(25):
            system.ctl_of(writer, "preset", "use",
                          ALTERNATING_PRESETS[i % 2], "--wait")
        first = booking(system, 0)
        before = system.ctl_json(writer, "status")
        declared = system.ctl_json(writer, "show")
        stored = sorted(path.name.split("-")[0] for path in
                        (system.folder / "data0").rglob("*")
                        if path.is_file())
        system.stop_all()
        system.build_of.update(all_of(reader))
        for name, (program, flags) in list(system.commands.items()):
            system.start(name, program, *flags)
        wait_for("the replicas' return", lambda: system.ctl_of(
            reader, "status").returncode == 0, 30)
        system.wait_gates()
        time.sleep(1.5)
        after = system.ctl_json(reader, "status")
        title = f"{reader} build on data of the {writer} build"
        check(f"{title}: a snapshot was among the files",
              "snapshot" in stored, stored)
        check(f"{title}: same revision and preset",
              [before.get(k) for k in ("revision", "preset")] ==
              [after.get(k) for k in ("revision", "preset")],
              (before, after))
        check(f"{title}: same declarations",
              declared == system.ctl_json(reader, "show"))
        check(f"{title}: a booking is answered as before",
              booking(system, 1) == first, first)
        counts = json.loads(request(system.service, "GET",
                                    "/counts")[1].read())
        check(f"{title}: the booking did not run again",
              counts["runs"].get("one mule string", 0) == 0, counts)
        changed = system.ctl_of(reader, "preset", "use", "maintenance",
                                "--wait")
        check(f"{title}: a change is accepted", changed.returncode == 0,
              changed.stderr)


def command_line(builds, build, check):
    """The operators' commands of one build against processes of the other."""
    with deployment_of(builds, all_of(build)) as system:
        system.boot(other(build))
        title = f"{other(build)} bamboogatectl on {build} processes"
        for command in (("status",), ("members", "list"), ("history",),
                        ("show",), ("burn",)):
            shown = system.ctl_of(other(build), *command)
            same = system.ctl_of(build, *command)
            check(f"{title}: {' '.join(command)}", shown.returncode == 0 and
                  bool(shown.stdout), shown.stderr)
            if command[0] in ("members", "history", "show"):
                check(f"{title}: {' '.join(command)} prints the same",
                      shown.stdout == same.stdout, shown.stdout)
        based_on = str(system.ctl_json(build, "status")["revision"])
        repeated = [system.ctl_of(b, "preset", "use", "ordinary", "--wait",
                                  "--operation-id", "mixed-1",
                                  "--based-on", based_on)
                    for b in (build, other(build))]
        check(f"{title}: a repeated operation gets the first answer",
              repeated[0].returncode == repeated[1].returncode == 0 and
              repeated[0].stdout == repeated[1].stdout,
              [r.stdout + r.stderr for r in repeated])


def leader_changes(builds, check):
    """Replicas of both builds, led by each in turn."""
    build_of = {**all_of("old"), "c1": "new", "c2": "new", "g1": "new",
                "e1": "new"}
    with deployment_of(builds, build_of) as system:
        system.boot("old")
        changes = set()
        revision = system.ctl_json("new", "status")["revision"]
        leader = system.leader("new")
        for i in range(30):  # a leader of the other build is seen in a few
            if {("old", "new"), ("new", "old")} <= changes:
                break
            system.replace(leader, system.build_of[leader])
            wait_for("another leader", lambda: system.ctl_of(
                "new", "status").returncode == 0 and system.leader("new"), 20)
            following = system.leader("new")
            changes.add((system.build_of[leader], system.build_of[following]))
            leader = following
            accepted = system.ctl_of(("old", "new")[i % 2], "preset", "use",
                                     ALTERNATING_PRESETS[i % 2], "--wait")
            now = system.ctl_json("new", "status")["revision"]
            if accepted.returncode != 0 or now <= revision:
                check(f"change of configuration under leader {leader}", False,
                      accepted.stderr)
            revision = now
        check("leadership went from old to new and from new to old, with a "
              "change accepted after each",
              {("old", "new"), ("new", "old")} <= changes, changes)


def rolling_replacement(builds, build, check):
    """Every process is replaced by the other build's while callers stream."""
    target = other(build)
    with deployment_of(builds, all_of(build)) as system:
        system.boot(build)
        stop = threading.Event()
        callers = []
        bookings = []

        def stream(number):
            count = 0
            while not stop.is_set():
                caller = Caller(system, f"manifest {number}-{count} "
                                "tokens=300", number)
                callers.append(caller)
                caller.run()
                count += 1

        threads = [threading.Thread(target=stream, args=(number,))
                   for number in range(6)]
        for thread in threads:
            thread.start()
        for name in REPLICAS + GATES:
            system.replace(name, target)
            wait_for(f"the cluster after {name}", lambda: system.ctl_of(
                target, "status").returncode == 0, 30)
            system.wait_gates()
            bookings.append(booking(system, len(bookings) % 3))
            time.sleep(1)
        stop.set()
        for thread in threads:
            thread.join()
        title = f"rolling replacement from {build} to {target}"
        broken = [c for c in callers if not c.complete()]
        check(f"{title}: {len(callers)} answers are whole", callers and
              not broken, [(c.prompt, len(c.indices), c.refusals[-3:])
                           for c in broken[:3]])
        check(f"{title}: some callers returned",
              any(c.returns for c in callers))
        check(f"{title}: every resend of a booking got the first answer",
              len(set(bookings)) == 1 and bookings[0][0] == 200, bookings)
        counts = json.loads(request(system.service, "GET",
                                    "/counts")[1].read())
        check(f"{title}: the booking ran once",
              counts["runs"].get("one mule string", 0) == 1, counts)


def lost_gate(builds, owner, check):
    """A generation whose gate is killed continues at the other build."""
    build_of = {**all_of(other(owner)), "g0": owner}
    with deployment_of(builds, build_of) as system:
        system.boot(owner)
        prompt = "Manifest for the trek to Ksar Ghilane tokens=600"
        undisturbed = Caller(system, prompt, 1).run()
        caller = Caller(system, prompt, 0)
        thread = threading.Thread(target=caller.run)
        thread.start()
        wait_for("the first tokens", lambda: len(caller.indices) > 60)
        system.kill("g0")
        received = len(caller.indices)
        thread.join()
        title = f"{owner} gate killed, {other(owner)} gate continues"
        check(f"{title}: the answer is whole", caller.complete(),
              (len(caller.indices), caller.refusals))
        check(f"{title}: the caller returned in mid-stream",
              caller.returns > 0 and 0 < received < 600, received)
        check(f"{title}: the text is that of an undisturbed answer",
              caller.text == undisturbed.text)


def main():
    builds = {"old": sys.argv[1], "new": sys.argv[2]}
    check = Checks()
    for build in ("old", "new"):
        stored_data(builds, build, check)
        command_line(builds, build, check)
        rolling_replacement(builds, build, check)
        lost_gate(builds, build, check)
    leader_changes(builds, check)
    print(f"{check.passed} passed, {check.failed} failed")
    return 1 if check.failed else 0


if __name__ == "__main__":
    sys.exit(main())
