"""Two new configurations in quick succession while discovery is slow: the proxy has to go on serving."""
import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from standins import TROUBLE, Client, Discovery, LabelServer, Proxy, Store, free_port, run_case  # noqa: E402

SLOW = 1.8  # how long a call that opens a watch or asks for the list waits for its turn


async def case(record, folder, processes):
    servers = [await LabelServer(f"s-{n}", record).start() for n in range(1, 5)]
    store = Store([server.entry() for server in servers])
    first = await Discovery(store, record, "discovery A").start()
    second = await Discovery(store, record, "discovery B").start()
    first.open_wait = second.open_wait = SLOW
    proxy = Proxy(folder, record, "n1", f"127.0.0.1:{free_port()}", first.address, store.snapshot())
    processes.append(proxy)
    await proxy.start()
    await proxy.ready()
    await asyncio.sleep(4.0)

    clients, stop = [], asyncio.Event()

    async def arrivals():
        while not stop.is_set():
            client = Client(record, proxy.listen)
            clients.append(client)
            asyncio.ensure_future(client.run(stay=1.0))
            await asyncio.sleep(0.1)

    arriving = asyncio.ensure_future(arrivals())
    await asyncio.sleep(1.0)
    await proxy.reload(second.address)
    first.move_away()
    if TROUBLE:
        # The operators take the change back.
        await asyncio.sleep(0.5)
        await first.come_back()
        await proxy.reload(first.address)
        second.move_away()
    await asyncio.sleep(30.0)
    stop.set()
    await arriving
    await asyncio.sleep(1.0)
    end = time.time()
    # "at most one proxy in ten may reject all that it gets (15 or more) for 4 s on end": here the only proxy, for 20 s.
    last = [client for client in clients if client.answer and end - client.sent_at < 21.0]
    served = [client for client in last if client.answer.startswith("UP ")]
    record.note(f"of the {len(last)} answers of the last 20 s {len(served)} were UP")
    return [] if served else [f"all {len(last)} requests of the last 20 s were refused or failed"]


sys.exit(run_case(FOLDER, case))
