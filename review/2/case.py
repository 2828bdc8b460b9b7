"""A new configuration names another discovery, which is slow; meanwhile the one before tells of a drain."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import rig

# The rule: nothing new later than 1 s after the proxy was told; every time limit is 50 ms longer.
DRAIN_GRACE, SLACK = 1.0, 0.05
# How long the first call of a connection waits its turn at the new discovery. A call that waits longer than
# 3 s would fail.
TURN = 2.8


async def main(record, work, proxies):
    servers = [await rig.LabelServer(record, f"s-{number}", zone).start()
               for number, zone in enumerate(["gent", "gent", "antwerpen", "luik"])]
    leaving = servers[0]
    # Two addresses of one discovery: what one has, the other has too.
    old, new = [await rig.Discovery(record, f"discovery-{name}", servers).start() for name in "ab"]
    old.whole_lists, new.wait = True, TURN
    proxies += [await rig.Proxy(record, work, f"n{number}", old, servers).start() for number in (1, 2, 3)]
    for proxy in proxies:
        await proxy.ready()
    clients = []
    flow = [asyncio.create_task(rig.traffic(record, proxy, clients, 0.1)) for proxy in proxies]
    await asyncio.sleep(3)
    leave = None
    if rig.TROUBLE:
        for proxy in proxies:
            proxy.reload(new)
        leave = asyncio.create_task(old.leave())
    await asyncio.sleep(0.4)
    before = len(old.told)
    for discovery in (new, old):
        discovery.publish(leaving, "draining")
    await asyncio.sleep(0.2)
    told = old.told[before:]
    if len(told) < len(proxies):
        raise RuntimeError("the drain was not written to each proxy")
    told_at = told[-1][0]
    await asyncio.sleep(4.5)
    for task in flow + [leave] * bool(leave):
        task.cancel()
    late = [(at - told_at, line.strip()) for at, line in leaving.opens if at > told_at + DRAIN_GRACE + SLACK]
    others = sum(1 for server in servers[1:] for at, _ in server.opens if at > told_at)
    record(f"{leaving.name} got {len(late)} first lines later than {DRAIN_GRACE + SLACK} s after its drain was "
           f"told; the others got {others} since it was told")
    if not others:
        raise RuntimeError("no request was placed after the drain")
    return [f"{leaving.name} got '{line}' {after:.2f} s after discovery had written that it drains"
            for after, line in late]


rig.run(__file__, main)
