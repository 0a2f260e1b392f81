import asyncio
import os
import shutil
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-3"))
from deployment import *  # noqa: E402,F403

CATCH_UP_S = 4
RECOVER_S = 12


async def read_configuration(system):
    """The versions that the machines of the core read."""
    out = {}
    for ip in system.core_ips:
        got = await call(ip, CONTROL, "GET", "/Config.Read", timeout=2.0)
        out[ip] = (json.loads(got.body)["version"]
                   if got and got.status == 200 else
                   got.status if got else None)
    return out


def lose_disk(system, process):
    data = os.path.join(system.folder, process.name, "data")
    shutil.rmtree(data)
    os.makedirs(data)


async def case(record, trouble):
    system = Deployment(record, core=5, edge=1)
    engines = []
    try:
        system.start()
        host = f"{system.subnet}.100"
        engines = [Engine(system, "ledger", host, 8200 + i, answer_plain,
                          slots=6) for i in range(3)]
        await send_configuration(system, configuration(3))
        for each in engines:
            await each.start()
        await system.wait_ready()
        await asyncio.sleep(3.0)  # until all five of the core have a vote
        lost, stopped = system.core[4], system.core[3]
        seeds = [f"{ip}:{CONTROL}" for ip in system.core_ips[:3]]
        system.end_first_start()
        lost.signal(signal.SIGKILL)
        lost.child.wait()
        record(f"{lost.name} is gone for good")
        await asyncio.sleep(1.0)
        ip = f"{system.subnet}.20"
        successor = system.make("core-5", "target/bin/platform-control",
                                "core", ip, 4, 256, seeds, 2, bootstrap=False)
        successor.start()
        system.core = [each for each in system.core if each is not lost]
        system.core.append(successor)
        system.core_ips = system.core_ips[:4] + [ip]
        record(f"{successor.name} starts with an empty disk at {ip}")
        await asyncio.sleep(0.9)
        if trouble:
            stopped.signal(signal.SIGTERM)
            stopped.child.wait()
            record(f"{stopped.name} ended after SIGTERM with "
                   f"{stopped.child.returncode}")
            await asyncio.sleep(0.4)
            stopped.start()
            record(f"{stopped.name} starts again with its disk")
        # Both machines have had `catchUpS`.
        await asyncio.sleep(CATCH_UP_S + 0.8)
        await send_configuration(system, configuration(4))
        # The final fault: two disks are lost, the others lose power.
        wiped = [system.core[2], successor]
        for each in system.core:
            each.signal(signal.SIGKILL)
        for each in system.core:
            each.kill()
        for each in wiped:
            lose_disk(system, each)
        record("final fault: all of the core killed, disks lost: " +
               ", ".join(each.name for each in wiped))
        await asyncio.sleep(1.0)
        for each in system.core:
            each.start()
        back = time.monotonic()
        versions = {}
        while time.monotonic() - back < RECOVER_S + 3 + 10:
            versions = await read_configuration(system)
            record(f"read back {time.monotonic() - back:.1f} s after: "
                   f"{versions}")
            if time.monotonic() - back > RECOVER_S and 4 in versions.values():
                break
            await asyncio.sleep(1.0)
        held = 4 in versions.values()
        text = f"configuration 4 was acknowledged; read back: {versions}"
        record(text)
        print(text)
        return held
    finally:
        for each in engines:
            each.stop()
        system.stop()


run_case(FOLDER, case)
