"""A configuration file without one key of `settings.domain` arrives with SIGHUP; then objects are purged."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-2"))
from rig2 import Load, TROUBLE, objects, office, play, unix_ms

# domain.purgeSlack, and what the rules on sockets add to it.
SLACK = 1000 + 50


async def drive(rig):
    proxy = await office(rig)
    names = objects(30)
    load = Load(rig, proxy, "formula-card", names, 60).start()
    await asyncio.sleep(3)
    config = rig.config(proxy)
    if TROUBLE:
        del config["settings"]["domain"]["purgeDone"]
    proxy.write(config)
    proxy.signal(signal.SIGHUP)
    await asyncio.sleep(3)
    purged = {}
    for name in names[:8]:
        purged[name] = rig.purge(name)
        await asyncio.sleep(1)
    await asyncio.sleep(8)
    words = await load.stop()
    old = []
    for came, server, request in rig.attempts:
        stamp, event = purged.get(request["object"], (None, None))
        told = rig.journal.told.get(event)
        if told is None or request.get("status") != 200 or server.kind == "origin":
            continue
        if came > told + SLACK and request["born"] < stamp:
            old.append((came - told, stamp - request["born"], request["fields"]["via-id"]))
    served = {id: word for _, id, _, word, _ in rig.answers}
    if any(event not in rig.journal.told for _, event in purged.values()) or not proxy.running():
        raise RuntimeError("the purges were not told, or the edge proxy has ended")
    passed_on = sum(1 for _, _, id in old if served.get(id) == "served")
    worst = max(old)[0] / 1000 if old else 0
    return not old, ("%d requests sent more than %d ms after their purge was told were answered from an older copy, %d of these "
                     "answers passed on as served (the last sent %.1f s after it was told); answers %s"
                     % (len(old), SLACK, passed_on, worst, words))


play(os.path.dirname(os.path.abspath(__file__)), drive)
