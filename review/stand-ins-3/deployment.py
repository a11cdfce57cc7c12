"""A small deployment on loopback for review cases: the programs of the deploy
file as separate processes, and stand-ins for the platform's store, the runners
and the clients, written from the users' pages.

    with Deployment(fronts=2, sides=3, record=Record("record.txt")) as d:
        d.wait_until_ready()
        d.submit(0, job_id, d.job(tasks=2, run_ms=500))

Only the standard library is used. All addresses are loopback addresses; each
machine has one of its own, so that its ports are free.
"""
import base64
import http.client
import http.server
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "jobs.example"
PREFIX = "/q/"
SERVICE = "web"

# The bounds of the users' pages that the stand-ins and the checks need.
MAX_HOLD_MS = 6000
STOP_MS = 200
BEAT_S = 1.1
TX_S = 0.003
FEED_MAX_WAIT_S = 30.0
MAX_HOLD_WAIT_S = 2.0
LISTED_ENDS = 500
LASTS_S = 600  # A task that runs for so long is one that lasts.


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.start = time.monotonic()
        self.quiet = False  # Leaves out the lines about single runs.

    def now(self):
        return time.monotonic() - self.start

    def run(self, text):
        """Writes about a single run."""
        if not self.quiet:
            self.write(text)

    def write(self, text):
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


class Handler(http.server.BaseHTTPRequestHandler):
    """Base of the stand-ins' handlers: HTTP/1.1 with JSON bodies."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def body(self):
        size = int(self.headers.get("Content-Length") or 0)
        data = self.rfile.read(size) if size else b""
        return json.loads(data) if data else {}

    def answer(self, status, body=None):
        data = b"" if body is None else json.dumps(body).encode()
        head = (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n").encode()
        self.wfile.write(head + data)

    def handle(self):
        try:
            super().handle()
        except (ConnectionError, BrokenPipeError, ValueError):
            self.close_connection = True


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False
    request_queue_size = 128
    allow_reuse_address = True

    def __init__(self, address, handler, owner):
        self.owner = owner
        self._sockets = set()
        self._sockets_lock = threading.Lock()
        super().__init__(address, handler)
        threading.Thread(target=self.serve_forever, args=(0.05,),
                         daemon=True).start()

    def process_request(self, request, client_address):
        with self._sockets_lock:
            self._sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        with self._sockets_lock:
            self._sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        pass

    def stop(self):
        """Stops listening and closes all connections, like a process's end."""
        self.shutdown()
        self.server_close()
        with self._sockets_lock:
            sockets = list(self._sockets)
        for one in sockets:
            try:
                one.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store:
    """The platform's store: rows, transactions and feeds."""

    def __init__(self, address):
        self._lock = threading.Condition()
        self._rows = {}     # (table, part, key) -> (value, ver)
        self._removed = {}  # (table, part, key) -> ver
        self._ver = 0
        self._started = time.monotonic()
        self._tx_lock = threading.Lock()
        self.server = Server(address, StoreHandler, self)

    def put_operator_row(self, key, value):
        data = base64.b64encode(value.encode()).decode()
        with self._lock:
            self._ver += 1
            self._rows[("op", "", key)] = (data, self._ver)
            self._lock.notify_all()

    def _reply(self, body):
        return dict(body, ver=self._ver,
                    now_ms=int((time.monotonic() - self._started) * 1000))

    def _row(self, key):
        value, ver = self._rows[key]
        return {"table": key[0], "part": key[1], "privateKey": key[2],
                "value": value, "ver": ver}

    def transact(self, body):
        expected = body.get("expectedRevision") or []
        puts = body.get("put") or []
        removals = body.get("remove") or []
        if len(expected) + len(puts) + len(removals) > 100:
            return 400, None
        name = lambda e: (e["table"], e.get("part", ""), e["privateKey"])
        with self._tx_lock:
            time.sleep(TX_S)
            with self._lock:
                keys = [name(e) for e in expected]
                wrong = [k for k, e in zip(keys, expected)
                         if (self._rows[k][1] if k in self._rows else 0)
                         != e["ver"]]
                if wrong:
                    rows = [self._row(k) for k in keys if k in self._rows]
                    return 412, self._reply({"rows": rows})
                self._ver += 1
                for e in puts:
                    self._rows[name(e)] = (e["value"], self._ver)
                    self._removed.pop(name(e), None)
                for e in removals:
                    if self._rows.pop(name(e), None) is not None:
                        self._removed[name(e)] = self._ver
                self._lock.notify_all()
                return 200, self._reply({})

    def get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        first = query.get("fromRevision", "")
        last = query.get("targetVersion", "")
        limit = min(int(query.get("limit") or 500), 500)
        with self._lock:
            keys = sorted(k for k in self._rows
                          if k[0] == table and k[1] == part and k[2] >= first
                          and (not last or k[2] < last))
            rows = [self._row(k) for k in keys[:limit]]
            return 200, self._reply({"rows": rows, "more": len(keys) > limit})

    def feed(self, query):
        table = query.get("table", "")
        after = int(query.get("afterRevision") or 0)
        wait = min(float(query.get("waitMs") or 0) / 1000, FEED_MAX_WAIT_S)
        end = time.monotonic() + wait
        with self._lock:
            while True:
                rows = [self._row(k) for k, v in self._rows.items()
                        if k[0] == table and v[1] > after]
                rows += [{"table": k[0], "part": k[1], "privateKey": k[2],
                          "ver": v, "gone": True}
                         for k, v in self._removed.items()
                         if k[0] == table and v > after]
                left = end - time.monotonic()
                if rows or left <= 0:
                    rows.sort(key=lambda r: r["ver"])
                    return 200, self._reply({"rows": rows})
                self._lock.wait(left)


