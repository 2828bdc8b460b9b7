"""Two new configurations in quick succession: discovery moves, and moves back while it is slow."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import rig

TURN = 1.4          # how long the first call of a connection waits its turn
AFTER_CALL = 0.25   # time from the last call of a watch to the first configuration
BETWEEN = 0.8       # time between the two configurations
RULE_SECONDS, RULE_REQUESTS = 4.0, 15


async def main(record, work, proxies):
    servers = [await rig.LabelServer(record, f"s-{number}", zone).start()
               for number, zone in enumerate(["gent", "gent", "antwerpen", "luik"])]
    first = await rig.Discovery(record, "discovery-a", servers).start()
    second = await rig.Discovery(record, "discovery-b", servers).start()
    proxies += [await rig.Proxy(record, work, f"n{number}", first, servers).start() for number in (1, 2, 3)]
    for proxy in proxies:
        await proxy.ready()
    clients = []
    flow = [asyncio.create_task(rig.traffic(record, proxy, clients, 0.1)) for proxy in proxies]
    await asyncio.sleep(3)
    if rig.TROUBLE:
        # The calls of a watch follow one another; both configurations come while one of them waits.
        calls = first.calls
        while first.calls < calls + len(proxies):
            await asyncio.sleep(0.005)
        await asyncio.sleep(AFTER_CALL)
        first.wait = second.wait = TURN
        for proxy in proxies:
            proxy.reload(second)
        leaving = [asyncio.create_task(first.leave())]
        await asyncio.sleep(BETWEEN)
        await first.come_back()
        for proxy in proxies:
            proxy.reload(first)
        leaving.append(asyncio.create_task(second.leave()))
    settled_at = time.monotonic() + 8
    await asyncio.sleep(20)
    for task in flow:
        task.cancel()
    broken = []
    for proxy in proxies:
        late = [c for c in clients if c.proxy is proxy and c.answered_at and c.sent_at > settled_at]
        refused = [c for c in late if not c.up_at]
        record(f"{proxy.name}: of {len(late)} requests from 8 s after the first SIGHUP, {len(refused)} were refused")
        if len(refused) == len(late) and len(late) >= RULE_REQUESTS:
            span = late[-1].answered_at - late[0].sent_at
            if span >= RULE_SECONDS:
                broken.append(f"{proxy.name} rejected all {len(late)} requests that it got in {span:.1f} s")
    return broken if len(broken) * 10 > len(proxies) else []


rig.run(__file__, main)
