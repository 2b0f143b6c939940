"""A request that crashes each engine that runs it, 0.4 s after it began."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from platform_2 import *  # noqa: E402,F403

CRASH_AFTER_S = 0.4  # of the first event
BACK_AFTER_S = 2.0
REPEATS = 20
CONTACT_S = 3.0
RETRIES_ALLOWED = 3  # later than that after the third crash
EVENTS, EVENT_INTERVAL_S = 40, 0.05
PROMPT = [("Model", "m"), ("Token-Usage", "100,280")]


async def case(rig):
    record = rig.record
    await rig.configure()
    engines = [await rig.engine("llm", "i-llm%d" % i, zone="z" + "abc"[i % 3], slots=64) for i in range(5)]
    for number, zone in ((1, "za"), (2, "zb"), (3, "zc")):
        await rig.daemon(number, zone)
    for daemon in rig.daemons:
        await daemon.await_ready()
    crashes, reached, sent = [], [], {}

    async def crash(engine):
        crashes.append(now())
        record("engine", engine.ident, "crashes")
        engine.server.close()
        for writer in list(engine.writers):
            writer.transport.abort()
        await asyncio.sleep(BACK_AFTER_S)
        engine.born, engine.seq = int(time.time() * 1000), 0
        engine.server = await asyncio.start_server(engine.serve, engine.host, engine.port, limit=1 << 22)
        await rig.store.put_keyed("keyed.servers", engine.ident, engine.entry())
        record("engine", engine.ident, "is back")

    async def stream(engine, line, fields, body, writer, reader):
        attempt = field(fields, "Attempt-Id")
        crashing = "/crashing" in line
        if crashing:
            reached.append((now(), attempt))
        engine.note_run(attempt, fields)
        await asyncio.sleep(0.03)
        head = "HTTP/1.1 200 OK\r\n"
        for name, value in engine.head(fields):
            head += "%s: %s\r\n" % (name, value)
        writer.write((head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        began = now()
        for number in range(1, EVENTS + 1):
            if crashing and TROUBLE and now() - began >= CRASH_AFTER_S:
                asyncio.ensure_future(crash(engine))
                await asyncio.sleep(1)
                return False
            event = b"id: %d\ndata: piece-%d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        return True

    for engine in engines:
        engine.script = stream

    async def ask(daemon, path, body, prefix, deadline_ms):
        attempt, raw = request(path, body=body, deadline=deadline_ms, extra=PROMPT + [("Prefix-Hash", prefix)])
        sent[attempt] = now()
        record("client sends", attempt, path, "to", daemon.name)
        try:
            got = (await call(daemon.ip, daemon.front, raw, deadline_ms / 1000 + 1))[0]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            got = "a broken stream"
        record("client gets", got, "for", attempt)
        return got

    running, others, own = True, {}, {}

    async def other(daemon, number):
        count = 0
        while running:
            count += 1
            got = await ask(daemon, "/chat/%d-%d" % (number, count), b"{}",
                            "aa:50,%x:50" % (number * 1000 + count), 8000)
            others[got] = others.get(got, 0) + 1
            await asyncio.sleep(0.2)

    tasks = [asyncio.ensure_future(other(daemon, 10 * i + k))
             for i, daemon in enumerate(rig.daemons) for k in range(4)]
    await asyncio.sleep(4)  # the daemons are in touch
    for repeat in range(REPEATS):
        daemon = rig.daemons[repeat % len(rig.daemons)]
        got = await ask(daemon, "/chat/crashing", b"the same body", "aa:50,dead:50", 4000)
        own[got] = own.get(got, 0) + 1
        await asyncio.sleep(0.8)
    running = False
    await asyncio.gather(*tasks)
    if TROUBLE and len(crashes) < 3:
        raise CannotRun("only %d engines crashed" % len(crashes))
    late = [attempt for _, attempt in reached if len(crashes) >= 3 and sent[attempt] > crashes[2] + CONTACT_S]
    report = ("engines crashed: %d; times that the request reached an engine: %d, of these sent over %d s after "
              "the third crash: %d (allowed: %d); its answers: %s; answers of the others: %s" % (
                  len(crashes), len(reached), CONTACT_S, len(late), RETRIES_ALLOWED, own, others))
    record(report)
    print(report)
    return len(late) <= RETRIES_ALLOWED


main(case)
