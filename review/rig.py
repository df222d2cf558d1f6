"""Stand-ins of clients, pop caches and the journal service, and the start of the program, for the cases of this review.

Only the standard library is used. Everything listens on loopback addresses and free ports. A case writes what was sent,
answered and run into record.txt beside its script.
"""

import ctypes
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, CANT_RUN = 0, 1, 2


def unix_ms():
    return time.time_ns() // 1_000_000


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """Lines with their Unix time, written to record.txt at the end."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.lines = []
        self.lock = threading.Lock()

    def add(self, text):
        with self.lock:
            self.lines.append(f"{time.time():.4f} {text}")

    def say(self, text):
        self.add(text)
        print(text, flush=True)

    def write(self):
        with self.lock, open(self.path, "w") as out:
            out.write("\n".join(self.lines) + "\n")


# ---- settings, as a small deployment has them ----

ZONES = ["south", "east", "office"]
KINDS = ["small-box", "parent", "origin"]


def settings(**changes):
    made = {
        "balancers": 1, "index": 0, "locality": 2, "layer": 0, "family": "edge",
        "dcs": ZONES, "kinds": KINDS, "stages": ["formula-cache"], "projects": [], "membershipMode": "push",
        "classes": [
            {"name": "mix-video", "slo": 500000, "aimStretch": 2.0, "hardLimit": 5000000, "group": "all",
             "idempotency": "free", "importance": 2.0, "lateValue": 0.15, "repeatWindow": 5000000, "stream": False},
            {"name": "formula-card", "slo": 250000, "aimStretch": 2.0, "hardLimit": 3000000, "group": "all",
             "idempotency": "free", "importance": 1.0, "lateValue": 0.2, "repeatWindow": 5000000, "stream": False},
            {"name": "mix-record", "slo": 600000, "hardLimit": 3000000, "group": "all", "idempotency": "guarded",
             "importance": 3.0, "lateValue": 0.0, "repeatWindow": 2000000, "stream": False},
        ],
        "clients": {"marksRetry": True},
        "domain": {
            "canJoin": False, "clientKbPerS": 4200.0, "direct": True, "graceFor": [0, 0, 0], "hubOf": [0, 1, 0],
            "inletKbPerS": [0.0, 0.0, 0.0], "instancesByZone": [0, 0, 1], "lifetimeByClass": [0, 0, 0], "midKind": 1,
            "multiPart": [True, False, False], "notesGiven": "none", "oldCopyWorth": [0.7, 0.7, 0.7], "originKind": 2,
            "parentBreaksAt": 2.0, "parentCold": 21000000, "parentFloor": 0.067, "passOn": [False, False, True],
            "purgeDone": 6000000, "purgeSlack": 1000000, "rootFall": 3000000, "rootFallMultiple": 2.5,
            "siblings": "any", "transitPrice": 0.06,
        },
        "limits": {
            "cancel": True, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "dialTimeout": 400000, "keepalive": 15000000,
            "maxAttempts": 8, "maxOpen": 20000, "maxRetryAfter": 500000, "mayDuplicate": False, "peers": False,
            "probes": False, "retryAfter": True, "streamsPerConn": 100,
        },
        "report": {"how": "none", "names": []},
        "rules": {"answerSlack": 8000, "askWithin": 10000000, "coldFrom": 0.17, "fall": 3000000, "fallMultiple": 4.0,
                  "rampTime": 18000000, "stopSendingWithin": 250000},
        "tick": 2000, "weights": "rough", "worthBy": "request", "locality": 2,
    }
    made.update(changes)
    return made


def host(name, address, zone, kind, group=0, status="ready", weight=4, since_ms=0):
    return {"name": name, "address": address, "zone": zone, "type": kind, "group": group, "status": status,
            "weight": weight, "since_ms": since_ms}


# ---- the journal service ----

class Journal:
    """Numbered events by long poll. `told` has, by number, when an answer with the event was first written whole."""

    def __init__(self, record):
        self.record = record
        self.events, self.told = [], {}
        self.change = threading.Condition()
        self.server = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def tell(self, **event):
        with self.change:
            event = {"pos": len(self.events) + 1, **event}
            self.events.append(event)
            self.change.notify_all()
        self.record.add("journal: " + json.dumps(event))
        return event["pos"]

    def known(self):
        with self.change:
            return {"pos": len(self.events), "entries": list(self.events)}

    def _accept(self):
        while True:
            try:
                stream, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(stream,), daemon=True).start()

    def _serve(self, stream):
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = stream.makefile("rb")
        try:
            while True:
                line = reader.readline().decode()
                if not line:
                    return
                while reader.readline() not in (b"\r\n", b""):
                    pass
                query = dict(pair.split("=") for pair in line.split()[1].split("?")[1].split("&"))
                tail, wait = int(query["tail"]), min(int(query["max_wait"]), 5000) / 1000
                with self.change:
                    self.change.wait_for(lambda: len(self.events) > tail, wait)
                    entries, last = self.events[tail:], len(self.events)
                body = json.dumps({"pos": last, "entries": entries}, separators=(",", ":")).encode()
                stream.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                               % len(body) + body)
                for entry in entries:
                    self.told.setdefault(entry["pos"], time.time())
        except (OSError, IndexError, ValueError):
            return
        finally:
            stream.close()


# ---- pop caches, parents and the origin ----

class Ask:
    def __init__(self, path, fields, body, begun):
        _, _, _, self.klass, self.object, part = path.split("/")
        self.part, self.fields, self.body, self.begun = int(part), fields, body, begun

    def field(self, name, default=""):
        return self.fields.get(name.lower(), default)

    @property
    def key(self):
        return (self.klass, self.object, self.part)


class Cache:
    """One that speaks HTTP/1.1, one request at a time on a connection. `answer(cache, ask, connection)` writes the
    answer and returns False to close."""

    def __init__(self, name, answer):
        self.name, self.answer, self.taken = name, answer, 0
        self.server = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = "127.0.0.1:%d" % self.server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                stream, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(stream,), daemon=True).start()

    def _serve(self, stream):
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = stream.makefile("rb")
        try:
            while True:
                line = reader.readline().decode()
                if not line:
                    return
                begun, fields = time.time(), {}
                while True:
                    head = reader.readline().decode().rstrip("\r\n")
                    if not head:
                        break
                    name, value = head.split(": ", 1)
                    fields[name.lower()] = value
                length = int(fields.get("content-length", "0"))
                body = reader.read(length) if length else b""
                self.taken += 1
                if self.answer(self, Ask(line.split()[1], fields, body, begun), stream) is False:
                    return
        except (OSError, ValueError):
            return
        finally:
            try:
                stream.close()
            except OSError:
                pass


def reply(status, body=b"", **fields):
    reason = {200: "OK", 304: "Not Modified", 404: "Not Found", 500: "Error", 503: "Full", 504: "Over"}[status]
    lines = ["HTTP/1.1 %d %s" % (status, reason)]
    lines += ["%s: %s" % (name.replace("_", "-"), value) for name, value in fields.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# ---- clients ----

def pack_text(text):
    data = text.encode()
    return (bytes([0xA0 | len(data)]) if len(data) < 32 else b"\xd9" + bytes([len(data)])) + data


def pack_bin(data):
    return (b"\xc4" + bytes([len(data)]) if len(data) < 256 else b"\xc5" + struct.pack(">H", len(data))) + data


def pack_call(number, klass, fields, body=b""):
    out = b"\x94\x00\xce" + struct.pack(">I", number) + pack_text(klass) + (b"\x92" if klass != "isWell" else b"\x91")
    out += bytes([0x80 | len(fields)])
    for name, value in fields.items():
        out += pack_text(name) + pack_text(value)
    return out + (pack_bin(body) if klass != "isWell" else b"")


class Unreadable(Exception):
    pass


def unpack(read):
    """One MessagePack value; `read(n)` gives n bytes or raises EOFError."""
    mark = read(1)[0]
    if mark < 0x80:
        return mark
    if mark < 0x90:
        return {unpack(read): unpack(read) for _ in range(mark & 15)}
    if mark < 0xA0:
        return [unpack(read) for _ in range(mark & 15)]
    if mark < 0xC0:
        return read(mark & 31).decode()
    if mark == 0xC0:
        return None
    if mark in (0xC2, 0xC3):
        return mark == 0xC3
    if mark in (0xC4, 0xC5, 0xC6):
        width = {0xC4: 1, 0xC5: 2, 0xC6: 4}[mark]
        return read(int.from_bytes(read(width), "big"))
    if mark in (0xCC, 0xCD, 0xCE, 0xCF):
        return int.from_bytes(read({0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8}[mark]), "big")
    if mark in (0xD9, 0xDA):
        return read(int.from_bytes(read(mark - 0xD8), "big")).decode()
    raise Unreadable("mark %02x" % mark)


class Call:
    """One request of a client, and how it ended: served, shed, error, or None where nothing came."""

    def __init__(self, klass, fields, number):
        self.klass, self.fields, self.number = klass, fields, number
        self.sent = time.time()
        self.ended = self.end = self.body = self.told = None
        self.done = threading.Event()

    def finish(self, end, body=None, told=None):
        if self.end is None:
            self.end, self.body, self.told, self.ended = end, body, told, time.time()
            self.done.set()


class Client:
    """One connection. `rate` bounds how fast it reads (bytes a second)."""

    def __init__(self, address, rate=None, receive_buffer=None):
        host_, port = address.split(":")
        self.stream = socket.socket()
        if receive_buffer:
            self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.stream.settimeout(5)
        self.stream.connect((host_, int(port)))
        self.stream.settimeout(None)
        self.name = "%s:%d" % self.stream.getsockname()
        self.stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.rate, self.number, self.open, self.lock = rate, 0, {}, threading.Lock()
        self.twice, self.closed, self.fault, self.bytes_read = 0, None, None, 0
        self.begun = time.time()
        threading.Thread(target=self._read, daemon=True).start()

    def call(self, klass, fields, body=b""):
        with self.lock:
            self.number += 1
            call = Call(klass, fields, self.number)
            self.open[self.number] = call
            try:
                self.stream.sendall(pack_call(self.number, klass, fields, body))
                call.sent = time.time()
            except OSError as error:
                call.finish("unsent", told=str(error))
        return call

    def _bytes(self, count):
        out = bytearray()
        while len(out) < count:
            if self.rate:
                # What could have been read by now, at this pace from the first byte on.
                while True:
                    allowed = int((time.time() - self.begun) * self.rate) - self.bytes_read
                    if allowed >= 1:
                        break
                    time.sleep(0.002)
                piece = self.stream.recv(min(count - len(out), allowed, 16384))
            else:
                piece = self.stream.recv(min(count - len(out), 262144))
            if not piece:
                raise EOFError
            self.bytes_read += len(piece)
            out += piece
        return bytes(out)

    def _read(self):
        try:
            while True:
                kind, number, error, result = unpack(self._bytes)
                call = self.open.get(number)
                if kind != 1 or call is None or call.end is not None:
                    self.twice += 1
                    continue
                if error is not None:
                    call.finish("shed" if error[0] == "Shed" else "error", told=error)
                else:
                    call.finish("served", body=result[0], told=result[1])
        except (EOFError, OSError, Unreadable, ValueError) as error:
            self.fault = repr(error)
        self.closed = time.time()

    def close(self):
        try:
            self.stream.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.stream.close()


def new_id():
    return "%016x" % random.getrandbits(64)


def fields_of(object_, wait_ms, part=0, group=0, size_kb=20.0, key=None):
    made = {"i": new_id(), "d": str(wait_ms), "o": object_, "nth": str(part), "batch": str(group), "m": "%.1f" % size_kb}
    if key:
        made["k"] = key
    return made


# ---- the program ----

LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def end_with_the_test():
    """In the new process: the system ends it once the test is gone, also where that was killed."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Proxy:
    """The program, started by the deploy file's `run` through /bin/sh, as the platform does."""

    def __init__(self, config, folder, name="n0", arguments="", tmpdir=None, log=None):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as deploy:
            run = tomllib.load(deploy)["run"]
        self.config_path = os.path.join(folder, "config-%s.json" % new_id())
        with open(self.config_path, "w") as out:
            json.dump(config, out)
        self.tmpdir = tmpdir or tempfile.mkdtemp(dir=folder)
        env = {"PATH": os.environ.get("PATH", ""), "GW_NAME": name, "GW_LISTEN": config["listen"],
               "GW_CONFIG": self.config_path, "TMPDIR": self.tmpdir}
        if "operator" in config:
            env["GW_OPERATOR"] = config["operator"]
        self.listen = config["listen"]
        self.log_path = log or os.path.join(folder, "log-%s.txt" % new_id())
        self.log = open(self.log_path, "w")
        self.process = subprocess.Popen(["/bin/sh", "-c", run + arguments], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log, preexec_fn=end_with_the_test)

    def wait_ready(self, seconds=20):
        until = time.time() + seconds
        while time.time() < until and self.process.poll() is None:
            try:
                client = Client(self.listen)
                call = client.call("isWell", {})
                if call.done.wait(1) and call.end == "served" and call.body is True:
                    client.close()
                    return True
                client.close()
            except OSError:
                pass
            time.sleep(0.05)
        return False

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()

    def log_text(self):
        with open(self.log_path) as log:
            return log.read()


