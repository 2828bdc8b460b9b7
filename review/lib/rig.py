"""Stand-ins of the review cases: label servers, discovery, clients and the platform that starts proxies.

Only the standard library. Every address is on the loopback interface, every port a free one.
"""
import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RULE_HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """The file record.txt of a case: what was sent, answered and run, each with its time in seconds."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


def deploy(key):
    """The value of a command in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        return re.search(rf'^{key} = "(.*)"', file.read(), re.M).group(1)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def settings(**changes):
    """Settings of a small deployment, in the form of the example on the wire page."""
    base = {
        "balancers": 3,
        "bounds": {"cancel": True, "conn-idle": 60.0, "connect-timeout": 0.2, "max-attempts": 4,
                   "max-open": 1000000, "max-retry-after": 2.0, "may-probe": False, "peers": False,
                   "retry-after": True, "second-copies": False},
        "classes": [{"deadline": 4.8, "effect": "repeatable", "group": "all", "late-share": 0.0,
                     "name": "status-feed", "stream": True, "target": 0.8, "window": 5.0, "worth": 1.0}],
        "clients": {"marks-retry": False},
        "contract": {"ask-within": 10.0, "cold": 9.0, "cold-from": 0.3, "drain-grace": 1.0, "fall": 1.5,
                     "fall-multiple": 4.0, "grace-to-answer": 0.016},
        "family-info": {"groups": True, "message-aim": [0.06], "mode": "proxy", "park": 0.0,
                        "tells-delay": True, "tells-load": True},
        "feedback": {"columns": [], "how": "none"},
        "membership-mode": "ask",
        "models": ["small-2c", "wide-4c"],
        "ordinal": 0,
        "penalties": {"cross-zone": 0.08},
        "service-type": "conn", "stage": 0, "tenants": [], "tick": 0.004, "tiers": ["label-servers"],
        "value-by": "request", "weights": "nominal", "zone": "gent",
        "zones": ["gent", "antwerpen", "luik"],
    }
    base.update(changes)
    return base


# What a line of news says.
NEWS = ("label 3SRT0017265391 printed at desk 4, parcel handed in at point 1180, weight 840 g, carrier took it over "
        "at 11:42, on its way to the sorting centre, expected back at the shop on Friday before noon")


