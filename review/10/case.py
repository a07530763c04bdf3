"""Two machines are stopped in turn; one takes streams that it can't end before it exits."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from site2 import *  # noqa: E402, F403

GAP_S = 1.3  # between the two SIGTERMs
USUAL_EVENTS, LONG_EVENTS = 20, 110  # 86 on average, 221 at most on the sheet; 45 ms an event
USUAL_S = 26.0  # for which only short streams were seen
SENT_AFTER_S = 4.0  # after the first SIGTERM
LONG_STREAMS = 3


def body(case):
    record, store = case.record, case.store
    store.put("config", "main", config(
        [route("aviso", "/aviso/", "stream", "llm", timeout_ms=20000, slo_ms=500, attempts=2,
               resumable=True, gapTargetMs=200, sticky=True)],
        [{"name": "llm", "healthPath": "/health", "maxConns": 1048, "engine": engine()}]))
    replicas = [EngineReplica(store, record, f"i-{n}", "llm") for n in range(2)]
    for replica in replicas:
        replica.register()
    entries = [case.start_entry(f"edge-{n}") for n in (1, 2)]
    if not all(entry.wait_ready() for entry in entries):
        return 2, "COULD NOT RUN: the entry processes are not ready"
    time.sleep(4)
    ends, stop = {}, threading.Event()

    def stream(entry, events):
        attempt, began = attempt_id(), time.monotonic()
        more = [("X-Jacinthrock-Model", "m0"),
                ("X-Jacinthrock-Token-Count", f"760,{events * 2}"),
                ("X-Jacinthrock-Length-Hint", str(events * 2)),
                ("X-Jacinthrock-Prompt-Prefix", f"5c1e07a2:40,{attempt[-8:]}:720")]
        record.write(f"{entry.name}: {attempt} sent, {events} events are due")
        try:
            connection = socket.create_connection(entry.front)
            connection.sendall(request_head("POST", "/aviso/x", attempt, 20000, 5, more) + b"hello")
            answer = read_answer(connection)
        except OSError:
            answer = Answer(0, {}, b"", False)
        took = time.monotonic() - began
        ends[attempt] = (answer, events)
        record.write(f"{entry.name}: {attempt} {'whole' if answer.is_whole else 'CUT'} after "
                     f"{took:.2f} s, status {answer.status}, {answer.body.count(b'id: ')} events, "
                     f"Retry-After {answer.headers.get('retry-after')}")

    def usual(entry):
        while not stop.is_set():
            threading.Thread(target=stream, args=(entry, USUAL_EVENTS), daemon=True).start()
            time.sleep(0.25)

    for entry in entries:
        threading.Thread(target=usual, args=(entry,), daemon=True).start()
    time.sleep(USUAL_S)
    first = time.monotonic()
    if trouble():
        entries[0].signal(signal.SIGTERM)
        time.sleep(GAP_S)
        entries[1].signal(signal.SIGTERM)
    time.sleep(max(0.0, SENT_AFTER_S - (time.monotonic() - first)))
    record.write(f"edge-1 and edge-2 say that they are ready: {entries[0].is_ready()}, "
                 f"{entries[1].is_ready()}")
    threads = [threading.Thread(target=stream, args=(entries[0], LONG_EVENTS))
               for _ in range(LONG_STREAMS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(30)
    stop.set()
    code = entries[0].process.poll()
    if code is not None:
        record.write(f"edge-1: has exited with {code} by {time.monotonic() - first:.2f} s after "
                     f"SIGTERM")
    long = [answer for answer, events in ends.values() if events == LONG_EVENTS]
    lost = [answer for answer in long if answer.status == 200 and not answer.is_whole]
    if len(long) < LONG_STREAMS or (not trouble() and lost):
        return 2, "COULD NOT RUN: the streams did not end as expected without a SIGTERM"
    if lost:
        return 1, (f"BROKEN: LOST: {len(lost)} of {LONG_STREAMS} streams that were sent "
                   f"{SENT_AFTER_S:.0f} s after SIGTERM were taken and cut")
    return 0, f"HELD: of {LONG_STREAMS} streams {LONG_STREAMS - len(lost)} whole or refused"


run_case(FOLDER, body)
