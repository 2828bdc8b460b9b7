"""A planned stop while label servers' lines come in pieces."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import rig

# A busy feed. Answers leave with the next piece, so within half of the 60 ms in which a message is wanted.
NEWS_EVERY = 0.03
CLIENTS = 12
# The earliest SIGKILL: the longest deadline (4.8 s, counted as 3 s) and 0.7 s more after SIGTERM.
KILL_AFTER = 3.7


async def main(record, work, proxies):
    servers = [await rig.LabelServer(record, f"s-{number}", zone, news=NEWS_EVERY, pieces=rig.TROUBLE).start()
               for number, zone in enumerate(["gent", "gent", "antwerpen", "luik"])]
    discovery = await rig.Discovery(record, "discovery", servers).start()
    proxy = await rig.Proxy(record, work, "n1", discovery, servers).start()
    proxies.append(proxy)
    await proxy.ready()
    clients = [rig.Client(record, proxy) for _ in range(CLIENTS)]
    for client in clients:
        await client.open()
        await asyncio.sleep(0.05)
    served = [client for client in clients if client.up_at]
    if len(served) < CLIENTS:
        raise RuntimeError("a client was not served before the stop")
    lives = [asyncio.create_task(client.live()) for client in served]
    await asyncio.sleep(3)
    if any(client.ended_at for client in served):
        raise RuntimeError("a connection ended before the stop")
    proxy.signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    await asyncio.wait(lives, timeout=KILL_AFTER)
    if proxy.process.returncode is None:
        proxy.signal(signal.SIGKILL)
    await asyncio.wait(lives, timeout=2)
    broken = []
    for client in served:
        if not client.moved:
            when = (client.ended_at or time.monotonic()) - stopped_at
            late = client.ended_at - client.last_line_at if client.ended_at and client.last_line_at else 9
            broken.append(f"client {client.id} was cut off without MOVE {when:.2f} s after SIGTERM; its label "
                          f"server still answered: the last whole line came {late:.2f} s before the cut")
    return broken


rig.run(__file__, main)
