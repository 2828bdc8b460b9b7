"""Stand-ins for the platform round one proxy, for the cases of this folder: discovery, label servers and clients.

Everything runs in one asyncio loop, on loopback addresses and the real clock. The stand-ins do what the protocol
page says of a sound party; what a case changes about one of them is an attribute that the case sets.
"""
import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SLACK = 0.05  # "every time limit is 50 ms longer"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """What was sent, answered and run, one line each, with the seconds since the start of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)
        self.started = time.time()

    def note(self, text):
        self.file.write(f"{time.time() - self.started:9.4f} {text}\n")


def free_port():
    """A port that nobody listens on, below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(15000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


def settings(**changes):
    """Settings like those of a small deployment that asks for its list and reads no reports."""
    base = {
        "balancers": 3,
        "zone": "a",
        "zones": ["a"],
        "membership-mode": "ask",
        "weights": "nominal",
        "bounds": {"max-attempts": 4, "connect-timeout": 0.2, "retry-after": True, "max-retry-after": 2.0,
                   "may-probe": False, "second-copies": False, "cancel": True},
        "classes": [{"name": "feed", "target": 0.8, "deadline": 4.8, "effect": "repeatable", "group": "all",
                     "window": 5.0, "worth": 1.0, "stream": True, "late-share": 0.0}],
        "contract": {"ask-within": 10.0, "cold": 9.0, "cold-from": 0.3, "drain-grace": 1.0, "fall": 1.5,
                     "fall-multiple": 4.0, "grace-to-answer": 0.016},
        "family-info": {"groups": False, "message-aim": [0.06], "mode": "proxy"},
        "feedback": {"columns": [], "how": "none"},
        "penalties": {"cross-zone": 0.0},
        "tenants": [],
    }
    base.update(changes)
    return base


class Discovery:
    """Discovery at one address: the list, its changes, and watches. Calls that open a watch wait their turn."""

    def __init__(self, store, record, name="discovery"):
        self.store, self.record, self.name = store, record, name
        self.open_wait = 0.0  # how long a call that opens a watch, or asks for the list, waits for its turn
        self.open_fails = False  # such a call has waited too long then, and ends with 503
        self.whole_lists = False  # answers watches with the whole list, as the page allows, in place of what changed
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def move_away(self):
        """A new configuration names another address: no new connection, and the open ones end after 1.5 s."""
        self.server.close()
        open_now = list(self.writers)
        asyncio.get_running_loop().call_later(1.5, lambda: [writer.close() for writer in open_now])

    async def come_back(self):
        """A new configuration names this address again."""
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        last_answer = None
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                query = dict(re.findall(r"(\w+)=(\d+)", target))
                goes_on = last_answer is not None and time.time() - last_answer < 0.2
                self.record.note(f"{self.name}: call {target} {'goes on' if goes_on else 'opens'}")
                if not goes_on and self.open_wait:
                    await asyncio.sleep(self.open_wait)
                    if self.open_fails:
                        self.record.note(f"{self.name}: 503 to {target}")
                        writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                        await writer.drain()
                        last_answer = None
                        continue
                if "from" in query:
                    start = int(query["from"])
                    await self.store.newer(start, min(int(query.get("hold_ms", "0")), 60000) / 1000)
                    body = self.store.snapshot() if self.whole_lists else self.store.delta(start)
                else:
                    body = self.store.snapshot()
                if writer.is_closing() or reader.at_eof():  # nobody is there to be told
                    return
                data = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(data)
                             + data)
                last_answer = time.time()
                changes = [(entry["name"], entry["status"]) for entry in body["endpoints"]]
                self.record.note(f"{self.name}: answer to {target}: index {body['index']}, {changes}")
                for name, status in changes:
                    self.store.told.setdefault((name, status), last_answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The list of label servers and its versions."""

    def __init__(self, entries):
        self.index, self.entries, self.history = 1, {e["name"]: e for e in entries}, []
        self.changed = asyncio.Condition()
        self.told = {}  # when (name, status) was first written to the proxy

    async def publish(self, name, **changes):
        self.index += 1
        entry = {**self.entries[name], **changes}
        self.history.append((self.index, entry))
        self.entries[name] = entry
        async with self.changed:
            self.changed.notify_all()

    async def newer(self, start, hold):
        async def wait():
            async with self.changed:
                await self.changed.wait_for(lambda: self.index > start)
        try:
            await asyncio.wait_for(wait(), hold if hold else 0.001)
        except asyncio.TimeoutError:
            pass

    def listed(self):
        return [e for e in self.entries.values() if e["status"] != "gone"]

    def snapshot(self):
        return {"index": self.index, "snapshot": True, "endpoints": self.listed()}

    def delta(self, start):
        newest = {e["name"]: e for index, e in self.history if index > start}
        return {"index": self.index, "snapshot": False, "endpoints": list(newest.values())}


