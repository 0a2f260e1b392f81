import asyncio
import os
import subprocess
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common-3"))
from deployment import *  # noqa: E402,F403

BOOKINGS = 150
BOOKINGS_PER_S = 10
STREAMS_AT = range(20, 80, 5)  # numbers of bookings
LINE_BYTES = int(os.environ.get("LINE_BYTES", "2"))
TIMEOUT_S = 1.0  # `timeoutMs` of the route
GRACE_S = 0.5  # of the rule


async def case(record, trouble):
    system = Deployment(record, core=3, edge=1)
    engines, sick = [], None
    try:
        system.start()
        host = f"{system.subnet}.100"
        if trouble:
            with open(os.path.join(system.folder, "sick.log"), "wb") as out:
                sick = subprocess.Popen(
                    [sys.executable, os.path.join(FOLDER, "sick_engine.py"),
                     host, "8100", str(LINE_BYTES)], stdout=out, stderr=out)
        first = None if trouble else answer_stream
        engines = [Engine(system, "scribe", host, 8100, first),
                   Engine(system, "scribe", host, 8101, answer_stream),
                   Engine(system, "scribe", host, 8102, answer_stream),
                   Engine(system, "ledger", host, 8200, answer_plain, slots=6)]
        await send_configuration(system, configuration(3))
        for each in engines:
            await each.start()
        await system.wait_ready()
        await asyncio.sleep(2.0)
        gate = system.edge_ips[0]
        long_requests, unanswered = [], []

        async def book(number):
            begin = time.monotonic()
            answer = await call(
                gate, FRONT, "POST", f"/booking/{number}",
                client_headers(f"b{number}", 1000), b"mule",
                timeout=TIMEOUT_S + GRACE_S)
            taken = time.monotonic() - begin
            record(f"booking b{number}: {answer.status if answer else 'none'}"
                   f" after {taken * 1000:.0f} ms")
            if taken >= TIMEOUT_S:
                long_requests.append(number)
            if answer is None:
                unanswered.append(number)

        async def stream(number):
            begin = time.monotonic()
            answer = await call(
                gate, FRONT, "POST", f"/brief/{number}",
                client_headers(f"s{number}", 25000, "100,20",
                               f"5c1e07a2:50,{number:08x}:50"), b"brief",
                timeout=25.5)
            state = (f"{answer.status}, complete: {answer.complete}"
                     if answer else "none")
            record(f"stream s{number}: {state}"
                   f" after {time.monotonic() - begin:.1f} s")

        tasks = []
        for number in range(BOOKINGS):
            if number in STREAMS_AT:
                tasks.append(asyncio.ensure_future(stream(number)))
            tasks.append(asyncio.ensure_future(book(number)))
            await asyncio.sleep(1 / BOOKINGS_PER_S)
        await asyncio.gather(*tasks)
        for each in system.core + system.edge:
            record(f"{each.name} alive: {each.alive()}")
        text = (f"bookings {BOOKINGS}, not answered at their time-out "
                f"{len(long_requests)}, not {GRACE_S} s later "
                f"{len(unanswered)}")
        record(text)
        print(text)
        # "Eight or more of them, and over a quarter"
        broken = (len(unanswered) >= 8 and
                  len(unanswered) * 4 > len(long_requests))
        return not broken
    finally:
        for each in engines:
            each.stop()
        if sick:
            sick.kill()
            sick.wait()
        system.stop()


run_case(FOLDER, case)
