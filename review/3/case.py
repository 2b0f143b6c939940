"""Another writer's entry without `born` makes a draining engine ready again."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins as s

HOST = "records.example"
DRAIN_S = s.BOUNDS["drain_ms"] / 1000


async def case(record, trouble):
    store = s.Store()
    ports = s.free_ports(5)
    server = await asyncio.start_server(store.serve, s.HOST, ports[0])
    clouds = await asyncio.start_server(s.cloud, s.HOST, ports[1])
    engines = [
        s.Engine(record, store, "i-book%d" % i, "jobdesk", "zone-a",
                 ports[i + 1], work_s=0.15)
        for i in (1, 2, 3)]
    leaving = engines[0]
    routes = [s.route("job-book", HOST, "/book/", "non_idempotent", "jobdesk", 1)]
    await store.put("keyed.op", "config", s.config(1, routes, ["jobdesk"]))
    for engine in engines:
        await engine.start()
    daemons = s.Daemons(record, 2, ports[0], ports[1])
    counts = {"sent": 0, "answers": {}}
    answers = {}

    async def send(number):
        attempt = "book%06d" % number
        status, _, body = await s.request(
            daemons.fronts[number % 2], "POST", "/book/x", HOST,
            {"Attempt-Id": attempt, "Deadline-Ms": "1000",
             "Authorization": "Token k1"}, b"{}", 2)
        record.add("client %s gets %s %s" % (attempt, status, body[:60]))
        answers[attempt] = status
        counts["answers"][status] = counts["answers"].get(status, 0) + 1

    async def load(seconds):
        end = time.monotonic() + seconds
        pending = []
        while time.monotonic() < end:
            counts["sent"] += 1
            pending.append(asyncio.create_task(send(counts["sent"])))
            await asyncio.sleep(0.03)
        await asyncio.gather(*pending)

    try:
        if not await daemons.until_ready():
            record.add("the daemons don't get ready")
            return 2
        await asyncio.sleep(4)
        loading = asyncio.create_task(load(13))
        await asyncio.sleep(3)
        leaving.state = "draining"
        await store.put("keyed.servers", leaving.name, leaving.entry())
        acknowledged = time.monotonic()
        record.add("the store accepts that i-book1 is draining")
        await asyncio.sleep(DRAIN_S + 0.5)
        seq = leaving.seq
        while leaving.seq == seq:  # just after the engine's own entry
            await asyncio.sleep(0.01)
        if trouble:
            # Another writer: all fields but `born`. It names no engine to use.
            entry = dict(leaving.entry(), state="ready")
            del entry["born"]
            await store.put("keyed.servers", leaving.name, entry)
            record.add("another writer writes servers/i-book1: %s" % entry)
        await asyncio.sleep(1.1)
        record.add("i-book1 exits, %.1f s after its draining was accepted"
                   % (time.monotonic() - acknowledged))
        await leaving.exit()
        await loading
    finally:
        daemons.stop()
        for engine in engines:
            engine.renewal.cancel()
        server.close()
        clouds.close()
    record.add("answers: %s" % counts["answers"])
    before = sum(1 for run in leaving.runs if run[2] <= acknowledged)
    late = [run[0] for run in leaving.runs if run[2] > acknowledged + DRAIN_S]
    record.add("i-book1 got %d requests before it drained, %d later than "
               "drain_ms after that was accepted: %s"
               % (before, len(late), late[:5]))
    lost = [(a, answers[a]) for a in late if answers[a] != 200]
    record.add("of these, run or begun there and without a success: %d %s"
               % (len(lost), lost[:5]))
    if before == 0 or counts["answers"].get(200, 0) < counts["sent"] * 0.8:
        return 2  # not served: the case shows nothing
    return 1 if late else 0


s.main(os.path.dirname(os.path.abspath(__file__)), case)
