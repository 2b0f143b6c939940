"""A request whose head is within the operator's limit, with one field of more
than 64 KiB."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from platform_2 import *  # noqa: E402,F403

MAX_HEADER_BYTES = 131072
PARTS = 6500 if TROUBLE else 4000  # of the prompt: 71 KB and 44 KB of Prefix-Hash
CONTACT_S = 3.0
WAITING = 6  # bookings of other clients, each on a kept connection


async def case(rig):
    record = rig.record
    await rig.configure(limits={"max_header_bytes": MAX_HEADER_BYTES})
    desk = await rig.engine("desk", "i-desk", slots=32)
    await rig.engine("llm", "i-llm", slots=32)
    for number in (1, 2):
        await rig.daemon(number)
    for daemon in rig.daemons:
        await daemon.await_ready()
    await asyncio.sleep(CONTACT_S + 0.3)  # the machines are in touch

    async def booking(daemon, number):
        reader, writer = await asyncio.open_connection(daemon.ip, daemon.front)
        got = 0
        for turn in range(2):  # the second one on the kept connection
            desk.work = 0.01 if turn == 0 else 1.0
            attempt, raw = request("/book/%s-%d-%d" % (daemon.name, number, turn), deadline=3000)
            record("client sends", attempt, "to", daemon.name, "on a kept connection" if turn else "")
            writer.write(raw)
            got = 0
            try:
                got = (await asyncio.wait_for(read_response(reader), 4))[0]
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            record("client gets", got or "the end of the connection", "for", attempt)
            if turn == 0:
                await begun.wait()
        writer.close()
        return attempt, got

    begun = asyncio.Event()
    bookings = [asyncio.ensure_future(booking(daemon, number))
                for daemon in rig.daemons for number in range(WAITING)]
    await asyncio.sleep(0.5)
    begun.set()
    await asyncio.sleep(0.3)
    parts = ",".join("%08x:1" % number for number in range(PARTS))
    for daemon in rig.daemons:  # the client's try and its retry
        attempt, raw = request("/report/1", deadline=3000, extra=[
            ("Model", "m"), ("Token-Usage", "%d,50" % PARTS), ("Prefix-Hash", parts)])
        head = raw.index(b"\r\n\r\n") + 4
        record("client sends", attempt, "to", daemon.name, "with a head of", head, "bytes; allowed", MAX_HEADER_BYTES)
        try:
            got = (await call(daemon.ip, daemon.front, raw, 3))[0]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            got = "the end of the connection"
        record("client gets", got, "for", attempt)
        if got == 200:
            break
    ended = await asyncio.gather(*bookings)
    ran = {attempt for _, attempt in desk.ran}
    lost = [attempt for attempt, got in ended if attempt in ran and got == 0]
    ends = [daemon.process.poll() for daemon in rig.daemons]
    report = ("%d bookings ran while the large head was read; ended without an answer: %d; "
              "processes that ended by themselves: %d of %d (exit codes %s)" % (
                  len(ended), len(lost), sum(1 for code in ends if code is not None), len(ends), ends))
    record(report)
    print(report)
    return len(lost) <= 3


main(case)
