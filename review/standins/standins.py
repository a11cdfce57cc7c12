"""Stand-ins of the platform for the review's scripts: a row store, task runners
and callers, and the project's programs as separate processes on loopback.

Everything follows the platform's pages. Each process reaches the store through
an address of its own, so that a script can disturb the store for one process.
"""
import asyncio
import base64
import bisect
import ctypes
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "jobs.example"
PREFIX = "/q/"
CANNOT_RUN = 2
TIME_LIMIT_S = 112
used_ports = set()


def free_port():
    """Returns a port below the kernel's range for outgoing connections: one of
    these could take it while its process is away."""
    while True:
        port = random.randrange(12000, 32000)
        if port in used_ports:
            continue
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        used_ports.add(port)
        return port


# ---------------------------------------------------------------- HTTP

class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.headers, self.body = method, headers, body
        self.path, _, query = target.partition("?")
        self.query = {}
        for part in filter(None, query.split("&")):
            key, _, value = part.partition("=")
            self.query[key] = re.sub(
                "%([0-9A-Fa-f]{2})", lambda m: chr(int(m.group(1), 16)), value)

    def json(self):
        return json.loads(self.body or b"{}")


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "") == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    return lines[0], headers, body


class HttpServer:
    """Serves `handler(request)`, a coroutine that returns (status, object).

    None as the answer leaves the request unanswered, and the connection carries
    nothing further.
    """

    def __init__(self, handler, port=None):
        self.handler = handler
        self.port = port or free_port()
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True)
        return self

    async def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                answer = await self.handler(
                    Request(method, target, headers, body))
                if answer is None:
                    await reader.read()
                    return
                status, content = answer
                data = b"" if content is None else json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(port, method, target, body=None, headers=None, timeout=3.0):
    """One request on a connection of its own: (status, object); status 0: none."""
    async def run():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = {"Host": HOST, "Content-Type": "application/json",
                    "Content-Length": str(len(data)), **(headers or {})}
            writer.write((f"{method} {target} HTTP/1.1\r\n" + "".join(
                f"{k}: {v}\r\n" for k, v in head.items()) + "\r\n").encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, None
            line, _, content = message
            try:
                parsed = json.loads(content) if content else None
            except ValueError:
                parsed = None
            return int(line.split(" ")[1]), parsed
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, None


# ---------------------------------------------------------------- store

class Store:
    """The platform's row store: rows-tx, rows-get, rows-parts and rows-feed."""

    def __init__(self, answer_ms=4):
        self.rows = {}          # (table, part, key) -> (base64 text, version)
        self.log = []           # (version, table, part, key, gone)
        self.version = 0
        self.answer_s = answer_ms / 1000
        self.changed = asyncio.Condition()
        self.servers = {}
        # Called before each call of a process: `await fault(process, request)`
        # returns None to go on, or an answer; LOST leaves it unanswered.
        self.fault = None
        # Called after a transaction has taken effect.
        self.on_commit = None

    async def address_for(self, process):
        if process not in self.servers:
            async def handler(request, process=process):
                return await self.handle(process, request)
            self.servers[process] = await HttpServer(handler).start()
        return self.servers[process].port

    def put_now(self, table, part, key, value):
        self.version += 1
        text = base64.b64encode(value.encode()).decode()
        self.rows[(table, part, key)] = (text, self.version)
        self.log.append((self.version, table, part, key, False))

    async def put(self, table, part, key, value):
        self.put_now(table, part, key, value)
        async with self.changed:
            self.changed.notify_all()

    def row_json(self, key, row):
        return {"table": key[0], "part": key[1], "privateKey": key[2],
                "value": row[0], "ver": row[1]}

    def stamp(self, body):
        return {**body, "ver": self.version,
                "now_ms": int(time.monotonic() * 1000)}

    async def handle(self, process, request):
        if self.fault:
            answer = await self.fault(process, request)
            if answer == "lost":
                return None
            if answer is not None:
                return answer
        if request.path == "/api/rows-tx":
            await asyncio.sleep(self.answer_s)
            answer = await self.transact(request.json())
            if self.on_commit and answer[0] == 200:
                self.on_commit(process, request.json())
            return answer
        if request.path == "/api/rows-get":
            await asyncio.sleep(self.answer_s)
            return self.get(request.query)
        if request.path == "/api/rows-feed":
            return await self.feed(request.query)
        return 404, {}

    async def transact(self, body):
        current, holds = [], True
        for want in body.get("expectedRevision", []):
            key = (want["table"], want.get("part", ""), want["privateKey"])
            row = self.rows.get(key)
            if (row[1] if row else 0) != want.get("ver", 0):
                holds = False
            if row:
                current.append(self.row_json(key, row))
        if not holds:
            return 412, self.stamp({"rows": current})
        self.version += 1
        for row in body.get("put", []):
            key = (row["table"], row.get("part", ""), row["privateKey"])
            self.rows[key] = (row.get("value", ""), self.version)
            self.log.append((self.version, *key, False))
        for row in body.get("remove", []):
            key = (row["table"], row.get("part", ""), row["privateKey"])
            if self.rows.pop(key, None):
                self.log.append((self.version, *key, True))
        async with self.changed:
            self.changed.notify_all()
        return 200, self.stamp({})

    def get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        start = query.get("fromRevision", "")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(k for k in self.rows
                      if k[0] == table and k[1] == part and k[2] >= start)
        rows = [self.row_json(k, self.rows[k]) for k in keys[:limit]]
        return 200, self.stamp({"rows": rows, "more": len(keys) > limit})

    async def feed(self, query):
        table = query.get("table", "")
        after = int(query.get("afterRevision", 0))
        wait = min(int(query.get("waitMs", 0)), 30000) / 1000
        end = time.monotonic() + wait
        while True:
            rows = {}
            at = bisect.bisect_right(self.log, (after, "\uffff"))
            for version, t, part, key, gone in self.log[at:]:
                if t == table and version > after:
                    rows[(t, part, key)] = gone
            left = end - time.monotonic()
            if rows or left <= 0:
                listed = []
                for key, gone in rows.items():
                    if gone or key not in self.rows:
                        listed.append({"table": key[0], "part": key[1],
                                       "privateKey": key[2],
                                       "ver": self.version, "gone": True})
                    else:
                        listed.append(self.row_json(key, self.rows[key]))
                return 200, self.stamp({"rows": listed})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


def service_settings(version, target_latency_ms=1000, admission=True):
    return json.dumps({
        "version": version,
        "routes": [{"name": "q", "host": HOST, "pathPrefix": PREFIX,
                    "service": "web", "maxAttempts": 3, "stretch": 2.0,
                    "targetLatencyMs": target_latency_ms, "priority": 0}],
        "services": [{"name": "web", "admissionCheck": admission}],
        "limits": {}})


# ---------------------------------------------------------------- runner

class Runner:
    """A task runner. A taskSpec such as "run_ms=500" tells how long a task runs."""

    def __init__(self, identity, record, cpu=16000, mem=64000):
        self.id, self.record = identity, record
        self.cpu, self.mem = cpu, mem
        self.token = 0
        self.sequence = 0
        self.last_end = 0
        self.lease_end = 0
        self.running = {}       # task -> [run, end of its work, spec]
        self.ended = []
        self.highest = {}
        self.born = time.monotonic()
        self.changed = asyncio.Condition()
        self.runs = []          # {task, run, began, ended, how}
        self.server = None
        self.tasks = []

    def clock(self):
        return int((time.monotonic() - self.born) * 1000)

    async def start(self, control_port, heartbeat_s=1.1):
        self.server = await HttpServer(self.handle).start()
        self.control_port, self.heartbeat_s = control_port, heartbeat_s
        self.tasks = [asyncio.create_task(self.beat()),
                      asyncio.create_task(self.tick())]
        return self

    async def beat(self):
        while True:
            self.sequence += 1
            await call(self.control_port, "PUT", "/api/instances/" + self.id, {
                "service": "web", "address": f"127.0.0.1:{self.server.port}",
                "zone": "hall", "version": "v1", "slots": 8, "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpus": 0},
                "labels": ["a", "r1-1"], "clockMs": self.clock(),
                "sequence": self.sequence}, timeout=1.0)
            await asyncio.sleep(self.heartbeat_s)

    def end(self, task, how):
        run = self.running.pop(task)
        self.last_end += 1
        self.highest[task] = max(self.highest.get(task, 0), run[0])
        self.ended.append([self.last_end, task, run[0], how, ""])
        run[3].update(ended=time.time(), how=how)
        self.record(f"runner {self.id}: {task} run {run[0]} ended {how}")

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            now, ended = time.monotonic(), False
            lapsed = self.running and self.clock() > self.lease_end
            for task, run in list(self.running.items()):
                if lapsed or now >= run[1]:
                    self.end(task, "lapsed" if lapsed else "done")
                    ended = True
            if ended:
                async with self.changed:
                    self.changed.notify_all()

    def answer(self, **more):
        return {"clockMs": self.clock(), **more}

    async def handle(self, request):
        if request.headers.get("expect-instance", self.id) != self.id:
            return 421, None
        body = request.json()
        if body.get("fencingToken", 0) < self.token:
            return 409, self.answer(reason="fence")
        self.token = body.get("fencingToken", 0)
        if request.path == "/api/run-start":
            return self.begin(body)
        if request.path == "/api/run-stop":
            task, run = body["task"], body["run"]
            if task in self.running and self.running[task][0] <= run:
                self.end(task, "stopped")
            self.highest[task] = max(self.highest.get(task, 0), run)
            return 200, self.answer()
        if request.path == "/api/pace":
            return 200, self.answer()
        if request.path == "/api/hold":
            self.extend(body)
            seen = body.get("lastSeen", 0)
            self.ended = [e for e in self.ended if e[0] > seen]
            until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
            while not self.ended and time.monotonic() < until:
                async with self.changed:
                    try:
                        await asyncio.wait_for(
                            self.changed.wait(), until - time.monotonic())
                    except asyncio.TimeoutError:
                        pass
            running = [[t, r[0], "", 50, 0] for t, r in self.running.items()]
            return 200, self.answer(running=running, ended=self.ended[:500])
        return 404, None

    def extend(self, body):
        wanted = body.get("expiresAtMs", 0)
        self.lease_end = max(self.lease_end, min(wanted, self.clock() + 6000))

    def begin(self, body):
        self.extend(body)
        task, run = body["task"], body["run"]
        if task in self.running and self.running[task][0] == run:
            return 200, self.answer()
        if task in self.running or run <= self.highest.get(task, 0):
            return 409, self.answer(reason="old")
        if body.get("expiresAtMs", 0) < self.clock():
            return 409, self.answer(reason="late")
        match = re.search(r"run_ms=(\d+)", body.get("taskSpec", ""))
        length = int(match.group(1)) / 1000 if match else 0.1
        entry = {"task": task, "run": run, "began": time.time(),
                 "ended": None, "how": None, "runner": self.id}
        self.runs.append(entry)
        self.running[task] = [run, time.monotonic() + length, "", entry]
        self.record(f"runner {self.id}: {task} run {run} began")
        return 200, self.answer()


