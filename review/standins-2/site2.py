"""Stand-ins of the platform's store, of replicas and of clients, and a runner of entry processes.

Everything listens on 127.0.0.1 at free ports. The store and the replicas follow PROTOCOL.md; what a
case needs beyond that is set by the case and named in its claim.txt.
"""

import json
import os
import select
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ENTRY = os.path.join("target", "release", "jacinthrock-entry")
HOST_NAME = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
# Figures of sites/onci-stgo.toml and of the settings in DEPLOY.md.
GRACE_S = 8.0
DRAIN_MS = 2000
MEMORY_MB = 260


def trouble():
    """Whether the case makes its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of record.txt, with the time since the case began."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="ascii")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} s  {text}\n")
            self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class HttpServer(socketserver.ThreadingMixIn, socketserver.TCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 1024

    def handle_error(self, request, client_address):
        pass


class HttpCall:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)


def read_head(reader):
    """First line and headers; None at the end of the connection."""
    first = reader.readline(65536)
    if not first.strip():
        return None
    headers = {}
    while True:
        line = reader.readline(65536)
        if not line.strip():
            return first.decode("latin-1").strip(), headers
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def http_handler(serve):
    """A handler that reads calls and passes them to serve(connection, call); it returns whether the
    connection stays open."""

    class Handler(socketserver.BaseRequestHandler):
        def handle(self):
            self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reader = self.request.makefile("rb")
            while True:
                head = read_head(reader)
                if head is None:
                    return
                first, headers = head
                method, target, _ = first.split(" ", 2)
                if headers.get("transfer-encoding", "").lower() == "chunked":
                    body = b""
                    while True:
                        size = int(reader.readline().strip() or b"0", 16)
                        body += reader.read(size)
                        reader.readline()
                        if size == 0:
                            break
                else:
                    body = reader.read(int(headers.get("content-length", "0")))
                if not serve(self.request, HttpCall(method, target, headers, body)):
                    return

    return Handler


REASONS = {200: "OK", 201: "Created", 202: "Accepted", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}


def reply(connection, status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    return True


def start_server(handler, address=("127.0.0.1", 0)):
    server = HttpServer(address, handler)
    threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()
    return server


def reset(connection):
    """Resets a connection."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RD)
        connection.close()
    except OSError:
        pass


