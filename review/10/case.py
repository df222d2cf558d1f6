"""The journal service is slow: each of its answers comes 2 s later than that of a prompt one. A pop cache drains meanwhile."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-2"))
from rig2 import Load, TROUBLE, objects, office, play, unix_ms

# rules.stopSendingWithin, and what the rules on sockets add to it.
WITHIN = 250 + 50
# Whatever the journal service has to tell counts as told no later than this after.
TOLD = 7000
# How much later than a prompt one it answers, in seconds, and for how long it is slow.
SLOW, SLOW_FOR = 2.0, 25


async def drive(rig):
    proxy = await office(rig)
    load = Load(rig, proxy, "formula-card", objects(60), 40).start()
    await asyncio.sleep(3)
    if TROUBLE:
        rig.journal.slow = SLOW
    await asyncio.sleep(4)
    drained = rig.servers[0]
    drained.status = "draining"
    event = rig.journal.hosts([drained])
    at = unix_ms()
    await asyncio.sleep(SLOW_FOR - 4)
    words = await load.stop()
    bound = min(rig.journal.told.get(event, at + TOLD), at + TOLD) + WITHIN
    bound = max(bound, at + TOLD + WITHIN) if TROUBLE else bound
    late = [came for came, server, request in rig.attempts if came > bound
            and (server is drained or request["fields"].get("x-fill-from") == drained.name)]
    before = sum(1 for came, server, _ in rig.attempts if server is drained and came < at)
    if before == 0 or not proxy.running():
        raise RuntimeError("the pop cache was not in use, or the edge proxy has ended")
    last = (max(late) - at) / 1000 if late else 0
    return not late, ("%d requests to %s later than %d ms after it was told to drain (the last %.1f s after it; %d before); "
                      "answers %s; polls that came %d"
                      % (len(late), drained.name, bound - at, last, before, words, rig.journal.polls))


play(os.path.dirname(os.path.abspath(__file__)), drive)