# ---------------------------------------------------------------- processes

def fill(template, fields):
    """Fills a settings template as the platform does (plain values, sections)."""
    def look(name, scopes):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value, found = scope, True
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit():
                    value = value[int(part)]
                else:
                    found = False
                    break
            if found:
                return value
        return None

    def render(text, scopes):
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def one(match):
            value = look(match.group(2), scopes)
            if match.group(1) == "^":
                return "" if value else render(match.group(3), scopes)
            if isinstance(value, list):
                return "".join(
                    render(match.group(3), scopes + [v]) for v in value)
            return render(match.group(3), scopes) if value else ""
        text = section.sub(one, text)
        return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(
            "" if look(m.group(1), scopes) is None
            else look(m.group(1), scopes)), text)
    return render(template, [fields])


BOUNDS = {"graceS": 6, "maxHoldMs": 6000, "harm_ms": 4000}


def command_of(role):
    """The command of the deploy file; from build/ if only that was built."""
    text = (ROOT / "deploy/system.toml").read_text()
    section = text.split(f"[roles.{role}]", 1)[1]
    run = re.search(r'run = "([^"]+)"', section).group(1)
    template = re.search(r'template = "([^"]+)"', section).group(1)
    for path in (run, run.replace("target/", "build/", 1)):
        if (ROOT / path).exists():
            return path, (ROOT / template).read_text()
    print(f"{run} is not built", file=sys.stderr)
    sys.exit(CANNOT_RUN)