class StoreHandler(Handler):
    def do_POST(self):
        body = self.body()
        if self.path == "/api/rows-tx":
            self.answer(*self.server.owner.transact(body))
        else:
            self.answer(404)

    def do_GET(self):
        path, query = split_query(self.path)
        if path == "/api/rows-get":
            time.sleep(TX_S)
            self.answer(*self.server.owner.get(query))
        elif path == "/api/rows-feed":
            self.answer(*self.server.owner.feed(query))
        else:
            self.answer(404)


def split_query(target):
    from urllib.parse import parse_qsl, urlsplit
    parts = urlsplit(target)
    return parts.path, dict(parse_qsl(parts.query, keep_blank_values=True))


class Runner:
    """A runner: a life of a machine that runs tasks and beats at its executor.

    A payload names how long each task runs ("run_ms=500"), or "fails" for a
    task that fails at once. `born` is sent as the pages of the fleet tell.
    """

    def __init__(self, record, name, address, control, zone, labels,
                 cpu=16000, mem=64000):
        self._record = record
        self.name = name
        self._address = address
        self._control = control
        self._zone = zone
        self._labels = labels
        self._cpu, self._mem = cpu, mem
        self._lives = 0
        self.runs = []  # Of all lives: [task, run, begin, end, how].
        self.fails_all = False
        self.lock = threading.Condition()
        self.server = None
        self.up = False
        self.machine_ip = address[0]
        self.acknowledged_beats = 0

    def life_id(self, number):
        """The id of the life of that number; each has its own."""
        return f"i-{self.name}-{number}"

    def start(self):
        """Begins a new life."""
        with self.lock:
            self._lives += 1
            self.id = self.life_id(self._lives)
            self.born = int(time.time() * 1000)
            self._clock = time.monotonic()
            # task -> [run, run record, ends at, fails, length]
            self.running = {}
            self.ended = []    # [N, task, run, how, saved]
            self._last_end = 0
            self._highest = {}
            self._token = 0
            self._lease_end = 0
            self.sequence = 0
            self.up = True
        self.server = Server(self._address, RunnerHandler, self)
        life = self._lives
        threading.Thread(target=self._tick, args=(life,), daemon=True).start()
        threading.Thread(target=self._beat, args=(life,), daemon=True).start()
        self._record.write(f"runner {self.id} starts (born {self.born})")

    def crash(self):
        """Ends this life without a word."""
        with self.lock:
            self.up = False
            for task in list(self.running):
                self._end(task, "crash", listed=False)
            self.lock.notify_all()
        self.server.stop()
        self._record.write(f"runner {self.id} is lost")

    def clock_ms(self):
        return int((time.monotonic() - self._clock) * 1000)

    def _alive(self, life):
        return self.up and self._lives == life

    def _tick(self, life):
        while True:
            time.sleep(0.01)
            with self.lock:
                if not self._alive(life):
                    return
                now = time.monotonic()
                lapsed = self.clock_ms() > self._lease_end
                for task, entry in list(self.running.items()):
                    if lapsed:
                        self._end(task, "lapsed")
                    elif now >= entry[2]:
                        self._end(task, "failed" if entry[3] else "done")

    def _end(self, task, how, listed=True):
        run, row = self.running.pop(task)[:2]
        row[3], row[4] = self._record.now(), how
        self._highest[task] = max(self._highest.get(task, 0), run)
        self._record.run(f"runner {self.id}: {task} run {run} ends {how}")
        if listed:
            self._last_end += 1
            self.ended.append([self._last_end, task, run, how, ""])
            self.lock.notify_all()

    def beat_body(self):
        return {"service": SERVICE,
                "address": "%s:%d" % self._address, "zone": self._zone,
                "version": "v1", "slots": 8, "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {"cpu": self._cpu, "memMb": self._mem, "gpus": 0},
                "labels": self._labels, "clockMs": self.clock_ms(),
                "sequence": self.sequence, "born": self.born}

    def send_beat(self, instance, body):
        """Sends one heartbeat and returns its status, or None."""
        try:
            connection = http.client.HTTPConnection(*self._control, timeout=1)
            connection.request("PUT", "/api/instances/" + instance,
                               json.dumps(body),
                               {"Content-Type": "application/json"})
            status = connection.getresponse().status
            connection.close()
            return status
        except OSError:
            return None

    def _beat(self, life):
        last = "none"
        while self._alive(life):
            self.sequence += 1
            status = self.send_beat(self.id, self.beat_body())
            if status == 200:
                self.acknowledged_beats += 1
            if status != last and self._alive(life):
                self._record.write(f"runner {self.id}: beat answered {status}")
            last = status
            time.sleep(BEAT_S if status == 200 else 0.3)

    # Calls of the executor. Each returns a status and a body.

    def _fenced(self, body):
        if not self.up:
            raise ConnectionError("this life is over")
        token = body.get("fencingToken", 0)
        if token < self._token:
            return True
        self._token = token
        return False

    def _extend(self, body):
        end = min(body.get("expiresAtMs", 0), self.clock_ms() + MAX_HOLD_MS)
        self._lease_end = max(self._lease_end, end)

    def run_start(self, body):
        with self.lock:
            clock = {"clockMs": self.clock_ms()}
            if self._fenced(body):
                return 409, dict(clock, reason="fence")
            self._extend(body)
            task, run = body["task"], body["run"]
            if task in self.running and self.running[task][0] == run:
                return 200, clock
            if task in self.running or run <= self._highest.get(task, 0):
                return 409, dict(clock, reason="old")
            if body.get("expiresAtMs", 0) <= self.clock_ms():
                return 409, dict(clock, reason="late")
            spec = body.get("taskSpec", "")
            found = re.search(r"run_ms=(\d+)", spec)
            length = int(found.group(1)) / 1000 if found else 0.1
            fails = self.fails_all
            if fails:
                length = 0.02
            row = [task, run, self._record.now(), None, None, self.id]
            self.runs.append(row)
            self.running[task] = [run, row, time.monotonic() + length, fails,
                                  length]
            self._record.run(f"runner {self.id}: {task} run {run} begins")
            return 200, clock

    def run_stop(self, body):
        with self.lock:
            clock = {"clockMs": self.clock_ms()}
            if self._fenced(body):
                return 409, dict(clock, reason="fence")
            task, run = body["task"], body["run"]
            if task in self.running and self.running[task][0] <= run:
                self._end(task, "stopped")
            self._highest[task] = max(self._highest.get(task, 0), run)
            return 200, clock

    def pace(self, body):
        with self.lock:
            if self._fenced(body):
                return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
            return 200, {"clockMs": self.clock_ms()}

    def _percent(self, entry):
        """How far a run has come; a task that lasts is at work at 100."""
        begun, length = entry[1][2], entry[4]
        if length >= LASTS_S:
            return 100
        return min(99, int(100 * (self._record.now() - begun) / length))

    def hold(self, body):
        wait = min(body.get("waitMs", 0) / 1000, MAX_HOLD_WAIT_S)
        end = time.monotonic() + wait
        with self.lock:
            if self._fenced(body):
                return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
            self._extend(body)
            seen = body.get("lastSeen", 0)
            self.ended = [e for e in self.ended if e[0] > seen]
            while not self.ended and self.up:
                left = end - time.monotonic()
                if left <= 0:
                    break
                self.lock.wait(left)
            if not self.up:
                raise ConnectionError("this life is over")
            running = [[t, e[0], "", 50, 500] for t, e in self.running.items()]
            return 200, {"clockMs": self.clock_ms(), "born": self.born,
                         "running": running,
                         "ended": self.ended[:LISTED_ENDS]}


