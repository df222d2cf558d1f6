"""Stand-ins and checks' helpers for the cases 6 to 10: clients, pop caches, parent, origin, journal service, and the edge proxy
as a process of its own, all on loopback addresses and the real clock. Written from the operators' pages alone; where a page is
silent the stand-ins behave like sound ones.

One case is one asyncio program: it builds a Rig, drives it, and returns True where the rule held.
"""

import asyncio
import ctypes
import hashlib
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def unix_ms():
    return time.time() * 1000.0


# ---------------------------------------------------------------- MessagePack, as much as the protocol page needs


def pack(value):
    if value is None:
        return b"\xc0"
    if value is True:
        return b"\xc3"
    if value is False:
        return b"\xc2"
    if isinstance(value, int):
        if value < 0x80:
            return struct.pack("B", value)
        if value < 0x10000:
            return b"\xcd" + struct.pack(">H", value)
        return b"\xce" + struct.pack(">I", value)
    if isinstance(value, str):
        raw = value.encode()
        if len(raw) < 32:
            return struct.pack("B", 0xA0 | len(raw)) + raw
        return b"\xd9" + struct.pack("B", len(raw)) + raw
    if isinstance(value, (bytes, bytearray)):
        if len(value) < 256:
            return b"\xc4" + struct.pack("B", len(value)) + value
        return b"\xc6" + struct.pack(">I", len(value)) + value
    if isinstance(value, (list, tuple)):
        return struct.pack("B", 0x90 | len(value)) + b"".join(pack(v) for v in value)
    if isinstance(value, dict):
        return struct.pack("B", 0x80 | len(value)) + b"".join(pack(k) + pack(v) for k, v in value.items())
    raise TypeError(value)


async def unpack(reader):
    """One value from a stream."""
    mark = (await reader.readexactly(1))[0]

    async def number(fmt):
        return struct.unpack(fmt, await reader.readexactly(struct.calcsize(fmt)))[0]

    async def items(count):
        return [await unpack(reader) for _ in range(count)]

    async def pairs(count):
        flat = await items(2 * count)
        return dict(zip(flat[::2], flat[1::2]))

    async def text(count):
        return (await reader.readexactly(count)).decode()

    if mark < 0x80:
        return mark
    if mark < 0x90:
        return await pairs(mark & 0x0F)
    if mark < 0xA0:
        return await items(mark & 0x0F)
    if mark < 0xC0:
        return await text(mark & 0x1F)
    if mark >= 0xE0:
        return mark - 256
    simple = {0xC0: None, 0xC2: False, 0xC3: True}
    if mark in simple:
        return simple[mark]
    if mark in (0xC4, 0xC5, 0xC6):
        return await reader.readexactly(await number({0xC4: ">B", 0xC5: ">H", 0xC6: ">I"}[mark]))
    if mark in (0xD9, 0xDA, 0xDB):
        return await text(await number({0xD9: ">B", 0xDA: ">H", 0xDB: ">I"}[mark]))
    numbers = {0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q", 0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q",
               0xCA: ">f", 0xCB: ">d"}
    if mark in numbers:
        return await number(numbers[mark])
    if mark in (0xDC, 0xDD):
        return await items(await number({0xDC: ">H", 0xDD: ">I"}[mark]))
    if mark in (0xDE, 0xDF):
        return await pairs(await number({0xDE: ">H", 0xDF: ">I"}[mark]))
    raise ValueError("mark %02x" % mark)


# ---------------------------------------------------------------- the record


class Record:
    def __init__(self, path):
        self.file = open(path, "w")
        self.started = unix_ms()

    def note(self, what, **fields):
        words = " ".join("%s=%s" % item for item in fields.items())
        self.file.write("%9.1f %s %s\n" % (unix_ms() - self.started, what, words))

    def close(self):
        self.file.close()


# ---------------------------------------------------------------- what a part's bytes are


def body_of(obj, part, born):
    seed = ("%s/%s/%d" % (obj, part, int(born))).encode()
    return hashlib.sha256(seed).digest() * 40


def tag_of(obj, part, born):
    return hashlib.sha256(("%s/%s/%d" % (obj, part, int(born))).encode()).hexdigest()[:16]


# ---------------------------------------------------------------- pop caches, parents, the origin