def end_with_parent():
    """Has the kernel kill the calling process when the script ends."""
    pr_set_pdeathsig = 1
    ctypes.CDLL(None).prctl(pr_set_pdeathsig, signal.SIGKILL)


class Process:
    """One of the project's programs. An ended one starts again after a moment."""

    def __init__(self, deployment, name, role, fields):
        self.deployment, self.name, self.role = deployment, name, role
        self.command, template = command_of(role)
        self.settings = deployment.directory / (name + ".yaml")
        self.settings.write_text(fill(template, fields))
        self.process = None
        self.restarts = True        # The platform starts an ended process again.
        self.killed = False
        self.on_line = None
        self.watch = None

    @property
    def pid(self):
        return self.process.pid

    def alive(self):
        return self.process is not None and self.process.returncode is None

    async def start(self):
        env = {k: v for k, v in os.environ.items()
               if k in ("PATH", "HOME", "LANG")}
        env["BEAMHILL_CONFIG"] = str(self.settings)
        self.killed = False
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / self.command), cwd=ROOT, env=env,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
            limit=1 << 20, preexec_fn=end_with_parent)
        self.watch = asyncio.create_task(self._watch(self.process))

    async def _watch(self, process):
        log = open(self.deployment.directory / (self.name + ".log"), "ab")
        with log:
            async for line in process.stdout:
                log.write(line)
                log.flush()
                if self.on_line:
                    self.on_line(line.decode(errors="replace"))
        code = await process.wait()
        if not self.killed and not self.deployment.closing:
            self.deployment.record(f"{self.name} ended by itself, code {code}")
            if self.deployment.on_end:
                self.deployment.on_end(self.name, code)
        if self.restarts and not self.deployment.closing:
            await asyncio.sleep(0.2)
            if not self.deployment.closing and process is self.process \
                    and self.restarts:
                await self.start()

    def signal(self, number):
        if self.alive():
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.killed = True
            self.process.send_signal(number)