class LabelServer:
    """A label server: answers OPEN with UP and each further line with a line."""

    def __init__(self, name, record, zone="a", cell=1):
        self.name, self.record, self.zone, self.cell = name, record, zone, cell
        self.opened = []  # (time of the first byte, request line)
        self.hangs = False  # takes requests and answers none
        self.answer_after = 0.0
        self.receipts = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def entry(self, status="ready"):
        return {"name": self.name, "address": self.address, "zone": self.zone, "type": "m", "group": self.cell,
                "status": status, "weight": 1.0, "since_ms": 0}

    def stop(self):
        """The process ends: its connections end, and new ones are refused."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            first = await reader.read(1)
            if not first:
                return
            at = time.time()
            line = (first + await reader.readuntil(b"\r\n")).decode().strip()
            if not line.startswith("OPEN "):
                writer.write(b"NO\r\n")
                return
            self.opened.append((at, line))
            self.record.note(f"{self.name}: got {line}")
            if self.answer_after:
                await asyncio.sleep(self.answer_after)
            if self.hangs:
                await reader.read()
                return
            self.receipts += 1
            writer.write(f"UP {self.name}-{self.receipts}\r\n".encode())
            while await reader.readuntil(b"\r\n"):
                writer.write(b"NEWS\r\n")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Proxy:
    """One process of the program, started with the deploy file's command from the root of the repository."""

    def __init__(self, folder, record, label, listen, discovery, known, console=None, config=None, **options):
        self.record, self.label, self.listen, self.console = record, label, listen, console
        self.folder = pathlib.Path(folder)
        self.config_path = self.folder / f"config-{label}.json"
        self.config = {"name": options.get("name", "n1"), "listen": listen, "discovery": discovery,
                       "seed": options.get("seed", "8c1f30d27a5be964"),
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": options.get("sockets", 512)},
                       "known": known, "settings": config or settings()}
        if console:
            self.config["console"] = console
        self.tmp = self.folder / "tmp"
        self.tmp.mkdir(exist_ok=True)

    def write_config(self):
        beside = self.config_path.with_suffix(".new")
        beside.write_text(json.dumps(self.config))
        beside.rename(self.config_path)

    async def start(self):
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {"PATH": os.environ["PATH"], "LB_NAME": self.config["name"], "LB_LISTEN": self.listen,
                       "LB_DISCOVERY": self.config["discovery"], "LB_CONFIG": str(self.config_path),
                       "TMPDIR": str(self.tmp)}
        if self.console:
            environment["LB_CONSOLE"] = self.console
        self.log = open(self.folder / f"log-{self.label}", "wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log,
            stdin=asyncio.subprocess.DEVNULL)
        self.record.note(f"proxy {self.label}: started, process {self.process.pid}")
        return self

    def signal(self, number):
        self.record.note(f"proxy {self.label}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def reload(self, discovery):
        self.config["discovery"] = discovery
        self.write_config()
        self.signal(signal.SIGHUP)

    async def ready(self, limit=10.0):
        """Waits for PONG, as the front does."""
        end = time.time() + limit
        host, port = self.listen.split(":")
        while time.time() < end:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"PING\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line == b"PONG\r\n":
                    self.record.note(f"proxy {self.label}: PONG")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise CouldNotRun(f"proxy {self.label} is not ready")

    async def call(self, method, path, limit=2.0):
        """One call of an operator; the status and the text."""
        host, port = self.console.split(":")
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), limit)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {self.console}\r\nContent-Length: 0\r\n\r\n".encode())
        answer = await asyncio.wait_for(reader.read(), limit)
        writer.close()
        status = int(answer.split(b" ")[1])
        self.record.note(f"operator: {method} {path} at {self.label}: {status}")
        return status, answer.decode(errors="replace")

    async def healthy(self, limit=6.0, every=0.1):
        end = time.time() + limit
        while time.time() < end:
            try:
                if (await self.call("GET", "/healthcheck"))[0] // 100 == 2:
                    return time.time()
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(every)
        raise CouldNotRun(f"proxy {self.label} says no yes")

    async def wait(self, limit):
        try:
            code = await asyncio.wait_for(self.process.wait(), limit)
            self.record.note(f"proxy {self.label}: ended with {code}")
            return code
        except asyncio.TimeoutError:
            return None

    async def end(self):
        if getattr(self, "process", None) and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class CouldNotRun(Exception):
    pass


