"""Pushed lists: after SIGHUP, what the new discovery has binds 4 s later, also while it is crowded and answers nothing."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from standins import (  # noqa: E402
    SLACK, TROUBLE, Client, Discovery, LabelServer, Proxy, Store, free_port, run_case, settings)

DRAIN_GRACE = 1.0  # contract.drain-grace in the settings
COUNTS_AFTER_SIGHUP = 4.0  # "After SIGHUP it counts 4 s later."


async def case(record, folder, processes):
    servers = [await LabelServer(f"s-{n}", record).start() for n in range(1, 5)]
    store = Store([server.entry() for server in servers])
    first = await Discovery(store, record, "discovery A").start()
    second = await Discovery(store, record, "discovery B").start()
    proxy = Proxy(folder, record, "n1", f"127.0.0.1:{free_port()}", first.address, store.snapshot(),
                  config=settings(**{"membership-mode": "push"}))
    processes.append(proxy)
    await proxy.start()
    await proxy.ready()
    await asyncio.sleep(3.0)
    stop = asyncio.Event()

    async def arrivals():
        while not stop.is_set():
            asyncio.ensure_future(Client(record, proxy.listen).run(stay=1.0))
            await asyncio.sleep(0.05)

    arriving = asyncio.ensure_future(arrivals())
    await asyncio.sleep(0.5)
    if TROUBLE:
        # Discovery has many callers: a call that has waited 3 s ends with 503.
        second.open_wait, second.open_fails = 3.0, True
    signalled = time.time()
    await proxy.reload(second.address)
    first.move_away()
    await asyncio.sleep(2.0)
    await store.publish("s-1", status="draining")
    record.note("s-1 drains")
    await asyncio.sleep(8.0)
    stop.set()
    await arriving
    told = store.told.get(("s-1", "draining"))
    binds = min(told or time.time(), signalled + COUNTS_AFTER_SIGHUP) + DRAIN_GRACE + SLACK
    base = record.started
    record.note(f"SIGHUP came at {signalled - base:.3f}, nothing new may go to s-1 after {binds - base:.3f}")
    late = [at for at, _ in servers[0].opened if at > binds]
    return [f"s-1 got {len(late)} new connections after {binds - base:.3f}, the first at {late[0] - base:.3f}, "
            f"the last at {late[-1] - base:.3f}"] if late else []


sys.exit(run_case(FOLDER, case))