class Deployment:
    """Some schedulers and executors with their runners, and a store."""

    def __init__(self, schedulers, vms, folder):
        self.folder = pathlib.Path(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="beamhill-review-")
        self.directory = pathlib.Path(self.temporary.name)
        self.count = (schedulers, vms)
        self.store = None
        self.processes = {}
        self.runners = {}
        self.ports = {}
        self.closing = False
        # Called with the name and the exit code of a process that has ended by
        # itself.
        self.on_end = None
        self.began = time.monotonic()
        self.file = open(self.folder / "record.txt", "w")

    def record(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")
        self.file.flush()

    async def start(self):
        self.store = Store()
        self.store.put_now("op", "", "config", service_settings(1))
        schedulers, vms = self.count
        for i in range(1, schedulers + 1):
            await self.add_scheduler(f"front-{i}")
        for i in range(1, vms + 1):
            await self.add_executor(f"side-{i}")
        for process in self.processes.values():
            await process.start()

    async def common(self, name):
        return {"nodeName": name, "ip": "127.0.0.1",
                "platform": {"address": f"127.0.0.1:{await self.store.address_for(name)}"},
                "bounds": BOUNDS,
                "contracts": ["base", "drain", "config", "cost", "recover",
                              "sched", "platform", "advice", "upkeep",
                              "sharing"],
                "limits": {"cpuShare": 0.25, "cores": 1, "linkMbps": 1000.0}}

    async def add_scheduler(self, name):
        ports = {k: free_port() for k in ("peers", "front", "ready", "figures")}
        self.ports[name] = ports
        fields = await self.common(name)
        fields["internalPortRange"] = [ports["peers"]]
        fields["listen"] = {"front": f"127.0.0.1:{ports['front']}",
                            "readiness": f"127.0.0.1:{ports['ready']}"}
        process = Process(self, name, "scheduler", fields)
        self.move_figures(process, ports)
        self.processes[name] = process

    async def add_executor(self, name):
        ports = {k: free_port() for k in
                 ("links", "standby", "control", "figures")}
        self.ports[name] = ports
        runner = Runner("i-" + name, self.record)
        await runner.start(ports["control"])
        self.runners[name] = runner
        fields = await self.common(name)
        fields["internalPortRange"] = [ports["links"], ports["standby"]]
        fields["listen"] = {"control": f"127.0.0.1:{ports['control']}"}
        fields["app"] = f"127.0.0.1:{runner.server.port}"
        process = Process(self, name, "executor", fields)
        self.move_figures(process, ports)
        self.processes[name] = process

    @staticmethod
    def move_figures(process, ports):
        # All processes share one address here, so the fixed port can't be used.
        text = process.settings.read_text().replace(
            "127.0.0.1:9464", f"127.0.0.1:{ports['figures']}")
        process.settings.write_text(text)

    async def stop(self):
        self.closing = True
        for process in self.processes.values():
            if process.alive():
                process.killed = True
                process.process.send_signal(signal.SIGCONT)
                process.process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            if process.process:
                await process.process.wait()
        for runner in self.runners.values():
            for task in runner.tasks:
                task.cancel()
            await runner.server.stop()
        self.file.close()
        if not os.environ.get("KEEP"):
            self.temporary.cleanup()

    # Callers.

    async def submit(self, front, job, spec="run_ms=200", tasks=1, timeout=3.0):
        body = {"taskSpec": spec, "steps": [
            {"count": tasks, "cpu": 500, "memMb": 256, "estimatedMs": 200}]}
        self.record(f"caller: POST {job} at {front}")
        status, _ = await call(self.ports[front]["front"], "POST", PREFIX + job,
                               body, timeout=timeout)
        self.record(f"caller: POST {job} at {front} -> {status or 'no answer'}")
        return status

    async def state(self, front, job):
        status, body = await call(self.ports[front]["front"], "GET", PREFIX + job)
        state = (body or {}).get("state") if status == 200 else None
        self.record(f"caller: GET {job} at {front} -> {status} {state or ''}")
        return status, state

    async def cancel(self, front, job):
        status, _ = await call(self.ports[front]["front"], "DELETE", PREFIX + job)
        self.record(f"caller: DELETE {job} at {front} -> {status}")
        return status

    async def dump(self, name):
        reader_status = await raw_get(self.ports[name]["figures"], "/state")
        return reader_status or ""

    async def owner(self):
        for name, process in self.processes.items():
            if process.role == "scheduler" and process.alive():
                if " owns 1 " in await self.dump(name):
                    return name
        return None

    async def wait_ready(self, timeout=30):
        """Waits for an owner that has heard from all VMs and all schedulers."""
        schedulers, vms = self.count
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            owner = await self.owner()
            if owner:
                text = await self.dump(owner)
                peers = re.search(r" peers (\d+)", text)
                if text.count(" answered 1 ") >= vms and peers and \
                        int(peers.group(1)) >= schedulers - 1:
                    ready = [await raw_status(self.ports[n]["ready"])
                             for n, p in self.processes.items()
                             if p.role == "scheduler"]
                    if all(s == 200 for s in ready):
                        return owner
            await asyncio.sleep(0.1)
        return None


async def raw_get(port, path):
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return None
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        message = await asyncio.wait_for(read_message(reader), 1.0)
        return message[2].decode(errors="replace") if message else None
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        writer.close()


async def raw_status(port):
    return (await call(port, "GET", "/api/readiness", timeout=1.0))[0]


def run_script(main):
    """Runs the coroutine and exits with its result; 2 if it takes too long."""
    async def limited():
        task = asyncio.ensure_future(main())
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(task, TIME_LIMIT_S)
        except (asyncio.TimeoutError, asyncio.CancelledError):
            return CANNOT_RUN
    sys.exit(asyncio.run(limited()))
