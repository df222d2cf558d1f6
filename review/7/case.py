"""An upgrade under ordinary load, with the least memory that the pages name: what both processes hold together."""

import asyncio
import hashlib
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-2"))
import rig2
from rig2 import Client, Proxy, TROUBLE, objects, office, play, unix_ms

MEMORY_MB, SOCKETS, PER_SECOND, CLIENTS = 32, 256, 170, 24
FLOW = 310000  # bytes a second of one transfer, as in the configuration
PIECE = hashlib.sha256(b"piece").digest() * 7500


def body_of(obj, part, born):
    """20,000 to 240,000 bytes, 130,000 in the mean."""
    number = int(obj, 16)
    head = ("%s/%s/%d " % (obj, part, int(born))).encode()
    return head + PIECE[:20_000 + number * 7919 % 220_001 - len(head)]


def private_kb(proxy):
    """What is this process's alone: no file's pages, and nothing that is shared."""
    try:
        for line in open("/proc/%d/status" % proxy.process.pid):
            if line.startswith("RssAnon:"):
                return int(line.split()[1])
    except OSError:
        pass
    return 0


async def drive(rig):
    rig2.body_of = body_of
    config = rig.config

    def small(proxy, *more):
        made = config(proxy, *more)
        made["limits"].update(memory_mb=MEMORY_MB, sockets=SOCKETS)
        return made

    rig.config = small
    old = await office(rig, operator=True)
    proxies, words, going = [old], {}, [True]
    names = objects(300)

    async def paced(server, request):
        # A transfer to a client runs at no more than the flow of the configuration.
        await asyncio.sleep(len(body_of(request["object"], request["part"], 0)) / FLOW)
        return False

    for server in rig.servers:
        if server.kind == "small-box":
            server.answer = paced

    async def end(one, asked):
        for word, _, _ in await asyncio.gather(*asked):
            words[word] = words.get(word, 0) + 1
        one.close()

    async def client(number):
        turn, ending = number, []
        while going[0]:
            try:
                one = await Client(rig).connect(old.listen)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            asked, until = [], unix_ms() + 1000
            while going[0] and unix_ms() < until and not one.reader.at_eof():
                turn += CLIENTS
                if len(one.open) < 30:
                    asked.append(asyncio.ensure_future(rig.ask(one, "mix-video", names[turn % len(names)], wait_ms=5000,
                                                               size_kb=1700.0)))
                await asyncio.sleep(CLIENTS / PER_SECOND)
            ending.append(asyncio.ensure_future(end(one, asked)))
        await asyncio.gather(*ending)

    peak = [0, []]

    async def watch():
        while True:
            each = [private_kb(proxy) for proxy in proxies if proxy.running()]
            if sum(each) > peak[0]:
                peak[:] = [sum(each), each]
                rig.record.note("memory", sum_kb=sum(each), each_kb="+".join(map(str, each)))
            await asyncio.sleep(0.02)

    watching = asyncio.ensure_future(watch())
    tasks = [asyncio.ensure_future(client(n)) for n in range(CLIENTS)]
    await asyncio.sleep(6)
    alone = peak[0]
    if TROUBLE:
        new = Proxy(rig, "n0", tmpdir=old.tmpdir, operator=True)
        new.listen, new.file = old.listen, old.file
        new.start()
        proxies.append(new)
        started, said = unix_ms(), None
        while said != "done yes" and unix_ms() < started + 6000:
            await asyncio.sleep(0.1)
            try:
                said = await new.call("status")
            except (OSError, asyncio.TimeoutError):
                pass
        if said != "done yes":
            raise RuntimeError("the new process did not say yes")
        await asyncio.sleep(max(0.0, (started + 6000 - unix_ms()) / 1000))
        old.signal(signal.SIGTERM)
        await asyncio.sleep(5)
    else:
        await asyncio.sleep(11)
    going[0] = False
    await asyncio.gather(*tasks)
    watching.cancel()
    if not proxies[-1].running():
        raise RuntimeError("the edge proxy has ended")
    limit = MEMORY_MB * 1024
    rig.record.note("answers", **words)
    return peak[0] <= limit, ("private memory at most %d kB of %d kB (%s; %d before the second process); answers %s"
                              % (peak[0], limit, " + ".join(map(str, peak[1])), alone, words))


play(os.path.dirname(os.path.abspath(__file__)), drive)