class Server:
    """A pop cache, a parent or the origin. Subclasses and hooks change how it answers."""

    def __init__(self, rig, name, kind, zone, cell=0):
        self.rig, self.name, self.kind, self.zone, self.cell = rig, name, kind, zone, cell
        self.copies = {}  # (object, part) -> Unix ms at which the origin gave this copy out
        self.status, self.since_ms, self.weight = "ready", 0, 4
        self.answer = None  # a hook: async (server, request) -> True if it has dealt with the request itself
        self.delay = 0.004
        self.writers = set()
        self.listener, self.port = None, None

    async def listen(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    def endpoint(self):
        return {"name": self.name, "address": self.address, "zone": self.zone, "type": self.kind, "group": self.cell,
                "status": self.status, "weight": self.weight, "since_ms": self.since_ms}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first = await reader.readexactly(1)
                came = unix_ms()
                head = first + await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                _, path, _ = lines[0].split(" ")
                fields = {}
                for line in lines[1:]:
                    if ": " in line:
                        key, value = line.split(": ", 1)
                        fields[key.lower()] = value
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                _, _, _, cls, obj, part = path.split("/")
                request = {"came": came, "class": cls, "object": obj, "part": part, "fields": fields, "body": body,
                           "writer": writer}
                self.rig.attempts.append((came, self, request))
                self.rig.record.note("attempt", at=self.name, cls=cls, object=obj, part=part, id=fields.get("via-id"),
                                     source=fields.get("x-fill-from"), max_age=fields.get("x-max-age-ms"),
                                     flags=fields.get("x-flags"), key=fields.get("via-token"))
                if self.answer is not None and await self.answer(self, request):
                    continue
                await self.ordinary(request)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def ordinary(self, request):
        """The answer of a sound server."""
        await asyncio.sleep(self.delay)
        fields, key = request["fields"], (request["object"], request["part"])
        is_origin, is_write = self.kind == "origin", request["class"] in self.rig.writes
        source = self.rig.by_name.get(fields.get("x-fill-from"))
        if is_write:
            runs = is_origin or (source is not None and source.kind in ("parent", "origin"))
            if not runs:
                return self.reply(request, 404)
            self.rig.run(request)
            return self.reply(request, 200, born=unix_ms(), written=True)
        now = unix_ms()
        if is_origin:
            return self.reply(request, 200, born=int(now))
        born = self.held(key, fields, now)
        if born is None and source is not None:
            shallow = "shallow" in fields.get("x-flags", "")
            born = source.give(key, fields, shallow)
            if born is not None and int(fields.get("x-keep", "0")) > 0:
                self.copies[key] = born
        if born is None:
            return self.reply(request, 404)
        self.reply(request, 200, born=born)

    def held(self, key, fields, now):
        """The copy that will do, if there is one."""
        self.rig.drop_purged(self, key, now)
        born = self.copies.get(key)
        oldest = int(fields.get("x-max-age-ms", "0"))
        if born is None or (oldest and now - born > oldest):
            return None
        return born

    def give(self, key, fields, shallow):
        """What this server gives as the source of a fill."""
        if self.kind == "origin":
            return int(unix_ms())
        born = self.held(key, fields, unix_ms())
        if born is None and not shallow and self.kind == "parent":
            born = self.copies[key] = int(unix_ms())
        return born

    def reply(self, request, status, born=None, written=False, untouched=False):
        obj, part = request["object"], request["part"]
        body = b""
        extra = ""
        if status == 200:
            body = b"written" if written else body_of(obj, part, born)
            extra = 'ETag: "%s"\r\nX-Born-Ms: %d\r\n' % (tag_of(obj, part, born), int(born))
        if untouched:
            extra += "Srv-Untouched: 1\r\n"
        self.rig.record.note("answered", by=self.name, id=request["fields"].get("via-id"), status=status,
                             born=None if born is None else int(born))
        request["status"], request["born"] = status, born
        request["writer"].write(("HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n" % (status, len(body), extra)).encode() + body)


# ---------------------------------------------------------------- the journal service


class Journal:
    """Numbered events by long poll. `down` closes the listener and all connections; `up` listens again at the same address."""

    def __init__(self, rig):
        self.rig, self.entries = rig, []
        self.more = asyncio.Event()
        self.listener, self.port = None, None
        self.writers = set()
        self.told = {}  # number of an event -> Unix ms at which an answer with it was written
        self.polls = 0
        self.slow = 0.0  # seconds by which each answer is later than that of a prompt service

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    async def up(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", self.port or 0, reuse_address=True)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def down(self):
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def add(self, event, quiet=False):
        event = dict({"pos": len(self.entries) + 1}, **event)
        self.entries.append(event)
        if not quiet:
            self.rig.record.note("journal", event=json.dumps(event, separators=(",", ":")))
        more, self.more = self.more, asyncio.Event()
        more.set()
        return event["pos"]

    def hosts(self, servers, snapshot=False, quiet=False):
        index = len(self.entries) + 1
        endpoints = [s if isinstance(s, dict) else s.endpoint() for s in servers]
        return self.add({"hosts": {"index": index, "snapshot": snapshot, "endpoints": endpoints}}, quiet)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                tail, wait = re.match(r"GET /journal\?tail=(\d+)&max_wait=(\d+) ", head).groups()
                tail, wait = int(tail), min(int(wait), 5000) / 1000.0
                self.polls += 1
                until = time.monotonic() + wait
                while len(self.entries) <= tail and time.monotonic() < until:
                    try:
                        await asyncio.wait_for(self.more.wait(), until - time.monotonic())
                    except asyncio.TimeoutError:
                        break
                later = self.entries[tail:]
                if self.slow:
                    await asyncio.sleep(self.slow)
                text = json.dumps({"pos": len(self.entries), "entries": later}, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
                await writer.drain()
                if later:
                    self.rig.record.note("told", first=later[0]["pos"], last=later[-1]["pos"], bytes=len(text))
                for event in later:
                    self.told.setdefault(event["pos"], unix_ms())
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# ---------------------------------------------------------------- clients


class Client:
    """One connection of a client."""

    def __init__(self, rig):
        self.rig, self.next, self.open = rig, 1, {}

    async def connect(self, address):
        host, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.task = asyncio.ensure_future(self.read())
        return self

    async def read(self):
        try:
            while True:
                kind, number, error, result = await unpack(self.reader)
                waiting = self.open.pop(number, None)
                if waiting is not None and not waiting.done():
                    waiting.set_result((error, result))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            for waiting in self.open.values():
                if not waiting.done():
                    waiting.set_result(("lost", None))

    async def ask(self, method, fields, body=b"", wait_ms=None):
        """The answer as (word, body or fields): word is served, same, shed, failed, late or lost; closed where the connection had
        ended before: then nothing is sent."""
        if self.task.done() or self.reader.at_eof():
            return "closed", None
        number, self.next = self.next, self.next + 1
        waiting = self.open[number] = asyncio.get_event_loop().create_future()
        parameters = [fields, body] if method != "isWell" else [fields]
        self.writer.write(pack([0, number, method, parameters]))
        try:
            error, result = await asyncio.wait_for(asyncio.shield(waiting), (wait_ms or 3000) / 1000.0)
        except asyncio.TimeoutError:
            self.open.pop(number, None)
            self.writer.write(pack([2, "forget", [number]]))
            return "late", None
        if error == "lost":
            return "lost", None
        if error is not None:
            return ("shed" if error[0] == "Shed" else "failed"), error[1] if len(error) > 1 else None
        if method == "isWell":
            return "served", result
        return ("same" if result[1].get("ok304") == "1" else "served"), result[0]

    def close(self):
        self.task.cancel()
        self.writer.close()


# ---------------------------------------------------------------- the edge proxy


def die_with_parent():
    """A test that is killed leaves no process behind."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Proxy:
    """One edge proxy, started by the deploy file's `run`."""

    def __init__(self, rig, name, tmpdir=None, operator=False):
        self.rig, self.name = rig, name
        self.tmpdir = tmpdir or tempfile.mkdtemp(dir=rig.folder)
        self.file = os.path.join(rig.folder, "%s.json" % name)
        self.log = os.path.join(rig.folder, "%s-%d.log" % (name, len(rig.proxies)))
        self.listen = "127.0.0.1:%d" % rig.free_port()
        self.operator = "127.0.0.1:%d" % rig.free_port() if operator else None
        self.process = None
        rig.proxies.append(self)

    def write(self, config):
        text = config if isinstance(config, str) else json.dumps(config)
        with open(self.file + ".new", "w") as file:
            file.write(text)
        os.replace(self.file + ".new", self.file)

    def start(self):
        command = re.search(r'^run *= *"(.*?)"', open(os.path.join(ROOT, "deploy/balancer.toml")).read(), re.M).group(1)
        environment = dict(os.environ, GW_NAME=self.name, GW_LISTEN=self.listen, GW_CONFIG=self.file, TMPDIR=self.tmpdir)
        environment.pop("GW_OPERATOR", None)
        if self.operator:
            environment["GW_OPERATOR"] = self.operator
        with open(self.log, "w") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, preexec_fn=die_with_parent,
                                            stdout=subprocess.DEVNULL, stderr=log)
        self.rig.record.note("start", proxy=self.name, listen=self.listen)

    async def ready(self, seconds=30):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                client = await Client(self.rig).connect(self.listen)
                word, result = await client.ask("isWell", {}, wait_ms=1000)
                client.close()
                if word == "served" and result[0] is True:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("%s is not ready" % self.name)

    def signal(self, number):
        self.rig.record.note("signal", proxy=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def call(self, line):
        """One call on the operators' line; its answer, whole."""
        host, port = self.operator.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write((line + "\n").encode())
        answer = (await asyncio.wait_for(reader.readline(), 2)).decode().strip()
        writer.close()
        self.rig.record.note("operator", proxy=self.name, call=line.replace(" ", "_"), answer=answer.replace(" ", "_"))
        return answer

    def running(self):
        return self.process is not None and self.process.poll() is None


SETTINGS = {
    "balancers": 1, "index": 0, "locality": 3, "layer": 0, "tick": 2000, "family": "edge", "stages": ["formula-cache"],
    "charges": {"connection": 0.0, "crossZone": 0.01, "handshake": 0.0, "lateFail": 0.026, "membershipMode": 0.0, "moves": 0.0,
                "origin": 0.08, "peer": 0.0, "probe": 0.0, "waste": 0.16},
    "classes": [
        {"aimStretch": 2.0, "group": "all", "hardLimit": 5000000, "idempotency": "free", "importance": 2.0, "lateValue": 0.15,
         "name": "mix-video", "repeatWindow": 5000000, "slo": 500000, "stream": False},
        {"aimStretch": 2.0, "group": "all", "hardLimit": 3000000, "idempotency": "free", "importance": 1.0, "lateValue": 0.2,
         "name": "formula-card", "repeatWindow": 5000000, "slo": 250000, "stream": False},
        {"group": "all", "hardLimit": 3000000, "idempotency": "guarded", "importance": 3.0, "lateValue": 0.0,
         "name": "mix-record", "repeatWindow": 2000000, "slo": 600000, "stream": False}],
    "clients": {"marksRetry": True},
    "dcs": ["south", "east", "north", "edge-1", "edge-2"],
    "domain": {"canJoin": False, "clientKbPerS": 4200.0, "direct": True, "graceFor": [0, 0, 0], "hubOf": [0, 1, 2, 2, 0],
               "inletKbPerS": [0.0, 0.0, 0.0, 0.0, 0.0], "instancesByZone": [0, 0, 0, 1, 0], "lifetimeByClass": [0, 0, 0],
               "midKind": 1, "multiPart": [True, False, False], "notesGiven": "none", "oldCopyWorth": [0.7, 0.7, 0.7],
               "originKind": 2, "parentBreaksAt": 2.0, "parentCold": 21000000, "parentFloor": 0.067,
               "passOn": [False, False, True], "purgeDone": 6000000, "purgeSlack": 1000000,
               "reportX0": "share of hits, lately", "reportX1": "", "rootFall": 3000000, "rootFallMultiple": 2.5,
               "siblings": "any", "transitPrice": 0.06},
    "goal": {"whole": 0.6, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.2},
    "kinds": ["small-box", "parent", "origin"],
    "limits": {"cancel": True, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "dialTimeout": 400000, "keepalive": 15000000,
               "maxAttempts": 8, "maxOpen": 20000, "maxRetryAfter": 500000, "mayDuplicate": False, "peers": False,
               "probes": False, "retryAfter": True, "streamsPerConn": 100},
    "membershipMode": "push", "overShareWorth": 0.1, "projects": [], "report": {"how": "none", "names": []},
    "rules": {"answerSlack": 8000, "askWithin": 10000000, "coldFrom": 0.17, "fall": 3000000, "fallMultiple": 4.0,
              "rampTime": 18000000, "stopSendingWithin": 250000},
    "weights": "rough", "worthBy": "request",
}


class Rig:
    def __init__(self, case):
        self.case = case
        self.record = Record(os.path.join(case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="foldmux-case-")
        self.proxies, self.servers, self.by_name = [], [], {}
        self.attempts, self.runs, self.purges, self.answers = [], [], [], []
        self.writes = {"mix-record"}
        self.journal = Journal(self)
        self.settings = json.loads(json.dumps(SETTINGS))
        self.purge_done_ms = 6000

    def free_port(self):
        with socket.socket() as s:
            s.bind(("127.0.0.1", 0))
            return s.getsockname()[1]

    async def server(self, name, kind, zone, **more):
        server = Server(self, name, kind, zone, **more)
        await server.listen()
        self.servers.append(server)
        self.by_name[name] = server
        return server

    def drop_purged(self, server, key, now):
        """Old copies may lie about until `purgeDone`; each server drops them a little before."""
        for obj, stamp in self.purges:
            born = server.copies.get(key)
            if born is not None and key[0] == obj and born < stamp and now > stamp + self.purge_done_ms - 500:
                del server.copies[key]

    def purge(self, obj):
        stamp = int(unix_ms())
        self.purges.append((obj, stamp))
        return stamp, self.journal.add({"expire": {"name": obj, "stamp": stamp}})

    def run(self, request):
        fields = request["fields"]
        self.runs.append((unix_ms(), fields.get("via-id"), fields.get("via-token")))
        self.record.note("ran", id=fields.get("via-id"), key=fields.get("via-token"))

    def config(self, proxy, settings=None, known=None):
        known = self.journal.entries if known is None else known
        config = {"name": proxy.name, "listen": proxy.listen, "seed": os.urandom(8).hex(),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "journal": self.journal.address,
                  "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
                  "known": {"pos": len(known), "entries": known}, "settings": settings or self.settings}
        return json.loads(json.dumps(config))

    def fields(self, obj, part=0, wait_ms=3000, size_kb=60.0, batch=1, key=None):
        fields = {"i": os.urandom(8).hex(), "d": str(wait_ms), "o": obj, "nth": str(part), "batch": str(batch),
                  "m": "%.1f" % size_kb}
        if key:
            fields["k"] = key
        return fields

    async def ask(self, client, cls, obj, part=0, wait_ms=3000, key=None, body=b"", size_kb=60.0):
        fields = self.fields(obj, part, wait_ms, size_kb, key=key)
        sent = unix_ms()
        self.record.note("request", id=fields["i"], cls=cls, object=obj, key=key)
        word, got = await client.ask(cls, fields, body, wait_ms + 550)
        self.record.note("answer", id=fields["i"], word=word, after="%.0f" % (unix_ms() - sent))
        self.answers.append((unix_ms(), fields["i"], obj, word, got))
        return word, got, fields["i"]

    async def finish(self):
        for proxy in self.proxies:
            if proxy.running():
                proxy.process.kill()
                proxy.process.wait()
            if os.path.exists(proxy.log):
                for line in open(proxy.log).read().splitlines()[-60:]:
                    self.record.note("log", line=line)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def play(case, drive, seconds=110):
    """Runs a case and exits: 0 held, 1 broken, 2 could not run."""

    async def whole():
        rig = Rig(case)
        try:
            return await asyncio.wait_for(drive(rig), seconds)
        finally:
            await rig.finish()

    # Told to end, it ends its processes first.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        held, text = asyncio.run(whole())
    except BaseException:
        traceback.print_exc()
        sys.exit(2)
    with open(os.path.join(case, "record.txt"), "a") as file:
        file.write("verdict %s: %s\n" % ("held" if held else "BROKEN", text))
    print("%s: %s" % ("held" if held else "BROKEN", text))
    sys.exit(0 if held else 1)


async def office(rig, caches=3, operator=False):
    """A small deployment: one district office with its pop caches, a hub cache, the origin and one edge proxy, ready."""
    for n in range(caches):
        await rig.server("s-%08x" % (0xC41F70 + n), "small-box", "edge-1", cell=n)
    await rig.server("s-00a00001", "parent", "north", cell=100)
    await rig.server("s-00b00001", "origin", "south", cell=101)
    await rig.journal.up()
    rig.journal.hosts(rig.servers, snapshot=True)
    proxy = Proxy(rig, "n0", operator=operator)
    proxy.write(rig.config(proxy))
    proxy.start()
    await proxy.ready()
    return proxy


def objects(count, salt=0):
    return ["%016x" % (0x1000000 + 7919 * n + salt) for n in range(count)]


class Load:
    """Steady requests over some connections until it is stopped."""

    def __init__(self, rig, proxy, cls, names, per_second, connections=2, **more):
        self.rig, self.proxy, self.cls, self.names = rig, proxy, cls, names
        self.pause, self.connections, self.more = connections / per_second, connections, more
        self.going, self.words = True, {}

    async def one(self, number):
        client = await Client(self.rig).connect(self.proxy.listen)
        turn, asked = number, []
        while self.going:
            name = self.names[turn % len(self.names)]
            turn += self.connections
            if len(client.open) < 30:
                asked.append(asyncio.ensure_future(self.count(client, name)))
            await asyncio.sleep(self.pause)
        await asyncio.gather(*asked)
        client.close()

    async def count(self, client, name):
        word, _, _ = await self.rig.ask(client, self.cls, name, **self.more)
        self.words[word] = self.words.get(word, 0) + 1

    def start(self):
        self.tasks = [asyncio.ensure_future(self.one(n)) for n in range(self.connections)]
        return self

    async def stop(self):
        self.going = False
        await asyncio.gather(*self.tasks)
        return self.words
