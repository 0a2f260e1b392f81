"""The last tenant is removed: its key, and any other, is accepted."""
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from stage import *  # noqa: E402,F403

NEVER_HELD = "key-of-nobody"


def document(version, tenants):
    out = configuration(version,
                        [plain_route("book", "desk", "non_idempotent")],
                        ["desk"])
    out["tenants"] = tenants
    return out


async def ask(stage, gate, key):
    attempt = attempt_id()
    answer = await asyncio.wait_for(request(
        (gate.ip, FRONT), "POST", "/book/x",
        {"Host": "h.example", "X-Attempt-Id": attempt,
         "X-Deadline-Ms": "1500", "Authorization": f"Bearer {key}"},
        b"{}"), 2.0)
    stage.note(f"client: {attempt} with {key} at {gate.name} -> "
               f"{answer.status}")
    return attempt


async def play(stage):
    stage.start_all()
    servers = [Server(stage, f"srv-{i + 1}", "desk", "abc"[i], 201 + i)
               for i in range(3)]
    for each in servers:
        await each.start()
    if await stage.replace_config(document(
            1, [{"name": "t1", "apiKeys": ["key-1"]}])) != 200:
        raise CannotRun("the first configuration isn't acknowledged")
    await stage.wait_ready()
    await asyncio.sleep(BOUNDS["contactMs"] / 1000 + 1)
    for gate in stage.gates:
        await ask(stage, gate, "key-1")
        await ask(stage, gate, NEVER_HELD)
    # Without the disruption the tenant stays and only loses its key.
    tenants = [] if stage.trouble else [{"name": "t1", "apiKeys": []}]
    if await stage.replace_config(document(2, tenants)) != 200:
        raise CannotRun("version 2 isn't acknowledged")
    await asyncio.sleep(BOUNDS["configApplyMs"] / 1000 + 1)
    sent = {}
    for _ in range(5):
        for gate in stage.gates:
            for key in ("key-1", NEVER_HELD):
                sent[await ask(stage, gate, key)] = key
    ran = [sent[attempt] for each in servers for _, attempt in each.runs
           if attempt in sent]
    stage.note(f"later than configApplyMs after the acknowledgement of "
               f"version 2: {ran.count('key-1')} requests with the dropped "
               f"key and {ran.count(NEVER_HELD)} with a key that no "
               f"configuration held have run")
    return bool(ran)


run_case(HERE, play, gates=2)
