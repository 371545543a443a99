"""Stand-ins for the cases 4 to 8: the platform (settings files, list of leaves), leaves, an operator
and callers, all on loopback addresses. They follow PROTOCOL.md and DEPLOY.md; where these are silent
they behave like a sound server, client or platform."""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BROKER = os.path.join(ROOT, "target/deploy/gingerkeel-platform-broker")
CONTROL = os.path.join(ROOT, "target/deploy/gingerkeel-platform-control")

# Figures of `sites/ars-tickets.toml`, as SYSTEM.md and DEPLOY.md state them.
BOUNDS = """seedLagS = 3
reuseAfterS = 2
contactMs = 5000
ackTimeoutMs = 6000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
maxStretchMs = 15000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 58
recoveryS = 12
"""


class CannotRun(Exception):
    """The case could not be set up; it says nothing about the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        with self.lock:
            print(line, flush=True)
            self.file.write(line + "\n")
            self.file.flush()


def listening(address, backlog=128, port=0):
    server = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind((address, port))
    server.listen(backlog)
    return server


def read_head(connection, buffered=b""):
    """Reads up to the end of a head; returns (head, rest), or None at the end of the stream."""
    while b"\r\n\r\n" not in buffered:
        piece = connection.recv(65536)
        if not piece:
            return None
        buffered += piece
    head, rest = buffered.split(b"\r\n\r\n", 1)
    return head, rest


def parse_head(head):
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


class Request:
    """A request as a leaf has read it."""

    def __init__(self, line, fields, body):
        self.method, self.target, _ = line.split(" ", 2)
        self.fields, self.body = fields, body
        self.id = fields.get("x-request-id", "")


class Leaf:
    """A leaf: `answer(leaf, request)` gives the bytes of its answer, or None to close."""

    def __init__(self, name, service, record, answer, address="127.0.0.1", backlog=128):
        self.name, self.service, self.record, self.answer = name, service, record, answer
        self.state, self.slots, self.zone = "ready", 5, "pa-hall-a"
        self.requests, self.open = [], set()
        self.listener = listening(address, backlog)
        self.address = self.listener.getsockname()
        self.accepting = threading.Event()
        self.accepting.set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            self.accepting.wait()
            try:
                self.listener.settimeout(0.1)
                connection, _ = self.listener.accept()
            except socket.timeout:
                continue
            except OSError:
                return
            connection.settimeout(None)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def crash(self):
        """Ends the leaf: its listener and its connections close."""
        self.listener.close()
        for connection in list(self.open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def serve(self, connection):
        buffered = b""
        self.open.add(connection)
        try:
            while True:
                read = read_head(connection, buffered)
                if read is None:
                    return
                line, fields = parse_head(read[0])
                length, body = int(fields.get("content-length", "0")), read[1]
                while len(body) < length:
                    piece = connection.recv(65536)
                    if not piece:
                        return
                    body += piece
                body, buffered = body[:length], body[length:]
                request = Request(line, fields, body)
                answer = self.handle(request)
                if answer is None:
                    return
                connection.sendall(answer)
        except OSError:
            pass
        finally:
            self.open.discard(connection)
            connection.close()

    def handle(self, request):
        if request.target == "/health":
            status = 200 if self.state == "ready" else 503
            return response(status, [("X-Instance-Id", self.name)], b"")
        expected = request.fields.get("x-expect-instance")
        if expected not in (None, self.name):
            self.record(f"leaf {self.name}: {request.id} is for {expected}: 421, not run")
            return response(421, [("X-Request-Id", request.id), ("X-Not-Executed", "1")], b"")
        if not request.id:
            return response(400, [("X-Not-Executed", "1")], b"")
        self.requests.append((time.monotonic(), request))
        return self.answer(self, request)

    def entry(self):
        return {
            "id": self.name,
            "service": self.service,
            "address": "%s:%d" % self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
        }


def response(status, fields, body, head_only=False):
    """The bytes of an answer; one to HEAD states the length and has no body."""
    reason = http.client.responses.get(status, "Unknown")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    return head if head_only else head + body


def stamped(request, status=200, body=b"0123456789abcdef", fields=()):
    """An answer of a leaf that has run the request."""
    stamp = f"stamp.{request.id}"
    fields = [("X-Request-Id", request.id), ("X-Server-Stamp", stamp), *fields]
    return response(status, fields, body, request.method == "HEAD")


class Platform:
    """The platform's list of leaves, at most `lag` seconds behind."""

    def __init__(self, record, lag=0.0):
        self.record, self.lag = record, lag
        self.leaves = []
        self.shown_draining = {}
        self.listener = listening("127.0.0.1")
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        buffered = b""
        try:
            while True:
                read = read_head(connection, buffered)
                if read is None:
                    return
                buffered = read[1]
                entries = [leaf.entry() for leaf in list(self.leaves)]
                for entry in entries:
                    if entry["state"] == "draining" and entry["id"] not in self.shown_draining:
                        self.shown_draining[entry["id"]] = time.monotonic()
                        self.record(f"platform: the list shows {entry['id']} as draining")
                page = json.dumps({"instances": entries, "nextPageToken": None}).encode()
                fields = [("Content-Type", "application/json")]
                connection.sendall(response(200, fields, page))
        except OSError:
            pass
        finally:
            connection.close()


