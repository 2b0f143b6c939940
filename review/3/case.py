"""The store comes back from an older copy as all daemons are killed; the holder
of the duties is killed again, and the next one reports a window that the
platform has a report of, with other counts."""
import os
import sys

def could_not_run(*error):
    """Python would exit with 1, which says that the rule was broken."""
    sys.__excepthook__(*error)
    os._exit(2)


sys.excepthook = could_not_run

import asyncio
import json
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins as s

HOST = "records.example"
MACHINES = 3
COPY_AGE_S = 3


async def case(record, trouble):
    store = s.Store()
    store.states_era = True
    cloud = s.Cloud()
    ports = s.free_ports(5)
    server = await asyncio.start_server(store.serve, s.HOST, ports[0])
    clouds = await asyncio.start_server(cloud.serve, s.HOST, ports[1])
    engines = [
        s.Engine(record, store, "i-book%d" % i, "jobdesk", "zone-a", ports[i + 1])
        for i in (1, 2, 3)]
    routes = [s.route("job-book", HOST, "/book/", "non_idempotent", "jobdesk", 1)]
    configuration = s.config(1, routes, ["jobdesk"])
    await store.put("keyed.op", "config", configuration)
    for engine in engines:
        await engine.start()
    daemons = s.Daemons(record, MACHINES, ports[0], ports[1])
    copies = []  # (time, copy)

    async def send(number):
        attempt = "book%06d" % number
        status, _, _ = await s.request(
            daemons.fronts[number % MACHINES], "POST", "/book/x", HOST,
            {"Attempt-Id": attempt, "Deadline-Ms": "1000",
             "Authorization": "Token k1"}, b"{}", 2)
        record.add("client %s gets %s" % (attempt, status))

    async def load():
        number = 0
        while True:
            number += 1
            asyncio.create_task(send(number))
            await asyncio.sleep(0.03)

    async def copy():
        while True:
            copies.append((time.monotonic(), store.take_copy()))
            await asyncio.sleep(0.1)

    def reports():
        return [call for call in cloud.calls
                if call[1] == "/usage" and call[5] == 200]

    async def restart(i, delay):
        daemons.current[i].kill()
        await asyncio.sleep(delay)
        daemons.start(i)

    loading = asyncio.create_task(load())
    copying = asyncio.create_task(copy())
    try:
        if not await daemons.until_ready():
            record.add("the daemons don't get ready")
            return 2
        # Three windows with requests are reported before anything happens.
        end = time.monotonic() + 40
        while len([r for r in reports() if r[4]["counts"]]) < 3:
            if time.monotonic() > end:
                record.add("no usage is reported")
                return 2
            await asyncio.sleep(0.005)
        copying.cancel()
        if trouble:
            store.copy = [c for at, c in copies
                          if at <= time.monotonic() - COPY_AGE_S][-1]
            store.down = True
            record.add("the store is away; all daemons are killed")
            killed = [asyncio.create_task(restart(i, 0.8))
                      for i in range(MACHINES)]
            await asyncio.sleep(0.5)
            store.come_back()
            await store.put("keyed.op", "config", configuration)
            record.add("the store is back from a copy of %d s before; the "
                       "operator and the engines write again" % COPY_AGE_S)
            await asyncio.gather(*killed)
            before = len(cloud.calls)
            end = time.monotonic() + 4
            while len(cloud.calls) == before and time.monotonic() < end:
                await asyncio.sleep(0.05)  # until a holder acts
            if len(cloud.calls) == before:
                record.add("no daemon took up the duties in 4 s")
                return 2
            await asyncio.sleep(1)
            name = cloud.calls[-1][2]
            record.add("the holder that acted last, %s, is killed" % name)
            await restart(int(name.rsplit("-", 1)[1]) - 1, 1.5)
        await asyncio.sleep(10)
    finally:
        loading.cancel()
        copying.cancel()
        daemons.stop()
        for engine in engines:
            engine.renewal.cancel()
        server.close()
        clouds.close()
    windows = {}
    for at, _, holder, token, content, _ in reports():
        record.add("accepted at %.3f: usage of window %s from %s, token %d: %s"
                   % (at - record.start, content["window"], holder, token,
                      content["counts"]))
        windows.setdefault(content["window"], set()).add(
            json.dumps(content["counts"], sort_keys=True))
    twice = {w: sorted(c) for w, c in windows.items() if len(c) > 1}
    record.add("windows with two accepted reports of different counts: %s"
               % twice)
    return 1 if twice else 0


s.main(os.path.dirname(os.path.abspath(__file__)), case)