def config_of(journal, listen=None, memory_mb=192, sockets=1024, **more):
    made = {"name": "n0", "listen": listen or "127.0.0.1:%d" % free_port(), "seed": "%016x" % random.getrandbits(64),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}, "journal": journal.address,
            "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000, "known": journal.known(), "settings": settings()}
    made.update(more)
    return made


class Stopped(Exception):
    """Somebody ends the test."""


def stop(number, frame):
    raise Stopped("signal %d" % number)


def main(folder, case):
    """Runs `case(record, work, started)` with a temporary folder; its result is the exit status. All that was started is
    ended, also where the test is told to end."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, stop)
    record = Record(folder)
    work = tempfile.mkdtemp(prefix="foldmux-review-")
    started = []
    try:
        if not os.path.exists(os.path.join(ROOT, "target", "release", "foldmux")):
            record.say("can't run: target/release/foldmux is not built")
            return CANT_RUN
        result = case(record, work, started)
    except Exception:  # noqa: BLE001 - whatever fails in a stand-in, the case could not run
        record.say("can't run: " + traceback.format_exc())
        result = CANT_RUN
    finally:
        for proxy in started:
            proxy.end()
        for n, proxy in enumerate(started):
            for line in proxy.log_text().splitlines()[-40:]:
                record.add("log of process %d: %s" % (n, line))
        shutil.rmtree(work, ignore_errors=True)
        record.write()
    return result
