"""A new configuration moves discovery; what the old address still tells before the new one answers has to bind."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from standins import (  # noqa: E402
    SLACK, TROUBLE, Client, CouldNotRun, Discovery, LabelServer, Proxy, Store, free_port, run_case)

DRAIN_GRACE = 1.0  # contract.drain-grace in the settings
SLOW = 3.0  # how long a call that asks for the list waits for its turn


async def case(record, folder, processes):
    servers = [await LabelServer(f"s-{n}", record).start() for n in range(1, 5)]
    store = Store([server.entry() for server in servers])
    first = await Discovery(store, record, "discovery A").start()
    second = await Discovery(store, record, "discovery B").start()
    # "it answers with the entries that changed (perhaps none) or with the whole list"
    first.whole_lists = second.whole_lists = True
    proxy = Proxy(folder, record, "n1", f"127.0.0.1:{free_port()}", first.address, store.snapshot())
    processes.append(proxy)
    await proxy.start()
    await proxy.ready()
    await asyncio.sleep(3.2)
    stop = asyncio.Event()

    async def arrivals():
        while not stop.is_set():
            asyncio.ensure_future(Client(record, proxy.listen).run(stay=1.0))
            await asyncio.sleep(0.05)

    arriving = asyncio.ensure_future(arrivals())
    await asyncio.sleep(0.5)
    first.open_wait = second.open_wait = SLOW
    if TROUBLE:
        await proxy.reload(second.address)
        first.move_away()
    await asyncio.sleep(0.5)
    await store.publish("s-1", status="draining")
    record.note("s-1 drains")
    await asyncio.sleep(6.0)
    stop.set()
    await arriving
    told = store.told.get(("s-1", "draining"))
    if told is None:
        raise CouldNotRun("the drain was not written to the proxy")
    binds = told + DRAIN_GRACE + SLACK
    base = record.started
    record.note(f"the drain was told at {told - base:.3f}, nothing new may go to s-1 after {binds - base:.3f}")
    late = [at for at, _ in servers[0].opened if at > binds]
    return [f"s-1 got {len(late)} new connections after {binds - base:.3f}, the first at {late[0] - base:.3f}, "
            f"the last at {late[-1] - base:.3f}"] if late else []


sys.exit(run_case(FOLDER, case))