def free_ports(count):
    """Ports in ascending order; they are free at the time of the call."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = sorted(each.getsockname()[1] for each in sockets)
    for each in sockets:
        each.close()
    return ports


class Store:
    """The platform's metadata store. Each machine has an address of its own, so that the store can
    turn one away."""

    def __init__(self):
        self.objects, self.history, self.revision = {}, [], 100
        self.changed = threading.Condition()
        self.replicas, self.connections, self.turned_away = [], {}, set()
        self.last_writer = None

    def listen(self, machine):
        """Address of the store for a machine."""
        server = start_server(http_handler(
            lambda connection, call: self.serve(connection, call, machine)))
        return "127.0.0.1:%d" % server.server_address[1]

    def turn_away(self, machine, seconds):
        """Resets the connections of a machine, and each new one for some time."""
        with self.changed:
            self.turned_away.add(machine)
            for connection in self.connections.get(machine, ()):
                reset(connection)
            self.connections[machine] = set()
            self.changed.notify_all()
        threading.Timer(seconds, self.turned_away.discard, (machine,)).start()

    def put(self, kind, name, spec):
        with self.changed:
            return self.put_locked(kind, name, spec)

    def put_locked(self, kind, name, spec):
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        metadata = {"name": name, "revision": self.revision, "created": created,
                    "finalizers": [], "deleting": False}
        known = {"metadata": metadata, "spec": spec, "status": {}}
        self.objects[kind, name] = known
        self.history.append((self.revision, kind, known, False))
        self.changed.notify_all()
        return known

    def remove(self, kind, name):
        with self.changed:
            return self.remove_locked(kind, name)

    def remove_locked(self, kind, name):
        known = self.objects.pop((kind, name), None)
        if known:
            self.revision += 1
            self.history.append((self.revision, kind, known, True))
            self.changed.notify_all()
        return known

    def serve(self, connection, call, machine):
        with self.changed:
            self.connections.setdefault(machine, set()).add(connection)
        if machine in self.turned_away:
            reset(connection)
            return False
        parts = call.path.strip("/").split("/")
        if len(parts) < 2 or parts[0] != "objects":
            return reply(connection, 404)
        kind, name = parts[1], (parts[2] if len(parts) > 2 else None)
        status, document = self.answer(call, kind, name, machine)
        if status is None:
            return False
        body = json.dumps(document).encode()
        headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
        return reply(connection, status, body, headers)

    def answer(self, call, kind, name, machine):
        if call.method == "GET" and "watch" in call.query:
            return self.watch(machine, kind, int(call.query["watch"]),
                              int(call.query.get("waitMs", 0)) / 1000)
        document = json.loads(call.body) if call.body else {}
        with self.changed:
            if call.method == "GET" and name is None:
                after = call.query.get("after", "")
                items = [it for (k, n), it in sorted(self.objects.items()) if k == kind and n > after]
                return 200, {"items": items, "hasMore": False, "currentRev": self.revision}
            name = name or document.get("metadata", {}).get("name")
            known = self.objects.get((kind, name))
            expected = document.get("metadata", {}).get("revision")
            expected = expected or (int(call.query["revision"]) if "revision" in call.query else None)
            if call.method == "POST" and known:
                return 409, known
            if call.method != "POST" and not known:
                return 404, {}
            if known and expected and expected != known["metadata"]["revision"]:
                return 409, known
            if call.method == "GET":
                return 200, known
            if call.method == "DELETE":
                return 200, self.remove_locked(kind, name)
            if expected:
                self.last_writer = machine
            return 200, self.put_locked(kind, name, document.get("spec"))

    def watch(self, machine, kind, after, wait):
        deadline = time.monotonic() + wait
        with self.changed:
            while machine not in self.turned_away:
                events = [{"object": it, "deleted": gone} for revision, k, it, gone in self.history
                          if revision > after and k == kind]
                left = deadline - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "currentRev": self.revision}
                self.changed.wait(left)
        return None, None


class Replica:
    """A replica of a plain service."""

    def __init__(self, store, record, name, service, zone="z1", work_s=0.06, answer_bytes=800,
                 slots=6, queue=24):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.zone, self.work_s, self.slots, self.queue = zone, work_s, slots, queue
        self.answer_bytes = answer_bytes
        self.lock, self.open = threading.Lock(), 0
        self.running = threading.Semaphore(slots)
        self.arrivals, self.runs, self.connections = [], [], set()
        self.born = int(time.time() * 1000)
        self.has_ended = False
        self.server = start_server(http_handler(self.serve))
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        store.replicas.append(self)

    def entry(self, state="ready"):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": 1,
                "slots": self.slots, "state": state, "coldLeftMs": 0, "sequence": 0,
                "born": self.born}

    def register(self):
        self.store.put("servers", self.name, self.entry())

    def end(self):
        """Ends as a process does: the listener closes, open connections are reset."""
        self.has_ended = True
        self.server.shutdown()
        self.server.server_close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            reset(connection)

    def serve(self, connection, call):
        with self.lock:
            self.connections.add(connection)
        if self.has_ended:
            return False
        if call.path == "/report":
            body = {"stage": "both", "models": [], "busy": False, "sequence": 0, "queued": 0,
                    "running": self.open, "kvUsed": 0, "kvTotal": 0, "handles": 0, "born": self.born}
            return reply(connection, 200, json.dumps(body).encode(),
                         [("Content-Type", "application/json")])
        if call.path == "/health":
            return reply(connection, 200, b"", [("X-Jacinthrock-Replica-Id", self.name)])
        attempt = call.headers.get("x-jacinthrock-attempt-id", "")
        headers = [("X-Jacinthrock-Attempt-Id", attempt)]
        expected = call.headers.get("x-jacinthrock-expect-instance", self.name)
        if expected != self.name:
            return reply(connection, 421, b"", headers + [("X-Jacinthrock-Not-Run", "1")])
        arrived = time.monotonic()
        self.arrivals.append((arrived, attempt))
        self.record.write(f"{self.name}: request {attempt} reaches it, {len(call.body)} B body")
        with self.lock:
            is_full = self.open >= self.slots + self.queue
            self.open += 0 if is_full else 1
        if is_full:
            return reply(connection, 503, b"", headers + [("X-Jacinthrock-Not-Run", "1")])
        try:
            with self.running:
                self.runs.append((time.monotonic(), attempt))
                self.record.write(f"{self.name}: request {attempt} runs")
                time.sleep(self.work_s)
            if self.has_ended:
                self.record.write(f"{self.name}: has ended with request {attempt} unanswered")
                return False
            body = (attempt.encode() + b" ") * (self.answer_bytes // 17 + 1)
            stamp = f"3e1b.{self.name}.{attempt}"
            reply(connection, 200, body[:self.answer_bytes],
                  headers + [("X-Jacinthrock-Server-Stamp", stamp)])
            self.record.write(f"{self.name}: request {attempt} answered, {self.answer_bytes} B")
            return True
        finally:
            with self.lock:
                self.open -= 1


class EngineReplica(Replica):
    """A replica of a model service; it holds the layers that it is ordered to hold, and streams as
    many events as the request's output tokens say, one each event_s."""

    def __init__(self, store, record, name, service, event_s=0.045, card="h100", **options):
        super().__init__(store, record, name, service, slots=192, queue=96, **options)
        self.event_s, self.card, self.sequence, self.layers = event_s, card, 0, (0, 0)

    def entry(self, state="ready"):
        layers = {"from": self.layers[0], "to": self.layers[1], "version": 1}
        return dict(super().entry(state), sequence=self.sequence, stage="both", routeKind=self.card,
                    models=[{"name": "m0", "version": 1, "adapters": []}], layers=layers)

    def serve(self, connection, call):
        if call.path == "/order":
            return self.take_order(connection, json.loads(call.body))
        if call.path == "/report":
            body = dict(self.entry(), busy=False, queued=0, running=self.open,
                        kvUsed=0, kvTotal=1000000, handles=0, pace=1.0)
            return reply(connection, 200, json.dumps(body).encode(),
                         [("Content-Type", "application/json")])
        if call.path == "/health":
            return super().serve(connection, call)
        attempt = call.headers.get("x-jacinthrock-attempt-id", "")
        headers = [("X-Jacinthrock-Attempt-Id", attempt)]
        if call.headers.get("x-jacinthrock-expect-instance", self.name) != self.name:
            return reply(connection, 421, b"", headers + [("X-Jacinthrock-Not-Run", "1")])
        tokens = int(call.headers.get("x-jacinthrock-token-count", "0,0").split(",")[1])
        begin = int(call.headers.get("last-event-id", "0"))
        self.arrivals.append((time.monotonic(), attempt))
        self.runs.append((time.monotonic(), attempt))
        self.record.write(f"{self.name}: stream {attempt} runs, {tokens // 2} events after {begin}")
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                 f"X-Jacinthrock-Attempt-Id: {attempt}",
                 f"X-Jacinthrock-Server-Stamp: 3e1b.{self.name}.{attempt}"]
        number = begin
        try:
            with self.lock:
                self.open += 1
            connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())
            for number in range(begin + 1, tokens // 2 + 1):
                time.sleep(self.event_s)
                event = f"id: {number}\ndata: {'x' * 40}\n\n".encode()
                connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            connection.sendall(b"0\r\n\r\n")
            self.record.write(f"{self.name}: stream {attempt} ends whole")
            return True
        except OSError:
            self.record.write(f"{self.name}: stream {attempt} is cut by its caller at event {number}")
            return False
        finally:
            with self.lock:
                self.open -= 1

    def take_order(self, connection, order):
        if order.get("operation") != "place":
            return reply(connection, 404)
        expected = order.get("precondition")
        if expected is not None and expected != self.sequence:
            return reply(connection, 409)
        span = (order["from"], order["to"])
        if span != self.layers:
            self.layers, self.sequence = span, self.sequence + 1
        self.record.write(f"{self.name}: ordered to hold layers {span[0]} to {span[1]}")
        reply(connection, 202)
        self.register()
        return True


def engine(layers=80, layer_mb=175.0):
    """The model of a service; a card holds all of its layers."""
    return {"kvBytes": 590000.0, "layers": layers, "layerMb": layer_mb, "actBytes": 29500.0,
            "pipeMbps": 11000.0, "linkMbps": 480000.0, "step_ms": 0.85, "per_seq_ms": 0.00382,
            "context_per_k": 0.00512, "read_per_s": 196000.0, "pairs_per_m": 0.166, "chunk": 512,
            "stride": 2, "loads_at_once": 6, "report_lag_ms": 200.0, "stall_ms": 2500,
            "models": [{"name": "m0", "version": 1, "loadS": 1.0}],
            "usual": {"prompt": 740.0, "answer": 176.0}, "delays": {},
            "kinds": [{"name": "h100", "sizeMb": 72000.0, "pace": 1.4, "readFactor": 1.0}]}


def config(routes, services, version=3):
    """The operator's configuration; limits and figures as in the site file."""
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
              "idleTimeoutMs": 15000}
    return {"version": version, "routes": routes, "services": services, "limits": limits,
            "tenants": [{"name": TENANT, "apiKeys": [KEY]}]}