class Client:
    """A usual client: OPEN, then a line every 2 s. `answer` is the proxy's answer, `ended` how it ended."""

    numbers = iter(range(1, 10**9))

    def __init__(self, record, address, name="feed", deadline_ms=4800, key=None, fields=""):
        self.record, self.address, self.deadline_ms = record, address, deadline_ms
        number = next(self.numbers)
        self.id = f"{number:016x}"
        self.line = f"OPEN {self.id} {key or f'{number * 2654435761 % 2**64:016x}'} c={name},d={deadline_ms}{fields}"
        self.answer = self.ended = self.sent_at = self.answered_at = None
        self.moved = False
        self.lines = []

    async def run(self, stay=3600.0, every=2.0):
        host, port = self.address.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError as error:
            self.ended = f"not connected: {error}"
            return self
        writer.write(self.line.encode() + b"\r\n")
        self.sent_at = time.time()
        self.record.note(f"client {self.id}: sent {self.line}")
        try:
            line = await asyncio.wait_for(reader.readline(), self.deadline_ms / 1000 + 1.0)
            self.answered_at = time.time()
            self.answer = line.decode().strip()
            self.record.note(f"client {self.id}: answer {self.answer!r} after {self.answered_at - self.sent_at:.3f} s")
            if not self.answer.startswith("UP "):
                writer.close()
                return self
            end = time.time() + stay
            next_line = time.time() + every
            while time.time() < end:
                try:
                    line = await asyncio.wait_for(reader.readline(), max(0.001, min(end, next_line) - time.time()))
                except asyncio.TimeoutError:
                    if time.time() >= next_line:
                        next_line += every
                        writer.write(b"MSG\r\n")
                    continue
                if not line:
                    self.ended = "end"
                    break
                self.lines.append((time.time(), line))
                if line == b"MOVE\r\n":
                    self.moved = True
            else:
                self.ended = "left"
        except asyncio.TimeoutError:
            self.ended = "no answer"
        except ConnectionError as error:
            self.ended = f"reset: {error}"
        self.record.note(f"client {self.id}: {self.ended}{' after MOVE' if self.moved else ''}")
        writer.close()
        return self


def run_case(folder, case, limit=110):
    """Runs `case(record, temporary folder, processes)`, which returns the faults as text. Ends all processes."""
    record = Record(folder)

    async def body():
        # Who ends this process also ends what it has started.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        processes, temporary = [], tempfile.mkdtemp(prefix="review-")
        try:
            faults = await asyncio.wait_for(case(record, temporary, processes), limit)
        finally:
            for process in processes:
                await process.end()
            for log in sorted(pathlib.Path(temporary).glob("log-*")):
                for line in log.read_text(errors="replace").splitlines():
                    record.file.write(f"{log.name}: {line}\n")
            shutil.rmtree(temporary, ignore_errors=True)
        return faults

    try:
        faults = asyncio.run(body())
    except (CouldNotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        record.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return COULD_NOT_RUN
    for fault in faults:
        record.note(f"BROKEN: {fault}")
        print(f"BROKEN: {fault}")
    if not faults:
        record.note("the rule held")
        print("the rule held")
    return BROKEN if faults else HELD
