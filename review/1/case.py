"""Pop caches give a second copy of some answers, some milliseconds late. Whose bytes do clients get?"""

import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
import rig  # noqa: E402

SECONDS = 30
SEED = int(os.environ.get("SEED", "1"))
OBJECTS = ["%016x" % (0x7F3A9C21E0B40000 + n) for n in range(60)]
# Popularity is uneven.
WEIGHTS = [1 / (n + 1) for n in range(len(OBJECTS))]
# So many answers are followed by a second copy, so much later.
SHARE, LATE_S = 0.05, (0.004, 0.012)
CLIENTS, THINK_S = 6, 0.06


def body_of(klass, object_, part):
    return ("%s %s %d " % (klass, object_, part)).encode() * 40


def case(record, work, started):
    rng, lock = random.Random(SEED), threading.Lock()
    seconds, made = [0], set()

    def answer(cache, ask, stream):
        out = rig.reply(200, body_of(*ask.key), ETag='"%s"' % ask.object, X_Born_Ms=rig.unix_ms() - 60_000)
        with lock:
            again, late = rig.TROUBLE and rng.random() < SHARE, rng.uniform(*LATE_S)
            made.add(ask.field("via-id"))
        time.sleep(0.003)
        stream.sendall(out)
        record.add("%s: answers %s, object %s" % (cache.name, ask.field("via-id"), ask.object))
        if again:
            seconds[0] += 1
            record.add("%s: the same answer to %s comes once more in %.1f ms"
                       % (cache.name, ask.field("via-id"), late * 1000))

            def once_more():
                try:
                    stream.sendall(out)
                except OSError:
                    pass
            threading.Timer(late, once_more).start()

    journal = rig.Journal(record)
    boxes = [rig.Cache("s-%08x" % (16 + n), answer) for n in range(4)]
    parent, origin = rig.Cache("s-00000002", answer), rig.Cache("s-00000003", answer)
    hosts = [rig.host(box.name, box.address, "office", "small-box") for box in boxes]
    hosts += [rig.host(parent.name, parent.address, "south", "parent", weight=20),
              rig.host(origin.name, origin.address, "south", "origin", weight=20)]
    journal.tell(hosts={"index": 1, "snapshot": True, "endpoints": hosts})
    proxy = rig.Proxy(rig.config_of(journal), work)
    started.append(proxy)
    if not proxy.wait_ready():
        record.say("can't run: the proxy did not get ready")
        return rig.CANT_RUN

    calls, until = [], time.time() + SECONDS

    def client(number):
        draw = random.Random(SEED * 1000 + number)
        connection = rig.Client(proxy.listen)
        while time.time() < until:
            object_ = draw.choices(OBJECTS, WEIGHTS)[0]
            call = connection.call("formula-card", rig.fields_of(object_, 3000))
            call.done.wait(4)
            with lock:
                calls.append(call)
            time.sleep(draw.uniform(0.0, THINK_S))
        connection.close()

    threads = [threading.Thread(target=client, args=(n,)) for n in range(CLIENTS)]
    [thread.start() for thread in threads]
    [thread.join() for thread in threads]

    foreign = 0
    for call in calls:
        right = call.end != "served" or call.body == body_of(call.klass, call.fields["o"], 0)
        foreign += not right
        got = "" if right else "; WRONG: the bytes are those of %s" % call.body.split()[1].decode()
        record.add("client: %s asked for %s at %.4f: %s after %.0f ms%s"
                   % (call.fields["i"], call.fields["o"], call.sent, call.end,
                      ((call.ended or time.time()) - call.sent) * 1000, got))
    served = sum(call.end == "served" for call in calls)
    record.say("%d requests in %d s, %d served, %d second copies, %d served with the bytes of another object"
               % (len(calls), SECONDS, served, seconds[0], foreign))
    if served < 500 or (rig.TROUBLE and seconds[0] < 20):
        record.say("can't run: too little happened")
        return rig.CANT_RUN
    return rig.BROKEN if foreign else rig.HELD


sys.exit(rig.main(HERE, case))