def route(name, prefix, kind, service, timeout_ms=3000, slo_ms=300, attempts=1, **more):
    return {"name": name, "host": HOST_NAME, "pathPrefix": prefix, "routeKind": kind,
            "service": service, "timeoutMs": timeout_ms, "sloMs": slo_ms, "priority": 1,
            "maxAttempts": attempts, "anonymous": False, **more}


class Entry:
    """One entry process, started as the deploy file says."""

    def __init__(self, record, folder, store, name, zone="z1", bootstrap=True, memory_mb=MEMORY_MB):
        self.record, self.folder, self.name = record, folder, name
        front, ready, control, first, last = free_ports(5)
        at = lambda port: f"127.0.0.1:{port}"
        self.front, self.ready = ("127.0.0.1", front), ("127.0.0.1", ready)
        self.metrics = ("127.0.0.1", last)
        settings = {
            "nodeName": name, "role": "entry", "machineClass": "edge", "serves": ["edge"],
            "ip": "127.0.0.1", "zone": zone, "region": "r1", "zones": {zone: "r1"},
            "listen": {"frontAddr": at(front), "readyAddr": at(ready), "controlAddr": at(control)},
            "internalPorts": [first, last], "seeds": [], "isBootstrap": bootstrap,
            "inTolerance": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": memory_mb, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "beatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                          "tenants", "platform", "layers"],
            "tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"seedLagS": 3, "reuseAfterS": 2, "stableMs": 3000, "ackMs": 4000,
                       "catchUpS": 4, "drainMs": DRAIN_MS, "graceS": GRACE_S, "lossSlackMs": 200,
                       "configMs": 2000, "rollbackSlackMs": 250, "stretchMs": 5000,
                       "revokeStrict": False, "revokeMs": 5000, "retryRatio": 0.2,
                       "retryWindowS": 10, "retrySlack": 198, "recoverS": 12,
                       "maxDeliveryMs": 120, "retryAfterS": 0, "stall_ms": 2500,
                       "fencingEnforced": False},
            "platform": {"address": store.listen(name), "form": "objects", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
                         "ttlMinMs": 1000}}
        self.settings = os.path.join(folder, f"{name}.json")
        with open(self.settings, "w", encoding="ascii") as file:
            json.dump(settings, file)
        self.process = None

    def start(self):
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen([ENTRY], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                                        stderr=log, env={"PATH": os.environ.get("PATH", ""),
                                                         "JACINTHROCK_CONFIG": self.settings})
        self.record.write(f"{self.name}: started, front {self.front[1]}")

    def signal(self, number):
        self.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_ready(self):
        try:
            status, _ = http_get(self.ready, "/readiness")
            return status == 200
        except (OSError, ValueError):
            return False

    def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.is_ready():
                self.record.write(f"{self.name}: ready")
                return True
            time.sleep(0.05)
        return False

    def memory_mb(self):
        """Resident memory as the kernel reports it; 0 once the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


def http_get(address, path):
    with socket.create_connection(address, timeout=1) as connection:
        connection.sendall(f"GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode())
        first, _ = read_head(connection.makefile("rb"))
        return int(first.split(" ")[1]), first


def request_head(method, target, attempt, deadline_ms, length=None, more=()):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST_NAME}",
             f"X-Jacinthrock-Attempt-Id: {attempt}", f"X-Jacinthrock-Deadline-Ms: {deadline_ms}",
             f"Authorization: Token {KEY}"]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    lines += [f"{name}: {value}" for name, value in more]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Answer:
    def __init__(self, status, headers, body, is_whole):
        self.status, self.headers, self.body, self.is_whole = status, headers, body, is_whole


def read_answer(connection, on_bytes=None):
    """Reads one answer; is_whole is false if the connection ends before it is complete. A status of
    0 means that no head came."""
    reader = connection.makefile("rb")
    try:
        head = read_head(reader)
    except OSError:
        head = None
    if head is None:
        return Answer(0, {}, b"", False)
    first, headers = head
    status, body = int(first.split(" ")[1]), b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = reader.readline()
                if not line:
                    return Answer(status, headers, body, False)
                size = int(line.strip(), 16)
                part = reader.read(size + 2)
                if len(part) < size + 2:
                    return Answer(status, headers, body, False)
                if size == 0:
                    return Answer(status, headers, body, True)
                body += part[:-2]
                if on_bytes:
                    on_bytes(part[:-2])
        length = int(headers.get("content-length", "0"))
        while len(body) < length:
            part = reader.read1(min(65536, length - len(body)))
            if not part:
                return Answer(status, headers, body, False)
            body += part
            if on_bytes:
                on_bytes(part)
        return Answer(status, headers, body, True)
    except (OSError, ValueError):
        return Answer(status, headers, body, False)


_attempts = [0]
_attempt_lock = threading.Lock()


def attempt_id():
    with _attempt_lock:
        _attempts[0] += 1
        return f"{0x9c41d07b00000000 + _attempts[0]:016x}"


class Case:
    """Folder, record and processes of one run; ends what it has started."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.store = Store()
        self.entries = []
        mode = "with" if trouble() else "without"
        self.record.write(f"run {mode} the disruption")

    def start_entry(self, name, **options):
        entry = Entry(self.record, self.temporary.name, self.store, name, **options)
        self.entries.append(entry)
        entry.start()
        return entry

    def logs(self, name):
        path = os.path.join(self.temporary.name, f"{name}.log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read().splitlines()

    def finish(self, code, text):
        self.record.say(text)
        for entry in self.entries:
            entry.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for entry in self.entries:
                with open(os.path.join(keep, f"{entry.name}.log"), "w", encoding="utf-8") as file:
                    file.write("\n".join(self.logs(entry.name)))
        self.temporary.cleanup()
        sys.stdout.flush()
        os._exit(code)


def run_case(folder, body):
    """Runs body(case), which returns (exit code, text); 2 if the case could not run."""
    if not os.path.exists(os.path.join(ROOT, ENTRY)):
        print(f"{ENTRY} is missing: build it as the deploy file says")
        sys.exit(2)
    case = Case(folder)
    limit = threading.Timer(115, lambda: case.finish(2, "COULD NOT RUN: out of time"))
    limit.daemon = True
    limit.start()
    try:
        code, text = body(case)
    except Exception as error:  # the case itself is at fault
        case.finish(2, f"COULD NOT RUN: {type(error).__name__}: {error}")
    case.finish(code, text)
