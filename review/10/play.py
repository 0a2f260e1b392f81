"""A change with a version below the one held takes effect for good."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from stage import *  # noqa: E402,F403


def document(version, *routes):
    return configuration(version, [plain_route(name, "desk", "idempotent")
                                   for name in routes], ["desk"])


async def ask(stage, gate, route):
    attempt = attempt_id()
    answer = await asyncio.wait_for(request(
        (gate.ip, FRONT), "GET", f"/{route}/x",
        {"Host": "h.example", "X-Attempt-Id": attempt,
         "X-Deadline-Ms": "1500", "Authorization": "Bearer key-1"}), 2.0)
    stage.note(f"client: {attempt} on route {route} at {gate.name} -> "
               f"{answer.status}")
    return answer.status


async def read(stage):
    answer = await stage.operator_call("GET", "/Config.Read")
    if answer is None or answer.status != 200:
        raise CannotRun("the configuration can't be read")
    held = json.loads(answer.body)
    stage.note(f"operator: reads version {held['version']}, routes "
               f"{[each['name'] for each in held['routes']]}")
    return held["version"]


async def play(stage):
    stage.start_all()
    servers = [Server(stage, f"srv-{i + 1}", "desk", "abc"[i], 201 + i)
               for i in range(3)]
    for each in servers:
        await each.start()
    if await stage.replace_config(document(3, "look", "old")) != 200:
        raise CannotRun("the first configuration isn't acknowledged")
    await stage.wait_ready()
    await asyncio.sleep(BOUNDS["contactMs"] / 1000 + 1)
    # An old change arrives again. It has to change nothing.
    again = -1 if stage.trouble else 1
    status = await stage.replace_config(document(again, "old"))
    stage.note(f"operator: the change below the version held -> {status}")
    await asyncio.sleep(BOUNDS["configApplyMs"] / 1000 + 1)
    regressed = await read(stage) < 3
    refused = sum([await ask(stage, gate, "look") == 404
                   for gate in stage.gates])
    # A newer change, acknowledged, has to be in force.
    if await stage.replace_config(document(7, "look", "new")) != 200:
        raise CannotRun("version 7 isn't acknowledged")
    await asyncio.sleep(BOUNDS["configApplyMs"] / 1000 + 1)
    lost = await read(stage) < 7
    refused += sum([await ask(stage, gate, "new") == 404
                    for gate in stage.gates])
    stage.note(f"read back older than version 3: {regressed}; version 7, "
               f"acknowledged, is lost: {lost}; {refused} requests refused "
               f"with 404 by machines in touch")
    return regressed or lost


run_case(HERE, play, gates=2)
