"""The duty holder freezes as a bad version gets its full traffic, and wakes."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from platform_2 import *  # noqa: E402,F403

DURATION_S = 30  # of the roll-out
FREEZE_BEFORE_DEADLINE_S = 1.3
FREEZE_S = 1.35
CONTACT_S = 3.0
ROLLBACK_S = 5.0
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
BAD_ABOVE_PER_S = 28  # the version fails while it gets more than this
CLIENTS_PER_DAEMON = 4  # ten requests a second each


async def case(rig):
    record = rig.record
    await rig.configure()
    old, new = [], []
    for i in range(4):
        old.append(await rig.engine("desk", "i-old%d" % i, zone="z" + "abc"[i % 3]))
    for number, zone in ((1, "za"), (2, "zb"), (3, "zc")):
        await rig.daemon(number, zone)
    for daemon in rig.daemons:
        await daemon.await_ready()

    reached, bad = [], []  # of the new version: (time, attempt); times

    async def new_version(engine, line, fields, body, writer, reader):
        at, attempt = now(), field(fields, "Attempt-Id")
        reached.append((at, attempt))
        engine.note_run(attempt, fields)
        per_s = sum(1 for other in reached[-60:] if at - other[0] < 0.5) / 0.5
        await asyncio.sleep(0.01)
        if per_s > BAD_ABOVE_PER_S and len(reached) % 5:
            bad.append(now())
            writer.write(response(500, engine.head(fields), "overloaded"))
        else:
            writer.write(response(200, engine.head(fields), "answer to " + attempt))
        return True

    for i in range(4):
        engine = await rig.engine("desk", "i-new%d" % i, zone="z" + "abc"[i % 3])
        engine.version, engine.script = "v2", new_version
        await engine.register()
        new.append(engine)

    sent, answers, running = {}, [], True

    async def client(daemon, number):
        count = 0
        while running:
            count += 1
            path = "/look/%d" % count if (count + number) % 5 < 3 else "/book/%d" % count
            attempt, raw = request(path, deadline=2000)
            at = now()
            sent[attempt] = (at, daemon)
            record("client sends", attempt, path, "to", daemon.name)
            try:
                status = (await call(daemon.ip, daemon.front, raw, 3))[0]
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status = 0
            answers.append((at, daemon.name, status))
            record("client gets", status, "for", attempt)
            await asyncio.sleep(max(0, 0.1 - (now() - at)))

    async def platform():
        """Reads the status as the platform does, and acts on it."""
        seen = 0
        while True:
            records = rig.store.topic("keyed.status")["records"]
            for raw in records[seen:]:
                status = json.loads(raw[1 + raw[0]:])
                record("status", json.dumps(status))
                statuses.append(status["state"])
                if status["state"] == "completed":
                    for engine in old:
                        engine.task.cancel()
                        await engine.stop()
                        await rig.store.put_keyed("keyed.servers", engine.ident, b"")
                    record("platform: the old engines are stopped")
                if status["state"] == "rolled_back":
                    asyncio.ensure_future(drain_new())
            seen = len(records)
            await asyncio.sleep(0.01)

    async def drain_new():
        await asyncio.sleep(3)
        for engine in new:
            engine.state = "draining"
            await rig.store.put_keyed("keyed.servers", engine.ident, engine.entry())

    statuses = []
    tasks = [asyncio.ensure_future(client(daemon, number))
             for daemon in rig.daemons for number in range(CLIENTS_PER_DAEMON)]
    await asyncio.sleep(5)
    asyncio.ensure_future(platform())
    ordered = now()
    deadline = ordered + DURATION_S
    await rig.store.put_keyed("keyed.op", "rollout/desk",
                              {"service": "desk", "target": "v2", "duration_s": DURATION_S})
    record("operator orders the roll-out of v2")

    await asyncio.sleep(deadline - FREEZE_BEFORE_DEADLINE_S - now())
    name = rig.cloud.calls[-1][2]
    holder = next(daemon for daemon in rig.daemons if daemon.name == name)
    woken = None
    if TROUBLE:
        holder.process.send_signal(signal.SIGSTOP)
        record("freeze of", name)
        await asyncio.sleep(FREEZE_S)
        holder.process.send_signal(signal.SIGCONT)
        woken = now()
        record("wakes", name)
    await asyncio.sleep(deadline + 16 - now())
    running = False
    await asyncio.gather(*tasks)

    def in_touch(at, daemon):
        if not woken or daemon is not holder:
            return True
        return at < woken - FREEZE_S or at > woken + CONTACT_S

    if len(bad) < 20:
        raise CannotRun("the version was not bad: %d bad answers" % len(bad))
    by_deadline = sum(1 for at, attempt in reached if at < deadline and in_touch(*sent[attempt]))
    total = sum(1 for at, daemon in sent.values() if ordered < at < deadline)
    late = []
    if len(bad) >= 50:
        late = [attempt for _, attempt in reached
                if sent[attempt][0] > bad[49] + ROLLBACK_S and in_touch(*sent[attempt])]
    last = [status for at, _, status in answers if at > deadline + 10]
    report = ("statuses %s; bad answers %d, the 50th %s s after the order; requests to v2 by the deadline "
              "%d of %d; requests to v2 over %d s after the 50th bad answer, from machines in touch: %d; "
              "answers at the end: %s" % (
                  statuses, len(bad), round(bad[49] - ordered, 2) if len(bad) >= 50 else "-", by_deadline,
                  total, ROLLBACK_S, len(late),
                  {status: last.count(status) for status in sorted(set(last))}))
    record(report)
    print(report)
    return not late and by_deadline <= EXPOSURE_SHARE * total + EXPOSURE_SLACK


main(case)
