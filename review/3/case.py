"""A client reads at 1 MB a second, without a pause. Are the requests answered that it has open on the connection?"""

import os
import random
import struct
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
import rig  # noqa: E402

SEED = int(os.environ.get("SEED", "1"))
ROUNDS = 4
PACE = 1_000_000                  # bytes a second that a slow client reads
SIZE = 240_000                    # an object's most bytes
OPEN = 32                         # open requests that one connection carries
CARDS = 28                        # of these so many cards, the rest is left for writes
WAIT_MS = (1500, 3000)            # a try is given up after 50 to 100% of the class's time
WRITE_EVERY_S, ASKS_S = 0.25, 6.0
RECEIVE_BUFFER = 128 * 1024
BYTES = os.urandom(SIZE)


def forget(client, calls):
    """The client gives up waiting for these: no answer is owed any more."""
    numbers = b"".join(b"\xce" + struct.pack(">I", call.number) for call in calls)
    message = b"\x93\x02\xa6forget\xdc" + struct.pack(">H", len(calls)) + numbers
    with client.lock:
        try:
            client.stream.sendall(message)
        except OSError:
            pass


def case(record, work, started):
    lock, ran = threading.Lock(), {}

    def answer(cache, ask, stream):
        with lock:
            ran[ask.field("via-id")] = cache.name
        record.add("%s: runs %s %s" % (cache.name, ask.klass, ask.field("via-id")))
        time.sleep(0.02)
        body = b"recorded" if ask.klass == "mix-record" else BYTES
        stream.sendall(rig.reply(200, body, ETag='"%s"' % ask.object, X_Born_Ms=rig.unix_ms() - 60_000))

    journal = rig.Journal(record)
    boxes = [rig.Cache("s-%08x" % (16 + n), answer) for n in range(6)]
    parent, origin = rig.Cache("s-00000002", answer), rig.Cache("s-00000003", answer)
    hosts = [rig.host(box.name, box.address, "office", "small-box", weight=20) for box in boxes]
    hosts += [rig.host(parent.name, parent.address, "south", "parent", weight=60),
              rig.host(origin.name, origin.address, "south", "origin", weight=60)]
    journal.tell(hosts={"index": 1, "snapshot": True, "endpoints": hosts})
    proxy = rig.Proxy(rig.config_of(journal), work)
    started.append(proxy)
    if not proxy.wait_ready():
        record.say("can't run: the proxy did not get ready")
        return rig.CANT_RUN

    rng = random.Random(SEED)
    asked, answered, given_up, lost = 0, 0, 0, []
    for _ in range(ROUNDS):
        client = rig.Client(proxy.listen, rate=PACE if rig.TROUBLE else None, receive_buffer=RECEIVE_BUFFER)
        begun, calls, forgotten, writes = time.time(), [], set(), 0
        next_card = begun
        while time.time() < begun + 14 and client.closed is None and not any(call.end == "unsent" for call in calls[-2:]):
            now = time.time()
            open_ = [call for call in calls if call.end is None and call.number not in forgotten]
            over = [call for call in open_ if now - call.sent > int(call.fields["d"]) / 1000]
            if over:
                forget(client, over)
                forgotten.update(call.number for call in over)
                continue
            asking, wait_ms = now < begun + ASKS_S, rng.randint(*WAIT_MS)
            if asking and now >= begun + writes * WRITE_EVERY_S and len(open_) < OPEN:
                writes += 1
                fields = rig.fields_of("%016x" % rng.getrandbits(60), wait_ms, size_kb=1.0, key="%032x" % rng.getrandbits(128))
                calls.append(client.call("mix-record", fields, b"ink"))
            elif asking and now >= next_card and sum(call.klass == "formula-card" for call in open_) < CARDS:
                # All at once at first, then 40 a second at most.
                next_card = next_card if len(calls) < CARDS else now + 0.025
                fields = rig.fields_of("%016x" % rng.getrandbits(60), wait_ms, size_kb=300)
                calls.append(client.call("formula-card", fields))
            elif not asking and not open_:
                break
            else:
                time.sleep(0.01)
        # What the client has been sent is read before the connection is judged; a write that failed shows its end, too.
        unsent = next((call.ended for call in calls if call.end == "unsent"), None)
        while unsent and client.closed is None and time.time() < unsent + 10:
            time.sleep(0.02)
        ended = min(filter(None, (client.closed, unsent)), default=None)
        for call in calls:
            asked += 1
            took = ((call.ended or ended or time.time()) - call.sent) * 1000
            if call.end in ("served", "shed", "error"):
                answered += 1
                how = "%s after %.0f ms" % (call.end, took)
            elif call.number in forgotten:
                given_up += 1
                how = "given up by the client after %s ms" % call.fields["d"]
            elif call.end == "unsent":
                how = "not sent, the connection had ended"
            else:
                lost.append(call)
                how = "LOST: the connection ended %.0f ms after it was sent, no answer%s" % (
                    took, ", it had run" if call.fields["i"] in ran else "")
            record.add("client: %s %s, waits %s ms: %s" % (call.klass, call.fields["i"], call.fields["d"], how))
        record.add("client: %s, %d bytes read" % ("the proxy ended the connection after %.0f ms" % ((ended - begun) * 1000)
                                                  if ended else "the connection was open to the end", client.bytes_read))
        client.close()
    record.say("%d requests, %d answered, %d given up by their client, %d lost within their time (%d of them writes that "
               "had run)" % (asked, answered, given_up, len(lost),
                             sum(call.klass == "mix-record" and call.fields["i"] in ran for call in lost)))
    if answered < 20:
        record.say("can't run: too few were answered")
        return rig.CANT_RUN
    return rig.BROKEN if lost else rig.HELD


sys.exit(rig.main(HERE, case))