class RunnerHandler(Handler):
    def do_POST(self):
        runner = self.server.owner
        body = self.body()
        if self.headers.get("Expect-Instance") != runner.id:
            self.answer(421)
            return
        calls = {"/api/run-start": runner.run_start,
                 "/api/run-stop": runner.run_stop,
                 "/api/hold": runner.hold, "/api/pace": runner.pace}
        call = calls.get(self.path)
        if call is None:
            self.answer(404)
        else:
            self.answer(*call(body))


def render(template, fields):
    """Fills a settings template as the users' pages tell."""
    def look(scope, name):
        if name == ".":
            return scope[-1]
        for level in reversed(scope):
            value = level
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() \
                        and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def fill(text, scope):
        section = re.search(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", text, re.S)
        if section:
            value = look(scope, section.group(1))
            items = value if isinstance(value, list) else \
                ([value] if value else [])
            middle = "".join(fill(section.group(2), scope + [i]) for i in items)
            return (fill(text[:section.start()], scope) + middle +
                    fill(text[section.end():], scope))

        def gap(found):
            value = look(scope, found.group(1))
            if value is None:
                return ""
            if isinstance(value, bool):
                return "true" if value else "false"
            if isinstance(value, list):
                return ",".join(map(str, value))
            return str(value)
        return re.sub(r"\{\{([^}#/]+)\}\}", gap, text)

    return fill(template, [fields])


def deploy_roles():
    """The role names of the deploy file with their program and template."""
    roles, role = {}, None
    with open(os.path.join(ROOT, "deploy", "system.toml")) as f:
        for line in f:
            head = re.match(r"\[roles\.(\S+)\]", line)
            if head:
                role = roles.setdefault(head.group(1), {})
            field = re.match(r"(run|template|on) = \"(.*)\"", line)
            if field and role is not None:
                role[field.group(1)] = field.group(2)
    return {r["on"]: r for r in roles.values()}


class Machine:
    """A machine with one process of the system."""

    def __init__(self, deployment, name, kind, ip, zone):
        self.deployment, self.name, self.kind = deployment, name, kind
        self.ip, self.zone = ip, zone
        self.process = None
        role = deployment.roles[kind]
        fields = {
            "nodeName": name, "ip": ip, "zone": zone,
            "listen": {"front": f"{ip}:8161", "readiness": f"{ip}:8167",
                       "control": f"{ip}:8166"},
            "internalPortRange": [7720, 7735], "app": f"{ip}:8165",
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260,
                       "fileDescriptors": 4100, "linkMbps": 1000.0},
            "bounds": {"graceS": 6, "maxHoldMs": MAX_HOLD_MS,
                       "harm_ms": 4000},
            "contracts": deployment.contracts,
            "platform": {"address": "%s:%d" % deployment.store_address,
                         "row_bytes": 65536},
        }
        with open(os.path.join(ROOT, role["template"])) as f:
            text = render(f.read(), fields)
        self.settings = os.path.join(deployment.folder, name + ".yaml")
        with open(self.settings, "w") as f:
            f.write(text)
        self.command = role["run"].split()
        self.log = os.path.join(deployment.folder, name + ".log")

    def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["BEAMHILL_CONFIG"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log)
        self.deployment.record.write(f"{self.name} starts")

    def signal(self, number):
        self.deployment.record.write(
            f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()

    def running(self):
        return self.process is not None and self.process.poll() is None


class Deployment:
    """Starts everything; leaving the context ends what it has started."""

    def __init__(self, fronts, sides, record, contracts=None, labels=None,
                 cpu=16000, mem=64000, max_attempts=4):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="beamhill-review-")
        self.roles = deploy_roles()
        self.contracts = contracts or [
            "base", "drain", "config", "cost", "recover", "sched", "platform",
            "advice", "upkeep", "sharing"]
        net = free_net()
        self.store_address = (f"{net}.1", 8169)
        self.store = Store(self.store_address)
        self.put_config(1, max_attempts)
        zones = ["north", "south", "west"]
        self.fronts = [Machine(self, f"front-{i + 1}", "front",
                               f"{net}.{10 + i}", zones[i % 3])
                       for i in range(fronts)]
        self.sides = [Machine(self, f"side-{i + 1}", "side",
                              f"{net}.{30 + i}", zones[i % 3])
                      for i in range(sides)]
        self.runners = [
            Runner(record, m.name, (m.ip, 8165), (m.ip, 8166), m.zone,
                   labels[i] if labels else ["a", f"r1-{i // 3}"], cpu, mem)
            for i, m in enumerate(self.sides)]

    def put_config(self, version, max_attempts):
        self.store.put_operator_row("config", json.dumps({
            "version": version,
            "routes": [{"name": "q", "host": HOST, "pathPrefix": PREFIX,
                        "service": SERVICE, "priority": 0,
                        "maxAttempts": max_attempts, "stretch": 2.0,
                        "targetLatencyMs": 1000}],
            "services": [{"name": SERVICE, "admissionCheck": True}],
            "limits": {}}))

    def __enter__(self):
        try:
            for machine in self.fronts + self.sides:
                machine.start()
            for runner in self.runners:
                runner.start()
        except Exception:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for machine in self.fronts + self.sides:
            if machine.running():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        for runner in self.runners:
            if runner.up:
                runner.crash()
        self.store.server.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def call(self, front, method, path, body=None, timeout=3.0):
        """Sends one request; returns its status (None: no answer) and body."""
        machine = self.fronts[front]
        text = None if body is None else json.dumps(body)
        headers = {"Host": HOST, "Deadline-Ms": str(int(timeout * 1000))}
        if text is not None:
            headers["Content-Type"] = "application/json"
        try:
            connection = http.client.HTTPConnection(machine.ip, 8161,
                                                    timeout=timeout)
            connection.request(method, path, text, headers)
            response = connection.getresponse()
            data = response.read()
            connection.close()
            return response.status, json.loads(data) if data else None
        except (OSError, http.client.HTTPException, ValueError):
            return None, None

    def submit(self, job_id, job, tries=5):
        """Hands a job in as clients do; returns the last status."""
        status = None
        for attempt in range(tries):
            front = attempt % len(self.fronts)
            status, _ = self.call(front, "POST", PREFIX + job_id, job)
            self.record.write(
                f"client: POST {job_id} at {self.fronts[front].name}: {status}")
            if status is not None and 200 <= status < 300:
                break
            time.sleep(0.5)
        return status

    def state(self, job_id, front=0):
        """The job's state, or the status if that is not 200."""
        status, body = self.call(front, "GET", PREFIX + job_id)
        return body.get("state") if status == 200 else status

    def runs_of(self, job_id):
        """All runs of the job, as the runners saw them."""
        return [run for r in self.runners for run in list(r.runs)
                if run[0].startswith(job_id)]

    def active(self, job_id):
        """How many tasks of the job run now."""
        return len({t for r in self.runners if r.up for t in list(r.running)
                    if t.startswith(job_id)})

    def wait_for(self, condition, limit):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(0.05)
        return condition()

    def figure(self, machine, name):
        try:
            connection = http.client.HTTPConnection(machine.ip, 9464, timeout=1)
            connection.request("GET", "/metrics")
            text = connection.getresponse().read().decode()
            connection.close()
        except OSError:
            return None
        found = re.search(r"^%s (\S+)$" % re.escape(name), text, re.M)
        return float(found.group(1)) if found else None

    def owner(self):
        """The scheduler that owns the work; None if there is none."""
        for machine in self.fronts:
            if machine.running() and self.figure(machine,
                                                 "beamhill_owner") == 1:
                return machine
        return None

    def wait_until_ready(self, limit=20):
        """Waits until a job has run on every machine, one after another."""
        end = time.monotonic() + limit
        number = 0
        while time.monotonic() < end:
            number += 1
            job_id = f"{0xaaaa000000000000 + number:016x}"
            job = {"taskSpec": "run_ms=50",
                   "steps": [{"count": len(self.runners), "cpu": 100,
                              "memMb": 10, "estimatedMs": 50,
                              "antiAffinity": 1}]}
            if self.submit(job_id, job, tries=1) == 200 and self.wait_for(
                    lambda: self.state(job_id) == "completed", 3):
                if all(r.runs for r in self.runners):
                    return True
        return False


def free_net():
    """A 127.x.y network on which nothing listens at the ports that we use."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        probes = []
        try:
            for port in (8161, 8165, 8166, 8167, 8169, 7720, 7721, 9464):
                probe = socket.socket()
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((f"{net}.1", port))
                probes.append(probe)
            return net
        except OSError:
            continue
        finally:
            for probe in probes:
                probe.close()
    raise RuntimeError("no free loopback network")


def troubled():
    """Whether the case is to run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


BROKEN = 10  # What a case exits with; Python itself exits with 1 on an error.


def run_case(play, folder):
    """Plays the case; returns 0 if the rule held, BROKEN, or 2 if the case could
    not be played."""
    record = Record(os.path.join(folder, "record.txt"))
    try:
        return {0: 0, 1: BROKEN}.get(play(record), 2)
    except Exception as error:  # This says nothing about the rule.
        record.write(f"could not be played: {type(error).__name__}: {error}")
        return 2
