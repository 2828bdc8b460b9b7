"""An upgrade while a bad client sends the ids of other clients' open requests."""
import asyncio
import contextlib
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import rig

CLIENTS = 20
# How often the operators ask for the new process's yes, and how often the bad client sends each id.
ASK_EVERY, BAD_EVERY = 0.25, 0.01


async def bad_client(record, proxy, victim, served):
    """Sends the id of an open request, and the same again after each answer."""
    while victim.ended_at is None:
        copy = rig.Client(record, proxy)
        copy.id, copy.key, copy.group = victim.id, victim.key, victim.group
        with contextlib.suppress(OSError):
            await copy.open()
            if copy.up_at and victim.ended_at is None:
                served.append((victim, copy))
                await asyncio.sleep(1)
            copy.writer.close()
        await asyncio.sleep(BAD_EVERY)


async def main(record, work, proxies):
    servers = [await rig.LabelServer(record, f"s-{number}", zone).start()
               for number, zone in enumerate(["gent", "gent", "antwerpen", "luik"])]
    discovery = await rig.Discovery(record, "discovery", servers).start()
    # The site's class, with the effect that it may not be run twice, as on some short days.
    once = [{**rig.settings()["classes"][0], "effect": "once"}]
    old = await rig.Proxy(record, work, "n1", discovery, servers, console=rig.free_port(), classes=once).start()
    proxies.append(old)
    await old.ready()
    clients = [rig.Client(record, old) for _ in range(CLIENTS)]
    for client in clients:
        await client.open()
        if not client.up_at:
            raise RuntimeError("a client was not served before the upgrade")
    tasks = [asyncio.create_task(client.live()) for client in clients]
    served = []
    tasks += [asyncio.create_task(bad_client(record, old, client, served)) for client in clients]
    await asyncio.sleep(2)
    if any(client.ended_at for client in clients) or served:
        raise RuntimeError("a connection ended before the upgrade, or a bad client was served")
    if rig.TROUBLE:
        new = rig.Proxy(record, work, "n1", discovery, servers, port=old.port, console=rig.free_port(), classes=once)
        proxies.append(await new.start())
        while await rig.call(record, new, "GET", "/healthcheck") != 200:
            await asyncio.sleep(ASK_EVERY)
        old.signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(old.process.wait(), 3.7)
        record(f"the old process ended {time.monotonic() - stopped_at:.2f} s after SIGTERM")
    await asyncio.sleep(3)
    for task in tasks:
        task.cancel()
    broken = []
    for victim, copy in served:
        got = [server.name for server in servers for _, line in server.opens if line.split()[1] == victim.id]
        broken.append(f"a bad client with the id {victim.id} of an open request was served: {copy.answer}; first lines "
                      f"with that id reached {' and '.join(got)}")
    return broken


rig.run(__file__, main)
