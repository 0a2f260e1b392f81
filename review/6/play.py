"""The core is replaced machine by machine: the configuration is lost."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from stage import *  # noqa: E402,F403

GAP_S = 2.5  # between two machines that leave; the sites use 1.0 to 1.6
CAUGHT_UP_S = BOUNDS["catchUpS"] + 2.0
READ_S = 40.0  # recoverS is 12


def document(version):
    return configuration(version, [plain_route("look", "desk", "idempotent")],
                         ["desk"])


async def play(stage):
    old = list(stage.cores)
    stage.start_all()
    servers = [Server(stage, f"srv-{i + 1}", "desk", "abc"[i], 201 + i)
               for i in range(3)]
    for each in servers:
        await each.start()
    if await stage.replace_config(document(1)) != 200:
        raise CannotRun("the first configuration isn't acknowledged")
    await stage.wait_ready()
    await asyncio.sleep(BOUNDS["contactMs"] / 1000 + 1)
    if await stage.replace_config(document(5)) != 200:
        raise CannotRun("version 5 isn't acknowledged")

    # The new machines come first, each with an empty disk, at an address of
    # its own and in the zone of the one that it succeeds.
    seeds = [each.ip for each in old[:3]]
    new = [Machine(stage, f"core-{i + 6}", "control", each.zone,
                   f"{stage.prefix}.{16 + i}", seeds)
           for i, each in enumerate(old)]
    for each in new:
        each.start()
    stage.cores = old + new
    stage.note("core-6 to core-10 are started")
    await asyncio.sleep(CAUGHT_UP_S)
    stage.note(f"they have run for {CAUGHT_UP_S:.0f} s "
               f"(catchUpS {BOUNDS['catchUpS']})")
    serving = old + new
    if stage.trouble:
        for each in old:
            each.signal(signal.SIGTERM)
            stage.note(f"SIGTERM to {each.name}, which leaves for good")
            await asyncio.sleep(GAP_S)
        for each in old:
            try:
                each.process.wait(BOUNDS["graceS"])
            except subprocess.TimeoutExpired:
                each.kill()
        serving = new
    ended = [each.name for each in new + stage.gates if not each.running()]
    if ended:
        raise CannotRun(f"{ended} have ended")
    stage.note("running: " + ", ".join(each.name for each in serving))

    begun = stage.now()
    answer = await stage.operator_call("GET", "/Config.Read", until=READ_S,
                                       cores=serving)
    held = json.loads(answer.body)["version"] if answer and \
        answer.status == 200 else None
    stage.note(f"operator: reads version {held} after "
               f"{stage.now() - begun:.1f} s")
    status = await stage.replace_config(document(9), until=10, cores=serving)
    stage.note(f"version 5, acknowledged, is read back as {held}; a further "
               f"change is answered {status}")
    return held is None or held < 5


run_case(HERE, play, gates=2)