class LabelServer:
    """A sound label server: `UP` for a first line, and a line back at once for each line of a client.

    `news` is the interval in seconds between the lines of news that it pushes to each connection, if any.
    `write_pieces` decides in which pieces the bytes of a connection leave.
    """

    def __init__(self, record, name, zone="gent", weight=2.0, news=None, pieces=False, store=None):
        self.record, self.name, self.zone, self.weight = record, name, zone, weight
        self.news, self.pieces, self.store = news, pieces, store
        self.status, self.since_ms = "ready", 0
        self.opens = []          # (time, first line)
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def entry(self, status=None):
        return {"name": self.name, "address": self.address, "zone": self.zone, "type": "small-2c", "group": 0,
                "status": status or self.status, "weight": self.weight, "since_ms": self.since_ms}

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self._connection(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            with contextlib.suppress(Exception):
                writer.close()

    async def _connection(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            return
        words = line.split()
        self.record(f"{self.name} got {line!r}")
        self.opens.append((time.monotonic(), line.decode()))
        if words[0] != b"OPEN":
            writer.write(b"NO\r\n")
            return
        request = words[1].decode()
        if self.store:
            await self.store.call()
        out = Outgoing(writer, self.pieces, request)
        out.line(f"UP {self.name}-{request}")
        out.flush_all()
        pushing = asyncio.create_task(self._push(request, out)) if self.news else None
        try:
            while True:
                line = await reader.readline()
                if not line:
                    self.record(f"{self.name} {request}: the proxy ended the connection")
                    return
                out.line("GOT " + line.decode().strip())
                if not self.pieces:
                    out.flush_all()
        finally:
            if pushing:
                pushing.cancel()

    async def _push(self, request, out):
        number = 0
        while True:
            await asyncio.sleep(self.news)
            number += 1
            out.line(f"NEWS {number} for {request}: " + NEWS)
            out.flush()


class Store:
    """A session store that all label servers call for each new connection. It takes the calls in turn; one that
    has been sent is carried out, whether or not its caller still waits."""

    def __init__(self, calls_a_second):
        self.seconds_a_call, self.slowness, self.turn = 1 / calls_a_second, 1.0, asyncio.Lock()

    async def call(self):
        return await asyncio.shield(asyncio.ensure_future(self._carry_out()))

    async def _carry_out(self):
        async with self.turn:
            await asyncio.sleep(self.seconds_a_call * self.slowness)


class Outgoing:
    """The bytes that a label server has for a connection. In pieces, they are cut at a random byte of the
    last line, as a stream may be cut anywhere; the rest goes with the next piece."""

    def __init__(self, writer, pieces, seed):
        self.writer, self.pieces, self.pending = writer, pieces, b""
        self.random = random.Random(seed)

    def line(self, text):
        self.pending += text.encode() + b"\r\n"

    def flush_all(self):
        if not self.writer.is_closing():
            self.writer.write(self.pending)
        self.pending = b""

    def flush(self):
        if not self.pieces:
            return self.flush_all()
        last = self.pending.rstrip(b"\r\n").rfind(b"\n") + 1
        cut = self.random.randint(last, len(self.pending))
        piece, self.pending = self.pending[:cut], self.pending[cut:]
        if not self.writer.is_closing():
            self.writer.write(piece)


class Discovery:
    """Discovery over HTTP/1.1: the whole list, and long polls for changes."""

    def __init__(self, record, name, servers, index=41):
        self.record, self.name, self.servers, self.index = record, name, servers, index
        self.changes = []            # (index, entry)
        self.changed = asyncio.Event()
        self.whole_lists = False     # a watch is answered with the whole list
        self.wait = 0.0              # how long the first call of a connection waits its turn
        self.connections = set()
        self.calls = 0
        self.told = []               # (time, index, names with status) of each answer with content

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def publish(self, server, status):
        """Changes the status of a label server in the list."""
        server.status = status
        self.index += 1
        self.changes.append((self.index, server.entry()))
        self.record(f"{self.name} has {server.name} {status} as version {self.index}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def leave(self):
        """No longer named in the configuration: takes no new connection, and closes the open ones after 1.5 s."""
        self.server.close()
        open_ones = list(self.connections)
        await asyncio.sleep(1.5)
        self.record(f"{self.name} closes the connections that were open when the configuration changed")
        for writer in open_ones:
            writer.close()

    async def come_back(self):
        """Named in the configuration again: takes connections at the same address."""
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            wait = self.wait
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1].decode()
                self.calls += 1
                self.record(f"{self.name} called: {path}")
                await asyncio.sleep(wait)
                await self._answer(writer, path)
                wait = 0
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def _answer(self, writer, path):
        query = dict(part.split("=") for part in path.partition("?")[2].split("&") if part)
        snapshot = "from" not in query
        if not snapshot:
            since, until = int(query["from"]), time.monotonic() + int(query.get("hold_ms", 0)) / 1000
            while self.index <= since and (left := until - time.monotonic()) > 0:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left)
            entries = [entry for index, entry in self.changes if index > since]
            snapshot = self.whole_lists and bool(entries)
        if snapshot:
            entries = [server.entry() for server in self.servers if server.status != "gone"]
        body = json.dumps({"index": self.index, "snapshot": snapshot, "endpoints": entries}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                     % len(body) + body)
        statuses = " ".join(f"{entry['name']}={entry['status']}" for entry in entries)
        if entries:
            self.told.append((time.monotonic(), self.index, statuses))
        self.record(f"{self.name} wrote {'the whole list' if snapshot else 'changes'}, version {self.index}: "
                    f"{statuses or 'none'}")


class Proxy:
    """A proxy, started with the `run` command of the deploy file."""

    running = []                 # every one that was started, for the end of the case

    def __init__(self, record, folder, name, discovery, servers, port=None, console=None, **changes):
        self.record, self.folder, self.name = record, folder, name
        self.port = port or free_port()
        self.console = console
        self.config = {
            "name": name, "listen": f"127.0.0.1:{self.port}", "discovery": discovery.address,
            "seed": "%016x" % (hash(name) & 0xFFFFFFFF),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"index": discovery.index, "snapshot": True,
                      "endpoints": [server.entry() for server in servers]},
            "settings": settings(**changes),
        }
        if console:
            self.config["console"] = f"127.0.0.1:{console}"
        self.path = os.path.join(folder, f"{name}-{console or 0}.json")
        self.tmp = os.path.join(folder, f"tmp-{name}")
        os.makedirs(self.tmp, exist_ok=True)
        self.write_config()

    def write_config(self):
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(self.path + ".new", self.path)

    async def start(self):
        environment = {**os.environ, "LB_CONFIG": self.path, "LB_NAME": self.name, "TMPDIR": self.tmp,
                       "LB_LISTEN": self.config["listen"], "LB_DISCOVERY": self.config["discovery"]}
        if self.console:
            environment["LB_CONSOLE"] = self.config["console"]
        self.log = open(os.path.join(self.folder, f"log-{self.name}-{self.console or 0}.txt"), "w")
        # Not cancelled half-way: a process that exists is entered here, whatever ends the case.
        starting = asyncio.ensure_future(asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy("run"), cwd=ROOT, env=environment, stdout=self.log, stderr=self.log))
        Proxy.running.append((self, starting))
        self.process = await asyncio.shield(starting)
        self.record(f"started {self.name}, process {self.process.pid}, at port {self.port}")
        return self

    async def ready(self):
        """Waits until the proxy answers PING."""
        for _ in range(300):
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 3)
                writer.close()
                if line == b"PONG\r\n":
                    return self
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")

    def signal(self, which):
        self.record(f"{signal.Signals(which).name} to {self.name}, process {self.process.pid}")
        self.process.send_signal(which)

    def reload(self, discovery):
        """Replaces the configuration by one that names this discovery, and sends SIGHUP."""
        self.config["discovery"] = discovery.address
        self.write_config()
        self.record(f"the configuration of {self.name} names {discovery.name} at {discovery.address}")
        self.signal(signal.SIGHUP)

    async def stop(self, starting):
        process = await starting
        if process.returncode is None:
            process.kill()
        await process.wait()
        self.log.close()


