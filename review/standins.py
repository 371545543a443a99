"""Stand-ins for the platform, leafs, clients and the operator, and a launcher of the project's programs.

Only the Python standard library is used. Everything listens on loopback addresses; every process
that is started is ended by `Deployment.close`.
"""

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
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BROKER = os.path.join(ROOT, "target/deploy/gingerkeel-platform-broker")
CONTROL = os.path.join(ROOT, "target/deploy/gingerkeel-platform-control")

# Exit codes of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# Bounds of the small deployment (ars-tickets).
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 5000, "ackTimeoutMs": 6000, "catchUpS": 4,
    "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
    "downgradeSlackMs": 250, "maxStretchMs": 15000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
    "budgetSlack": 58, "recoveryS": 12,
}
ZONES = {"pa-hall-a": "palermo", "ct-hall-b": "catania", "me-hall-c": "messina"}


def trouble():
    """Whether the disruption takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


class CouldNotRun(Exception):
    """The case could not be set up."""


class Record:
    """The file record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


class Platform:
    """The platform's list of instances."""

    def __init__(self, ip, port):
        self.entries = []
        platform = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                body = json.dumps({"instances": platform.entries, "nextPageToken": None}).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        self.address = f"{ip}:{port}"
        self.server = QuietServer((ip, port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def list(self, leaf):
        self.entries = self.entries + [leaf.entry()]


class Leaf:
    """A leaf that answers every request through `reply`.

    `reply(leaf, request)` gets a dictionary with `method`, `target`, `headers` (names in lower case)
    and `body`, and yields or returns the answers to send.
    """

    def __init__(self, record, ip, port, service, zone, reply=None, work_s=0.02):
        self.record, self.service, self.zone = record, service, zone
        self.identity = f"i-{random.getrandbits(32):08x}"
        self.address = f"{ip}:{port}"
        self.reply = reply or sound_reply
        self.work_s = work_s
        self.listener = socket.create_server((ip, port), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self):
        return {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": 5, "state": "ready", "coldRemainingMs": 0, "id": self.identity,
        }

    def _accept(self):
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                request = read_request(stream)
                if request is None:
                    return
                for answer in self._answers(request):
                    connection.sendall(answer)
        except OSError:
            pass
        finally:
            stream.close()
            connection.close()

    def _answers(self, request):
        expected = request["headers"].get("x-expect-instance")
        if expected is not None and expected != self.identity:
            return [response(421, [("X-Instance-Id", self.identity)], b"")]
        if request["target"] == "/health":
            return [response(200, [("X-Instance-Id", self.identity)], b"ok")]
        return self.reply(self, request)

    def stamp(self, request):
        return f"{self.identity}.{request['headers'].get('x-request-id', '')}"


def read_request(stream):
    """Reads one request with a body of known length; none at the end of the connection."""
    line = stream.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = stream.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = stream.read(int(headers.get("content-length", "0")))
    return {"method": method, "target": target, "headers": headers, "body": body}


def response(status, fields, body):
    reason = http.client.responses.get(status, "Unknown")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def sound_fields(leaf, request):
    return [
        ("X-Request-Id", request["headers"].get("x-request-id", "")),
        ("X-Server-Stamp", leaf.stamp(request)),
    ]


def sound_reply(leaf, request):
    """Runs the request and gives a complete, successful answer."""
    identity = request["headers"].get("x-request-id", "")
    leaf.record(f"leaf {leaf.identity} runs {request['method']} {request['target']} id {identity}")
    time.sleep(leaf.work_s)
    return [response(200, sound_fields(leaf, request), b"0123456789abcdef" * 2)]


class Machine:
    """A machine that runs one of the project's programs."""

    def __init__(self, deployment, name, ip, zone, program):
        self.deployment, self.name, self.ip, self.zone = deployment, name, ip, zone
        self.program = program
        self.process = None
        self.settings = os.path.join(deployment.folder, f"{name}.toml")
        self.data = os.path.join(deployment.folder, f"data-{name}")
        self.log = open(os.path.join(deployment.folder, f"{name}.log"), "ab")

    @property
    def is_core(self):
        return self.program == CONTROL

    @property
    def control(self):
        return (self.ip, self.deployment.control_port)

    @property
    def front(self):
        return (self.ip, self.deployment.front_port)

    def write_settings(self, bootstrap):
        ports, core = self.deployment, self.is_core
        seeds = ", ".join(f'"{ip}:{ports.control_port}"' for ip in ports.seeds)
        lines = [
            f'nodeName = "{self.name}"', f'role = "{"control" if core else "broker"}"',
            f'machineClass = "{"core" if core else "front"}"',
            f'serves = ["{"control" if core else "front"}"]', f'ip = "{self.ip}"',
            f'zone = "{self.zone}"', f'region = "{ZONES[self.zone]}"',
            f"internalPortRange = [{ports.internal_port},{ports.internal_port + 15}]",
            f"seedNodes = [{seeds}]", f"bootstrap = {str(bootstrap).lower()}",
            f"countsAsLoss = {str(core).lower()}",
        ]
        if core:
            lines.append(f'dataDir = "{self.data}"')
        lines += [
            'discovery = "cloud"', 'entry = "vip"', "heartbeatIntervalMs = 1200",
            'contracts = ["base","drain","config","cost","retry","recover","scatter"]',
            'config_mode = "highest"', "[zones]",
        ]
        lines += [f'{zone} = "{region}"' for zone, region in ZONES.items()]
        lines.append("[bindAddresses]")
        if core:
            lines.append(f'control = "{self.ip}:{ports.control_port}"')
        else:
            lines.append(f'front = "{self.ip}:{ports.front_port}"')
            lines.append(f'readiness = "{self.ip}:{ports.ready_port}"')
        lines += [
            "[limits]", "cpuShare = 1.0", "cpuCores = 1", "memoryMb = 260", "maxOpenFiles = 4100",
            "linkMbps = 1000.0", f"diskMb = {128 if core else 0}", "[faultTolerance]",
            "machines = 1", "zones = 0", "regions = 0", "[bounds]",
        ]
        lines += [f"{name} = {value}" for name, value in BOUNDS.items()]
        lines += [
            "[cloudApi]", f'address = "{ports.platform.address}"', "ratePerS = 59.0", "duties = []",
            "maxLagMs = 800",
        ]
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")

    def start(self, bootstrap=False):
        if self.is_core:
            os.makedirs(self.data, exist_ok=True)
        self.write_settings(bootstrap)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["GINGERKEEL_BOOT"] = self.settings
        self.process = subprocess.Popen(
            [self.program], env=environment, cwd=ROOT, stdout=self.log, stderr=self.log,
            stdin=subprocess.DEVNULL,
        )
        self.deployment.record(f"platform starts {self.name} at {self.ip}")

    def send(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """SIGKILL, and waits for the end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
            self.process = None
        self.deployment.record(f"platform kills {self.name}")

    def lose_disk(self):
        shutil.rmtree(self.data, ignore_errors=True)
        self.deployment.record(f"{self.name} has lost its disk")

    def ended_by_itself(self):
        """The exit status of a process that was not told to end; none if it runs."""
        return None if self.process is None else self.process.poll()


class Deployment:
    """A small deployment on loopback addresses."""

    def __init__(self, record):
        for program in (BROKER, CONTROL):
            if not os.access(program, os.X_OK):
                raise CouldNotRun(f"{program} is missing: run the build of deploy/system.toml")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.machines = []
        self.network = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        self.next_host = 10
        base = random.randint(20, 55) * 500
        self.internal_port, self.control_port = base, base + 20
        self.front_port, self.ready_port, self.leaf_port = base + 21, base + 22, base + 23
        self.platform = Platform(self.host(), base + 24)
        self.seeds = []

    def host(self):
        self.next_host += 1
        return f"{self.network}.{self.next_host}"

    def core(self, name, zone):
        machine = Machine(self, name, self.host(), zone, CONTROL)
        self.machines.append(machine)
        return machine

    def front(self, name, zone):
        machine = Machine(self, name, self.host(), zone, BROKER)
        self.machines.append(machine)
        return machine

    def leaf(self, service, zone, reply=None, work_s=0.02):
        leaf = Leaf(self.record, self.host(), self.leaf_port, service, zone, reply, work_s)
        self.platform.list(leaf)
        return leaf

    def close(self):
        for machine in self.machines:
            machine.send(signal.SIGCONT)
            machine.send(signal.SIGKILL)
            if machine.process is not None:
                machine.process.wait()
            machine.log.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def call(address, method, path, body=None, headers=None, timeout=1.0):
    """One call on a new connection; returns (status, headers, body), or none without an answer."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Operator:
    """The operator: sends and reads configurations, at any daemon that serves control."""

    def __init__(self, record):
        self.record = record

    def replace(self, machine, configuration, timeout=1.0):
        """Sends a configuration once; true if it was acknowledged."""
        body = json.dumps(configuration)
        headers = {"Content-Type": "application/json"}
        answer = call(machine.control, "POST", "/Config.Replace", body, headers, timeout)
        status = answer[0] if answer else "no answer"
        self.record(f"operator sends version {configuration['version']} to {machine.name}: {status}")
        return bool(answer) and answer[0] == 200

    def replace_anywhere(self, machines, configuration, within_s):
        """Repeats a configuration at the daemons in turn; the daemon that acknowledged it, or none."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            for machine in machines:
                if self.replace(machine, configuration):
                    return machine
            time.sleep(0.2)
        return None

    def fetch(self, machine, timeout=1.0):
        """Reads the configuration once; its version, or none."""
        answer = call(machine.control, "GET", "/Config.Fetch", timeout=timeout)
        version = None
        if answer and answer[0] == 200:
            version = json.loads(answer[2]).get("version")
        status = answer[0] if answer else "no answer"
        self.record(f"operator reads the configuration at {machine.name}: {status}, version {version}")
        return version

    def fetch_anywhere(self, machines, within_s):
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            for machine in machines:
                version = self.fetch(machine)
                if version is not None:
                    return version
            time.sleep(0.2)
        return None


def route(name, host, service, kind="safe", timeout_ms=4000, attempts=2):
    return {
        "name": name, "host": host, "pathPrefix": f"/{name}/", "routeType": kind,
        "timeoutMs": timeout_ms, "targetLatencyMs": 250, "priority": 1, "service": service,
        "maxAttempts": attempts,
    }


def configuration(version, routes, services):
    listed = [
        {"name": name, "healthPath": "/health", "maxConnections": 41, "protocol": "h1", "tls": False}
        for name in services
    ]
    limits = {
        "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
    }
    return {"version": version, "routes": routes, "services": listed, "limits": limits}


def request_headers(host, deadline_ms=4000):
    identity = f"{random.getrandbits(64):016x}"
    return identity, {"Host": host, "X-Request-Id": identity, "X-Deadline-Ms": str(deadline_ms)}


def wait_until(condition, within_s, what):
    until = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > until:
            raise CouldNotRun(what)
        time.sleep(0.05)


def is_ready(machine):
    answer = call((machine.ip, machine.deployment.ready_port), "GET", "/ready")
    return bool(answer) and answer[0] == 200


def run_case(folder, case):
    """Runs `case(record, deployment)`, which returns an exit code, and ends all processes."""
    # Processes are ended also when the case is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    record = Record(folder)
    record(f"TROUBLE={'1' if trouble() else '0'}")
    code = COULD_NOT_RUN
    deployment = None
    try:
        deployment = Deployment(record)
        code = case(record, deployment)
    except Exception as error:  # A fault of the case itself is no result.
        record(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
    finally:
        if deployment is not None:
            deployment.close()
    record({HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "no result"}[code])
    sys.exit(code)
