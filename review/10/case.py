"""The journal service is down for 8 s while six in ten of 3,200 pop caches are replaced; one of the office's own begins to drain."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-2"))
from rig2 import Load, Proxy, TROUBLE, objects, play, unix_ms

# rules.stopSendingWithin, and what the rules on sockets add to it.
WITHIN = 250 + 50
# Whatever the journal service has to tell counts as told no later than this after.
TOLD = 7000
# Pop caches in the list; how many of them are replaced; in how many seconds; how long the journal service is down.
LISTED, REPLACED, RELEASE_S, DOWN_S = 3200, 0.6, 7.0, 8.0


def elsewhere(number):
    """A pop cache of another office: its entry alone, as this edge proxy has no business with it. Nobody listens there."""
    return {"name": "s-%08x" % (0x20000000 + 2654435 * number), "address": "127.1.%d.%d:7001" % (number // 250, 1 + number % 250),
            "zone": "edge-2", "type": "small-box", "group": number // 4, "status": "ready", "weight": 4, "since_ms": 0}


async def drive(rig):
    for n in range(3):
        await rig.server("s-%08x" % (0xC41F70 + n), "small-box", "edge-1", cell=1000 + n)
    await rig.server("s-00a00001", "parent", "north", cell=2000)
    await rig.server("s-00b00001", "origin", "south", cell=2001)
    others = [elsewhere(n) for n in range(LISTED - 3)]
    await rig.journal.up()
    rig.journal.hosts(rig.servers + others, snapshot=True, quiet=True)
    proxy = Proxy(rig, "n0")
    proxy.write(rig.config(proxy))
    proxy.start()
    await proxy.ready()
    load = Load(rig, proxy, "formula-card", objects(60), 30).start()
    await asyncio.sleep(3)

    if TROUBLE:
        await rig.journal.down()
    down_at = asyncio.get_event_loop().time()
    replaced = others[:int(LISTED * REPLACED)]
    # The release: each drains, is gone, and another one takes its address.
    for n, old in enumerate(replaced):
        rig.journal.hosts([dict(old, status="draining")], quiet=True)
        rig.journal.hosts([dict(old, status="gone")], quiet=True)
        new = dict(old, name="s-%08x" % (0x70000000 + 1640531 * n), since_ms=int(unix_ms()))
        rig.journal.hosts([new], quiet=True)
        if n % 16 == 15:
            await asyncio.sleep(RELEASE_S / (len(replaced) / 16) - 0.001)
    drained = rig.servers[0]
    drained.status = "draining"
    event = rig.journal.hosts([drained])
    at = unix_ms()
    await asyncio.sleep(max(0.0, DOWN_S - (asyncio.get_event_loop().time() - down_at)))
    if TROUBLE:
        await rig.journal.up()
    up_at = unix_ms()
    rig.record.note("journal_up")
    # From its return on it has to tell what it holds at once; no later than 7 s after, that counts as told.
    await asyncio.sleep(20)
    words = await load.stop()
    bound = up_at + TOLD + WITHIN
    late = [came for came, server, request in rig.attempts if came > bound
            and (server is drained or request["fields"].get("x-fill-from") == drained.name)]
    before = sum(1 for came, server, _ in rig.attempts if server is drained and came < at)
    if before == 0 or not proxy.running():
        raise RuntimeError("the pop cache was not in use, or the edge proxy has ended")
    first = rig.journal.told.get(event)
    return not late, ("%d requests to %s later than %d ms after the journal service was back (%d before it drained); it was first "
                      "told in an answer %s ms after the return; answers %s"
                      % (len(late), drained.name, TOLD + WITHIN, before, first and int(first - up_at), words))


play(os.path.dirname(os.path.abspath(__file__)), drive)
