"""A client writes one request slowly while another of its requests is open at a pop cache that hangs."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-2"))
from rig2 import Client, TROUBLE, objects, office, pack, play, unix_ms

# The longest body of a write (PROTOCOL), and how fast this client writes it (bytes a second).
BODY, PACE = 48_000, 18_000
# A request has to get its final answer within its time and half a second more.
GRACE = 500


async def drive(rig):
    proxy = await office(rig)
    names = objects(8)

    hung = []

    async def hang(server, request):
        # One pop cache hangs in the middle of one piece of work; all are sound otherwise.
        if request["object"] == names[0] and not hung:
            hung.append(server)
            await asyncio.sleep(30)
            return True
        return False

    for server in rig.servers:
        server.answer = hang
    client = await Client(rig).connect(proxy.listen)
    asked = {}

    def send(cls, fields, body):
        number, client.next = client.next, client.next + 1
        client.open[number] = asyncio.get_event_loop().create_future()
        return number, pack([0, number, cls, [fields, body]])

    # 1. An ordinary request, so that the connection is known to work.
    assert (await rig.ask(client, "formula-card", names[1]))[0] == "served"
    # 2. One that hangs at its pop cache.
    fields = rig.fields(names[0], wait_ms=5000, size_kb=2500.0)
    first, message = send("mix-video", fields, b"")
    rig.record.note("request", id=fields["i"], cls="mix-video", number=first, hangs=True)
    client.writer.write(message)
    asked[first] = ("hanging", unix_ms(), 5000)
    await asyncio.sleep(0.2)
    # 3. A write, slowly.
    fields = rig.fields(names[2], wait_ms=3000, size_kb=48.0, key=os.urandom(16).hex())
    second, message = send("mix-record", fields, b"w" * BODY)
    rig.record.note("request", id=fields["i"], cls="mix-record", number=second, slowly=TROUBLE)
    step = PACE // 20
    began = unix_ms()
    for at in range(0, len(message), step):
        client.writer.write(message[at:at + step])
        await client.writer.drain()
        if client.writer.transport.is_closing() or client.reader.at_eof():
            raise RuntimeError("the connection was ended in the middle of the message")
        if TROUBLE:
            await asyncio.sleep(0.05)
    asked[second] = ("slow", unix_ms(), 3000)
    rig.record.note("written", number=second, after="%.0f" % (unix_ms() - began))
    # 4. And two ordinary ones behind it.
    for name in names[3:5]:
        fields = rig.fields(name, wait_ms=3000)
        number, message = send("formula-card", fields, b"")
        if client.reader.at_eof():
            raise RuntimeError("the connection has ended before the request")
        rig.record.note("request", id=fields["i"], cls="formula-card", number=number)
        client.writer.write(message)
        asked[number] = ("behind", unix_ms(), 3000)
        await asyncio.sleep(0.1)
    waiting = dict(client.open)
    lost, words = [], []
    for number, (what, at, wait) in asked.items():
        future = waiting.get(number)
        left = (at + wait + GRACE - unix_ms()) / 1000.0
        if future is None:
            words.append((what, "answered"))
            continue
        try:
            error, _ = await asyncio.wait_for(asyncio.shield(future), max(left, 0.01))
            word = "lost" if error == "lost" else "served" if error is None else error[0]
        except asyncio.TimeoutError:
            word = "never answered"
        words.append((what, word))
        rig.record.note("answer", number=number, request=what, word=word.replace(" ", "_"))
        if word in ("lost", "never answered"):
            lost.append(what)
    client.close()
    if not proxy.running():
        raise RuntimeError("the edge proxy has ended")
    return not lost, "%d of %d requests that were written whole got no answer; %s" % (len(lost), len(asked), words)


play(os.path.dirname(os.path.abspath(__file__)), drive)