class Client:
    """A usual client: one first line, then a line every two seconds until the connection ends."""

    number = 0

    def __init__(self, record, proxy, key=None, group=None, wait_ms=4800, kind="status-feed"):
        Client.number += 1
        self.record, self.proxy, self.wait_ms, self.kind = record, proxy, wait_ms, kind
        self.id = "%016x" % (0xC0FFEE0000 + Client.number)
        self.key = key or "%016x" % (0x7F3A9C0000 + Client.number * 7919)
        self.group = group or self.key
        self.answer, self.end, self.lines, self.moved = None, None, [], False
        self.up_at = self.ended_at = self.last_line_at = self.sent_at = self.answered_at = None
        self.partial = b""

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.proxy.port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        line = f"OPEN {self.id} {self.key} c={self.kind},d={self.wait_ms},g={self.group}"
        self.writer.write(line.encode() + b"\r\n")
        self.sent_at = time.monotonic()
        self.record(f"client {self.id} sent to {self.proxy.name}: {line}")
        try:
            answer = await asyncio.wait_for(self.reader.readline(), self.wait_ms / 1000 + 0.55)
            self.answer = answer.decode().strip() or "closed with no answer"
        except asyncio.TimeoutError:
            self.answer = "no answer"
        except ConnectionError as error:
            self.answer = f"{type(error).__name__} with no answer"
        self.answered_at = time.monotonic()
        self.record(f"client {self.id} got: {self.answer}")
        if self.answer.startswith("UP"):
            self.up_at = time.monotonic()
        else:
            self.writer.close()
        return self

    async def live(self):
        """Holds the connection until it ends."""
        sending = asyncio.create_task(self._send())
        received = b""
        try:
            while True:
                data = await self.reader.read(65536)
                if not data:
                    self.end = "end"
                    break
                received += data
                *whole, received = received.split(b"\r\n")
                for line in whole:
                    self.lines.append(line.decode())
                    self.last_line_at = time.monotonic()
                    if line == b"MOVE":
                        self.moved = True
                self.partial = received
        except ConnectionError:
            self.end = "reset"
        self.ended_at = time.monotonic()
        sending.cancel()
        self.record(f"client {self.id}: {self.end} after {len(self.lines)} lines, "
                    f"{'with' if self.moved else 'without'} MOVE; last line {self.lines[-1:]}, "
                    f"then {self.partial!r}")
        with contextlib.suppress(Exception):
            self.writer.close()
        return self

    async def _send(self):
        number = 0
        while True:
            await asyncio.sleep(2.0)
            number += 1
            self.writer.write(f"STILL {number}\r\n".encode())


async def call(record, proxy, method, path):
    """An operator's call at the console of a proxy. Returns the status, or 0 if nobody answers."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy.console)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {proxy.name}\r\n\r\n".encode())
        status = int((await asyncio.wait_for(reader.read(), 2)).split(b" ")[1])
        writer.close()
    except (OSError, asyncio.TimeoutError):
        status = 0
    record(f"{method} {path} at port {proxy.console}: {status}")
    return status


async def request(record, proxy, clients, **details):
    """A client that opens a connection and holds it; it is entered in `clients`."""
    client = Client(record, proxy, **details)
    clients.append(client)
    try:
        await client.open()
    except OSError as error:
        client.answer = f"could not connect: {type(error).__name__}"
        return
    if client.up_at:
        await client.live()


async def traffic(record, proxy, clients, every, **details):
    """Clients that come one after the other, until cancelled."""
    tasks = []
    try:
        while True:
            tasks.append(asyncio.create_task(request(record, proxy, clients, **details)))
            await asyncio.sleep(every)
    finally:
        for task in tasks:
            task.cancel()


def run(case_file, main):
    """Runs a case in its folder and exits with its result."""
    folder = os.path.dirname(os.path.abspath(case_file))
    record = Record(folder)
    work = tempfile.mkdtemp(prefix="review-")
    proxies = []

    async def guarded():
        # A script that is told to end still ends what it has started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(main(record, work, proxies), 110)
        finally:
            for proxy, starting in Proxy.running:
                with contextlib.suppress(Exception):
                    await proxy.stop(starting)

    try:
        record(f"TROUBLE={int(TROUBLE)}")
        broken = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError) as error:  # the case itself failed
        record(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(COULD_NOT_RUN)
    finally:
        if os.environ.get("KEEP"):
            print(work)
        else:
            shutil.rmtree(work, ignore_errors=True)
    for line in broken:
        record(f"RULE BROKEN: {line}")
    record(f"{len(broken)} breaches" if broken else "the rule held")
    print("\n".join(broken[:12]) or "the rule held")
    sys.exit(RULE_BROKEN if broken else RULE_HELD)
