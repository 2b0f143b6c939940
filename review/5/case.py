"""An engine runs bookings, fails them with its own 503, and says nothing of
not having run them."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from platform_2 import *  # noqa: E402,F403

LENGTH_S = 6.0
PROMISES = (408, 421, 429, 503)
FAILS_ONE_IN = 3


async def case(rig):
    record = rig.record
    await rig.configure()
    engines = [await rig.engine("desk", "i-%d" % i) for i in range(3)]
    daemon = await rig.daemon(1)
    await daemon.await_ready()

    async def failing(engine, line, fields, body, writer, reader):
        attempt = field(fields, "Attempt-Id")
        engine.note_run(attempt, fields)
        await asyncio.sleep(0.02)
        failed = TROUBLE and len(engine.ran) % FAILS_ONE_IN == 0
        record("engine", engine.ident, "answers", 503 if failed else 200, "without Not-Executed to", attempt)
        if failed:
            writer.write(response(503, engine.head(fields), "the ledger is not reached"))
        else:
            writer.write(response(200, engine.head(fields), "booked " + attempt))
        return True

    for engine in engines:
        engine.script = failing
    promised, booked, bookings = [], {}, 0
    end = now() + LENGTH_S
    while now() < end:
        bookings += 1
        for _ in range(2):  # the client retries once, after a promise only
            attempt, raw = request("/book/job-%d" % bookings, body=b'{"job":%d}' % bookings, deadline=1000)
            record("client sends", attempt, "for job", bookings)
            status, fields, body = await call(daemon.ip, daemon.front, raw, 3)
            record("client gets", status, "for", attempt)
            booked.setdefault(bookings, []).append(attempt)
            if status not in PROMISES:
                break
            promised.append(attempt)
            await asyncio.sleep(float(field(fields, "Retry-After", "0.1")))
    ran = {attempt for engine in engines for _, attempt in engine.ran}
    untrue = [attempt for attempt in promised if attempt in ran]
    twice = [job for job, attempts in booked.items() if sum(1 for a in attempts if a in ran) > 1]
    report = ("%d jobs; refusals that promise 'not run': %d, of which the request had run: %d; "
              "jobs that ran twice since the client came back: %d" % (
                  bookings, len(promised), len(untrue), len(twice)))
    record(report)
    print(report)
    return not untrue


main(case)
