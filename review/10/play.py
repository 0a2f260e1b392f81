"""An acknowledged departure is forgotten when all processes are killed."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from stage import *  # noqa: E402,F403

HELD_S = 2.5  # a heartbeat may arrive seconds late
SERVED_S = 12.0  # how long the server that leaves still serves
IN_TOUCH_S = BOUNDS["contactMs"] / 1000 + 1.0


async def delaying_proxy(stage, target):
    """Forwards what it gets HELD_S later. @return its address"""
    async def serve(reader, writer):
        data = await reader.read(65536)
        await asyncio.sleep(HELD_S)
        try:
            _, out = await asyncio.open_connection(*target)
            out.write(data)
            await out.drain()
            stage.note(f"network: the held heartbeat reaches {target[0]}")
            await asyncio.sleep(0.5)
            out.close()
        except OSError as problem:
            stage.note(f"network: the held heartbeat is lost ({problem})")
        writer.close()

    address = (f"{stage.prefix}.240", CONTROL)
    await asyncio.start_server(serve, *address)
    return address


async def ask(stage, gate):
    attempt = attempt_id()
    try:
        answer = await asyncio.wait_for(request(
            (gate.ip, FRONT), "GET", "/look/x",
            {"Host": "h.example", "X-Attempt-Id": attempt,
             "X-Deadline-Ms": "1500", "Authorization": "Bearer key-1"}), 2.0)
        stage.note(f"client: {attempt} at {gate.name} -> {answer.status}")
        return answer.status
    except (OSError, asyncio.TimeoutError, BrokenAnswer,
            asyncio.IncompleteReadError) as problem:
        stage.note(f"client: {attempt} at {gate.name} -> {problem!r}")
        return None


async def play(stage):
    stage.start_all()
    servers = [Server(stage, f"srv-{i + 1}", "desk", "abc"[i], 201 + i)
               for i in range(3)]
    for each in servers:
        await each.start()
    if await stage.replace_config(configuration(
            1, [plain_route("look", "desk", "idempotent")],
            ["desk"])) != 200:
        raise CannotRun("the first configuration isn't acknowledged")
    await stage.wait_ready()
    await asyncio.sleep(IN_TOUCH_S)
    for _ in range(4):
        await asyncio.gather(*(ask(stage, g) for g in stage.gates))
    leaver = servers[0]
    if not leaver.runs:
        raise CannotRun("srv-1 got no request before it left")

    # The last heartbeat of srv-1 is held up on its way. Its sender gets no
    # answer within a second and calls the next node, as the page says.
    leaver.beats.cancel()
    beat = leaver.heartbeat()
    proxy = await delaying_proxy(stage, (stage.cores[1].ip, CONTROL))
    stage.note(f"srv-1: heartbeat seqNo {beat['seqNo']}, state ready, to "
               f"core-2, held up for {HELD_S} s")
    try:
        await asyncio.wait_for(leaver.send("/Instances.Heartbeat", beat,
                                           proxy), 1.0)
    except asyncio.TimeoutError:
        pass
    node = await leaver.announce(document=beat)
    stage.note(f"srv-1: the same heartbeat is acknowledged by {node.name}")

    # It deregisters first, and goes on to serve for a while.
    leaver.leaving = True
    node = await leaver.announce("/Instances.Deregister",
                                 {"born": leaver.born})
    if node is None:
        raise CannotRun("the departure isn't acknowledged")
    acknowledged = stage.now()
    stage.note(f"srv-1: Deregister is acknowledged by {node.name}")
    if stage.trouble:
        await asyncio.sleep(0.2)
        stage.note("all processes are killed")
        for each in stage.machines:
            each.kill()
        await asyncio.sleep(0.6)
        for each in stage.machines:
            each.start()
        stage.note("all processes are started again")
    await stage.wait_ready()
    await asyncio.sleep(max(0.0, acknowledged + HELD_S - stage.now()))
    await asyncio.sleep(IN_TOUCH_S)
    stage.note("all machines are in touch")
    begun = stage.now()
    if begun < acknowledged + BOUNDS["drainMs"] / 1000:
        raise CannotRun("too early")
    answers = []
    for _ in range(10):
        answers += await asyncio.gather(
            *(ask(stage, g) for g in stage.gates for _ in range(4)))
    if stage.now() > acknowledged + SERVED_S:
        raise CannotRun("too late")
    late = [run for run in leaver.runs if run[0] >= begun]
    stage.note(f"{len(answers)} requests sent, {answers.count(200)} served, "
               f"{len(late)} of them reached srv-1, "
               f"{begun - acknowledged:.1f} s and more after the "
               f"acknowledgement (drainMs {BOUNDS['drainMs']})")
    return bool(late)


run_case(HERE, play, gates=3)
