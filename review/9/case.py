"""A configuration file without the key `journal` arrives with SIGHUP; then a pop cache drains."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-2"))
from rig2 import Load, TROUBLE, objects, office, play, unix_ms

# rules.stopSendingWithin, and what the rules on sockets add to it.
WITHIN = 250 + 50
# Whatever the journal service has to tell counts as told no later than this after.
TOLD = 7000


async def drive(rig):
    proxy = await office(rig)
    load = Load(rig, proxy, "formula-card", objects(60), 40).start()
    await asyncio.sleep(3)
    config = rig.config(proxy)
    if TROUBLE:
        del config["journal"]
    proxy.write(config)
    proxy.signal(signal.SIGHUP)
    await asyncio.sleep(5)
    drained = rig.servers[0]
    drained.status = "draining"
    event = rig.journal.hosts([drained])
    at = unix_ms()
    await asyncio.sleep(14)
    words = await load.stop()
    bound = min(rig.journal.told.get(event, at + TOLD), at + TOLD) + WITHIN
    late = [came for came, server, request in rig.attempts if came > bound
            and (server is drained or request["fields"].get("x-fill-from") == drained.name)]
    before = sum(1 for came, server, _ in rig.attempts if server is drained and came < at)
    if before == 0 or not proxy.running():
        raise RuntimeError("the pop cache was not in use, or the edge proxy has ended")
    last = (max(late) - at) / 1000 if late else 0
    return not late, ("%d requests to %s later than %d ms after it was told to drain (the last %.1f s after it; %d before); "
                      "answers %s; polls answered %d" % (len(late), drained.name, bound - at, last, before, words, rig.journal.polls))


play(os.path.dirname(os.path.abspath(__file__)), drive)
