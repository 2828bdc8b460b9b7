"""Some clients leave right after their request; later the session store is slow for a while and recovers."""
import asyncio
import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import rig

LEAVERS = int(os.environ.get("LEAVERS", "3"))   # clients of each proxy that leave right after their request
USUAL_RATE = 4.0                                # new connections a second, at all proxies together
STORE_RATE = 6 * USUAL_RATE                     # what the store takes at least
SLOWNESS, SLOW_SECONDS = 7.0, 16
RECOVERY_SECONDS, WATCHED_SECONDS = 30, 30      # after that
RULE_SECONDS, RULE_REQUESTS = 4.0, 15

# Settings of the deployment `cluj-live`, where they differ from those of the wire page's example.
SETTINGS = {
    "bounds": {**rig.settings()["bounds"], "max-attempts": 6},
    "classes": [{**rig.settings()["classes"][0], "name": "roster-feed", "deadline": 3.2}],
    "contract": {**rig.settings()["contract"], "drain-grace": 0.4, "cold": 8.8, "cold-from": 0.33, "fall": 2.0,
                 "fall-multiple": 3.0},
    "models": ["fast", "standard", "slow"], "tiers": ["live-nodes"], "zones": ["cluj", "bucuresti"],
}


def leave(record, proxy):
    """A client that sends its request and closes its connection at once."""
    client = rig.Client(record, proxy, kind="roster-feed", wait_ms=3200)
    line = f"OPEN {client.id} {client.key} c={client.kind},d={client.wait_ms},g={client.group}"
    with socket.create_connection(("127.0.0.1", proxy.port)) as stream:
        stream.sendall(line.encode() + b"\r\n")
    record(f"client {client.id} sent to {proxy.name} and left: {line}")


async def main(record, work, proxies):
    store = rig.Store(STORE_RATE)
    zones = ["cluj", "bucuresti"]
    servers = [await rig.LabelServer(record, f"s-{number}", zones[number % 2], store=store).start()
               for number in range(10)]
    discovery = await rig.Discovery(record, "discovery", servers).start()
    proxies += [await rig.Proxy(record, work, f"n{number}", discovery, servers, zone=zones[number % 2],
                                ordinal=number - 1, **SETTINGS).start() for number in (1, 2, 3)]
    for proxy in proxies:
        await proxy.ready()
    clients = []
    flow = [asyncio.create_task(rig.traffic(record, proxy, clients, len(proxies) / USUAL_RATE,
                                            kind="roster-feed", wait_ms=3200)) for proxy in proxies]
    await asyncio.sleep(4)
    if rig.TROUBLE:
        for proxy in proxies:
            for _ in range(LEAVERS):
                leave(record, proxy)
                await asyncio.sleep(0.05)
    await asyncio.sleep(2)
    # The store's trouble is there without the disruption too: it alone is overcome.
    record(f"the store is {SLOWNESS} times slower")
    store.slowness = SLOWNESS
    await asyncio.sleep(SLOW_SECONDS)
    store.slowness = 1.0
    record("the store is as fast as before")
    await asyncio.sleep(RECOVERY_SECONDS)
    watched_from = time.monotonic()
    await asyncio.sleep(WATCHED_SECONDS)
    for task in flow:
        task.cancel()
    broken = []
    proxy_of = {client.id: client.proxy for client in clients}
    for proxy in proxies:
        got = [c for c in clients if c.proxy is proxy and c.sent_at and c.sent_at > watched_from and c.answer]
        refused = [c for c in got if c.answer.startswith("BUSY")]
        attempts = sum(1 for server in servers for at, line in server.opens
                       if at > watched_from and proxy_of.get(line.split()[1]) is proxy)
        span = got[-1].answered_at - got[0].sent_at if got else 0
        record(f"{proxy.name}, from {RECOVERY_SECONDS} s after the store's recovery on: {len(got)} requests in "
               f"{span:.1f} s, {len(refused)} refused, {attempts} attempts")
        if len(refused) == len(got) >= RULE_REQUESTS and not attempts and span >= RULE_SECONDS:
            broken.append(f"{proxy.name} rejected all {len(got)} requests that it got in {span:.1f} s without an "
                          f"attempt, from {RECOVERY_SECONDS} s after the last trouble on")
    return broken if len(broken) * 10 > len(proxies) else []


rig.run(__file__, main)