class System:
    """Three control processes and some brokers, as processes of the deploy file's programs."""

    def __init__(self, record, platform, brokers=1, controls=3):
        self.record, self.platform = record, platform
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.logs = []
        # A network of its own in 127/8, so that the fixed ports are free.
        second, third = random.randrange(16, 250), random.randrange(1, 250)
        self.net = f"127.{second}.{third}"
        self.ports = {"control": 8224, "front": 8226, "readiness": 8227, "internal": 7740}
        self.control_ips = [f"{self.net}.{11 + n}" for n in range(controls)]
        self.broker_ips = [f"{self.net}.{101 + n}" for n in range(brokers)]

    def settings(self, name, ip, kind, bootstrap):
        seeds = ",".join(f'"{seed}:{self.ports["control"]}"' for seed in self.control_ips[:3])
        internal = self.ports["internal"]
        if kind == "core":
            data = os.path.join(self.folder, name)
            role = f'role = "control"\nmachineClass = "core"\nserves = ["control"]\ndataDir = "{data}"'
            bind = f'control = "{ip}:{self.ports["control"]}"'
            limits = "cpuShare = 0.15\ncpuCores = 1\nmemoryMb = 256\nmaxOpenFiles = 4096"
        else:
            role = 'role = "broker"\nmachineClass = "front"\nserves = ["front"]'
            bind = f'front = "{ip}:{self.ports["front"]}"\nreadiness = "{ip}:{self.ports["readiness"]}"'
            limits = "cpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\nmaxOpenFiles = 4100"
        return f"""nodeName = "{name}"
{role}
ip = "{ip}"
zone = "pa-hall-a"
region = "palermo"
internalPortRange = [{internal},{internal + 15}]
seedNodes = [{seeds}]
bootstrap = {"true" if bootstrap else "false"}
countsAsLoss = {"true" if kind == "core" else "false"}
discovery = "cloud"
entry = "vip"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter"]
config_mode = "highest"
[zones]
pa-hall-a = "palermo"
[bindAddresses]
{bind}
[limits]
{limits}
linkMbps = 1000.0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
{BOUNDS}[cloudApi]
address = "{self.platform.address}"
ratePerS = 59.0
duties = []
maxLagMs = 800
"""

    def start(self, name, ip, kind, bootstrap=False):
        path = os.path.join(self.folder, name + ".toml")
        with open(path, "w") as file:
            file.write(self.settings(name, ip, kind, bootstrap))
        os.makedirs(os.path.join(self.folder, name), exist_ok=True)
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.logs.append(log)
        environment = {"PATH": os.environ["PATH"], "GINGERKEEL_BOOT": path}
        program = CONTROL if kind == "core" else BROKER
        self.processes[name] = subprocess.Popen(
            [program], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )

    def start_all(self):
        for number, ip in enumerate(self.control_ips):
            self.start(f"core-{number + 1}", ip, "core", True)
        for number, ip in enumerate(self.broker_ips):
            self.start(f"front-{number + 1}", ip, "front", True)

    def signal(self, name, number):
        self.record(f"{name}: {signal.Signals(number).name}")
        os.kill(self.processes[name].pid, number)

    def ready(self, number=0):
        try:
            connection = http.client.HTTPConnection(
                self.broker_ips[number], self.ports["readiness"], timeout=1
            )
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_ready(self, limit=30):
        until = time.monotonic() + limit
        for number in range(len(self.broker_ips)):
            while not self.ready(number):
                if time.monotonic() > until:
                    raise CannotRun("a broker did not become ready")
                time.sleep(0.05)
        self.record("all brokers are ready")

    def configure(self, document, limit=20):
        """Sends a configuration until it is acknowledged; returns the time of that."""
        body = json.dumps(document)
        until = time.monotonic() + limit
        while time.monotonic() < until:
            ip = random.choice(self.control_ips)
            try:
                connection = http.client.HTTPConnection(ip, self.ports["control"], timeout=1)
                headers = {"Content-Type": "application/json"}
                connection.request("POST", "/Config.Replace", body, headers)
                status = connection.getresponse().status
            except (OSError, http.client.HTTPException):
                status = None
            if status == 200:
                self.record(f"operator: version {document['version']} is acknowledged")
                return time.monotonic()
            if status is not None and status < 500:
                raise CannotRun(f"the configuration got {status}")
            time.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    def front(self, number=0):
        return (self.broker_ips[number], self.ports["front"])

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for log in self.logs:
            log.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, services):
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    listed = [
        {"name": name, "healthPath": "/health", "maxConnections": 41, "protocol": "h1", "tls": False}
        for name in services
    ]
    return {"version": version, "routes": routes, "services": listed, "limits": limits}


def route(name, prefix, kind="safe", timeout_ms=4000, target_ms=250, **destination):
    return {
        "name": name,
        "host": "desk.example",
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": 1,
        "maxAttempts": 2,
        **destination,
    }


def new_id():
    return "%016x" % random.getrandbits(64)


def request_bytes(method, path, request_id, deadline_ms, body=None):
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: desk.example",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


def run(folder, case):
    """Runs `case(record, trouble)`, which returns whether the rule held; ends the process."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends the processes that were started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder)
    record(f"disruption: {'yes' if trouble else 'no'}")
    for program in (BROKER, CONTROL):
        if not os.path.exists(program):
            record(f"cannot run: {os.path.relpath(program, ROOT)} is not built")
            sys.exit(2)
    try:
        held = case(record, trouble)
    except CannotRun as error:
        record(f"cannot run: {error}")
        sys.exit(2)
    except Exception as error:  # noqa: BLE001
        record(f"cannot run: {error!r}")
        sys.exit(2)
    record("the rule held" if held else "THE RULE IS BROKEN")
    sys.exit(0 if held else 1)
