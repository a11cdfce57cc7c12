"""Stand-ins for the users' platform, written from its pages (PROTOCOL.md).

A store, runners, a client and the start of the project's two programs with the
run lines and the templates of the deploy file. Everything runs on loopback
addresses and the real clock. Only Python's own library is used.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


def now():
    return time.monotonic()


PORTS = set()  # Those given out, with their addresses.


def free_port(ip):
    while True:
        with socket.socket() as s:
            s.bind((ip, 0))
            port = s.getsockname()[1]
        if (ip, port) not in PORTS:
            PORTS.add((ip, port))
            return port


def exit_with(play):
    """Runs the case and exits with its code; with 2 if it fails itself."""
    try:
        code = asyncio.run(play)
    except (Exception, KeyboardInterrupt):  # An error must not read as 1.
        traceback.print_exc()
        code = 2
    sys.exit(code)


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = now()

    def at(self):
        return now() - self.began

    def line(self, text):
        self.file.write(f"{self.at():8.3f} {text}\n")
        self.file.flush()


class Server:
    """An HTTP/1.1 server; `handle(method, path, query, headers, body)` returns
    (status, dict), or None for no answer at all."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.tasks = set()

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        key, value = line.split(":", 1)
                        headers[key.strip().lower()] = value.strip()
                body = await reader.readexactly(
                    int(headers.get("content-length", 0)))
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(
                    url.query, keep_blank_values=True))
                answer = await self.handle(method, url.path, query, headers,
                                           body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, content = answer
                data = json.dumps(content).encode()
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'X')}"
                              "\r\nContent-Type: application/json\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n").encode()
                             + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def drop_connections(self):
        for task in list(self.tasks):
            task.cancel()

    def close(self):
        if self.server:
            self.server.close()
        self.drop_connections()


class Store:
    """The platform's metadata store. `factor` multiplies its time of 4 ms an
    answer (3 ms of them for a transaction, one after another)."""

    TX_S = 0.003
    NET_S = 0.001

    def __init__(self, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> (value, ver)
        self.gone = {}  # (table, part, key) -> ver
        self.ver = 0
        self.factor = 1.0
        self.changed = asyncio.Event()
        self.part_free_at = {}
        self.began = now()
        self.server = Server(self.handle)

    def operator_put(self, key, document):
        self.put("op", "", key, base64.b64encode(
            json.dumps(document).encode()).decode(), self.next_ver())

    def next_ver(self):
        self.ver += 1
        return self.ver

    def put(self, table, part, key, value, ver):
        self.rows[(table, part, key)] = (value, ver)
        self.gone.pop((table, part, key), None)
        self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, name):
        value, ver = self.rows.get(name, ("", 0))
        return {"table": name[0], "part": name[1], "privateKey": name[2],
                "value": value, "ver": ver}

    def stamp(self, content):
        content["ver"] = self.ver
        content["now_ms"] = int((now() - self.began) * 1000)
        return content

    async def handle(self, method, path, query, headers, body):
        if path == "/api/rows-tx":
            return await self.transact(json.loads(body))
        if path == "/api/rows-get":
            await asyncio.sleep(self.factor * (self.NET_S + self.TX_S))
            return 200, self.get(query)
        if path == "/api/rows-parts":
            await asyncio.sleep(self.factor * (self.NET_S + self.TX_S))
            parts = sorted({n[1] for n in self.rows
                            if n[0] == query["table"]})
            return 200, self.stamp({"parts": parts})
        if path == "/api/rows-feed":
            await asyncio.sleep(self.factor * self.NET_S)
            return await self.feed(query)
        return 404, {}

    async def transact(self, tx):
        names = lambda entries: [(e["table"], e.get("part", ""),
                                  e["privateKey"]) for e in entries]
        checks = tx.get("expectedRevision", [])
        puts = tx.get("put", [])
        removes = tx.get("remove", [])
        if len(checks) + len(puts) + len(removes) > 100:
            return 400, {}
        parts = {n[1] for n in names(checks + puts + removes)}
        # A part handles its transactions one after another.
        started = now()
        free = max([self.part_free_at.get(p, 0) for p in parts] + [started])
        if free - started > 1.0 * max(1.0, self.factor):
            return 429, {}
        done = free + self.factor * self.TX_S * (2 if len(parts) > 1 else 1)
        for part in parts:
            self.part_free_at[part] = done
        await asyncio.sleep(done - now() if done > now() else 0)
        wrong = False
        for check, name in zip(checks, names(checks)):
            if self.row(name)["ver"] != check["ver"]:
                wrong = True
        if wrong:
            answer = 412, self.stamp(
                {"rows": [self.row(n) for n in names(checks)]})
        else:
            if puts or removes:
                ver = self.next_ver()
                for entry, name in zip(puts, names(puts)):
                    self.put(*name, entry["value"], ver)
                for name in names(removes):
                    if self.rows.pop(name, None) is not None:
                        self.gone[name] = ver
                        self.notify()
                for name in names(puts):
                    if name[0] == "workflows":
                        self.record.line(f"store: kept job {name[2]}")
            answer = 200, self.stamp({})
        await asyncio.sleep(self.factor * self.NET_S)
        return answer

    def get(self, query):
        limit = min(int(query.get("limit", 500)), 500)
        first, last = query.get("fromRevision", ""), query.get("targetVersion")
        names = sorted(n for n in self.rows
                       if n[0] == query["table"] and n[1] == query["part"]
                       and n[2] >= first and (not last or n[2] < last))
        return self.stamp({"rows": [self.row(n) for n in names[:limit]],
                           "more": len(names) > limit})

    async def feed(self, query):
        after = int(query["afterRevision"])
        until = now() + min(int(query["waitMs"]), 30000) / 1000
        while True:
            rows = [self.row(n) for n, (_, ver) in self.rows.items()
                    if n[0] == query["table"] and ver > after]
            rows += [{"table": n[0], "part": n[1], "privateKey": n[2],
                      "ver": ver, "gone": True}
                     for n, ver in self.gone.items()
                     if n[0] == query["table"] and ver > after]
            if rows or now() >= until:
                rows.sort(key=lambda r: r["ver"])
                return 200, self.stamp({"rows": rows})
            event = self.changed
            try:
                await asyncio.wait_for(event.wait(), until - now())
            except asyncio.TimeoutError:
                pass


class Runner:
    """A sound runner. What a task does is in its taskSpec, as JSON:
    {"cpu": millicores, "ms": [per step], "fails": [per step]}. `fails`: tasks
    of that step end `failed` through their own fault. A task whose spec names
    "fails_ms" fails so long after its start, as long as `fails_now` is set;
    otherwise it lasts. Of runs beyond `recorded_runs` that fail so, only the
    number is recorded."""

    fails_now = False
    recorded_runs = 20

    STOP_S = 0.05

    def __init__(self, record, name, service, zone, rack, cpu, heartbeat_s,
                 max_hold_ms):
        self.record = record
        self.name = name
        self.id = "i-" + name
        self.service, self.zone, self.rack = service, zone, rack
        self.capacity = {"cpu": cpu, "memMb": 4 * cpu, "gpus": 0}
        self.heartbeat_s = heartbeat_s
        self.max_hold_ms = max_hold_ms
        self.began = now()
        self.fence = 0
        self.lease_ms = 0
        self.running = {}   # task -> dict
        self.highest = {}   # task -> highest run stopped or ended here
        self.ended = []
        self.count = 0
        self.sequence = 0
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        self.started = []   # (task, run, time)
        self.refused_old = []  # The same, of starts refused as `old`.
        self.is_cut = False

    def clock(self):
        return int((now() - self.began) * 1000)

    def cut_off(self, cut):
        """Cuts the runner off from all machines, or ends that. What arrives
        meanwhile is lost, as are the answers; the runner runs on."""
        self.is_cut = cut
        if not cut:
            self.server.drop_connections()

    async def listen(self, ip, port, executor):
        self.address, self.executor = (ip, port), executor
        await self.server.listen(ip, port)
        asyncio.create_task(self.heartbeats())
        asyncio.create_task(self.watch_lease())

    async def heartbeats(self):
        while True:
            if self.is_cut:
                await asyncio.sleep(0.1)
                continue
            self.sequence += 1
            body = {"service": self.service,
                    "address": "%s:%d" % self.address, "zone": self.zone,
                    "version": "v1", "slots": 8, "state": "ready",
                    "coldRemainingMs": 0, "capacity": self.capacity,
                    "labels": ["a", self.rack], "clockMs": self.clock(),
                    "sequence": self.sequence}
            try:
                await call(*self.executor, "PUT", "/api/instances/" + self.id,
                           body, timeout=1.0)
            except OSError:
                pass
            await asyncio.sleep(self.heartbeat_s)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() > self.lease_ms:
                for task in list(self.running):
                    self.end(task, "lapsed")

    def end(self, task, how):
        run = self.running.pop(task, None)
        if run is None:
            return
        self.count += 1
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.ended.append([self.count, task, run["run"], how, ""])
        if not run["quiet"]:
            self.record.line(
                f"{self.name}: {task} run {run['run']} ended {how}")
        self.changed.set()
        self.changed = asyncio.Event()

    def room(self, cpu):
        return self.capacity["cpu"] - sum(
            r["cpu"] for r in self.running.values()) >= cpu

    def extend(self, expires):
        if expires:
            self.lease_ms = max(self.lease_ms, min(
                expires, self.clock() + self.max_hold_ms))

    async def handle(self, method, path, query, headers, body):
        if self.is_cut:
            return None
        answer = await self.answer(path, headers, body)
        return None if self.is_cut else answer

    async def answer(self, path, headers, body):
        if path == "/health":
            return 200, {}
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {}
        order = json.loads(body or b"{}")
        if order.get("fencingToken", 0) < self.fence:
            return self.refuse("fence")
        self.fence = order.get("fencingToken", 0)
        if path == "/api/run-start":
            return self.start(order)
        if path == "/api/run-stop":
            return self.stop(order)
        if path == "/api/pace":
            return 200, {"clockMs": self.clock()}
        if path == "/api/hold":
            return await self.hold(order)
        return 404, {}

    def refuse(self, reason):
        return 409, {"clockMs": self.clock(), "reason": reason}

    def start(self, order):
        task, run = order["task"], order["run"]
        self.extend(order.get("expiresAtMs", 0))
        if order.get("expiresAtMs", 0) <= self.clock():
            return self.refuse("late")
        here = self.running.get(task)
        if here and here["run"] == run:
            return 200, {"clockMs": self.clock()}
        if here or run <= self.highest.get(task, 0):
            self.refused_old.append((task, run, self.record.at()))
            self.record.line(f"{self.name}: refused {task} run {run} as old, "
                             f"highest so far {self.highest.get(task, 0)}")
            return self.refuse("old")
        spec = json.loads(order["taskSpec"])
        step = int(task.split(".")[2])
        if not self.room(spec["cpu"]):
            return self.refuse("room")
        quiet = ("fails_ms" in spec and Runner.fails_now and
                 run > self.recorded_runs)
        self.running[task] = {"run": run, "cpu": spec["cpu"], "at": now(),
                              "ms": spec["ms"][step], "quiet": quiet}
        self.started.append((task, run, self.record.at()))
        if not quiet:
            self.record.line(f"{self.name}: started {task} run {run}, "
                             f"fencing token {order['fencingToken']}")
        how, ms = "done", spec["ms"][step]
        if spec["fails"][step]:
            how = "failed"
        if "fails_ms" in spec:
            if not Runner.fails_now:
                return 200, {"clockMs": self.clock()}
            how, ms = "failed", spec["fails_ms"]
        asyncio.get_running_loop().call_later(
            ms / 1000, self.finish, task, run, how)
        return 200, {"clockMs": self.clock()}

    def finish(self, task, run, how):
        if task in self.running and self.running[task]["run"] == run:
            self.end(task, how)

    def stop(self, order):
        task, run = order["task"], order["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        if task in self.running and self.running[task]["run"] <= run:
            asyncio.get_running_loop().call_later(
                self.STOP_S, self.finish, task, self.running[task]["run"],
                "stopped")
        return 200, {"clockMs": self.clock()}

    async def hold(self, order):
        self.ended = [e for e in self.ended if e[0] > order.get("lastSeen", 0)]
        self.extend(order.get("expiresAtMs", 0))
        until = now() + min(order.get("waitMs", 0), 2000) / 1000
        while not self.ended and now() < until:
            event = self.changed
            try:
                await asyncio.wait_for(event.wait(), until - now())
            except asyncio.TimeoutError:
                pass
        running = [[t, r["run"], "",
                    min(99, int(100 * (now() - r["at"]) * 1000 / r["ms"])),
                    r["cpu"]] for t, r in self.running.items()]
        return 200, {"clockMs": self.clock(), "running": running,
                     "ended": self.ended[:500]}


async def call(ip, port, method, path, body=None, host=None, timeout=4.0,
               leave=None):
    """One request on its own connection. Returns (status, body); status 0 if
    there was no complete answer. `leave`: the caller closes the connection
    after so many seconds without an answer."""
    limit = timeout if leave is None else leave
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(ip, port), limit)
        data = b"" if body is None else json.dumps(body).encode()
        head = (f"{method} {path} HTTP/1.1\r\nHost: {host or ip}\r\n"
                f"Content-Type: application/json\r\nDeadline-Ms: 3000\r\n"
                f"Content-Length: {len(data)}\r\n\r\n")
        writer.write(head.encode() + data)
        await writer.drain()

        async def answer():
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = re.search(r"(?i)content-length: *(\d+)", head)
            content = await reader.readexactly(
                int(length.group(1)) if length else 0)
            return int(head.split(" ")[1]), json.loads(content or b"{}")

        return await asyncio.wait_for(answer(), limit)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError,
            ValueError):
        return 0, {}
    finally:
        if writer:
            writer.close()


def fill(template, fields):
    """Fills a template of settings as DEPLOY.md says, as far as the project's
    templates need it."""

    def look(path, entry):
        if path == ".":
            return entry
        value = fields
        for key in path.split("."):
            if isinstance(value, list):
                value = value[int(key)] if int(key) < len(value) else None
            else:
                value = value.get(key) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def blocks(text, entry):
        def block(match):
            value = look(match.group(1), entry)
            if not value:
                return ""
            entries = value if isinstance(value, (list, dict)) else [value]
            return "".join(blocks(match.group(2), e) for e in entries)

        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", block, text,
                      flags=re.S)
        return re.sub(r"\{\{([\w.]+)\}\}",
                      lambda m: "" if look(m.group(1), entry) is None
                      else str(look(m.group(1), entry)), text)

    return blocks(template, None)


class Deployment:
    """A small deployment: schedulers on front machines, an executor with a
    runner on each side machine, and the store."""

    BOUNDS = {"contactMs": 3000, "graceS": 6, "maxHoldMs": 6000,
              "harm_ms": 4000, "cancel_ms": 3000, "stop_ms": 200}

    def __init__(self, record, fronts, sides, cpu=32000):
        self.record = record
        self.fronts, self.sides, self.cpu = fronts, sides, cpu
        self.directory = tempfile.mkdtemp(prefix="case-")
        self.processes = {}
        self.commands = {}
        # Other addresses in each run: the templates name a fixed port for the
        # metrics.
        self.net = f"127.{random.randint(16, 200)}.{random.randint(1, 250)}"
        self.runners = []
        self.callers = {}
        self.ready = {}
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)

    def settings(self, name, ip, zone, listen):
        base = free_port(ip)
        return {"nodeName": name, "ip": ip, "zone": zone, "listen": listen,
                "internalPortRange": [base, free_port(ip)],
                "bounds": self.BOUNDS,
                "contracts": ["base", "drain", "config", "cost", "recover",
                              "sched", "platform", "advice", "upkeep",
                              "sharing"],
                "limits": {"cpuShare": 0.25, "cores": 1, "linkMbps": 1000.0},
                "platform": {"address": self.store_address}}

    def add(self, role, name, fields):
        spec = self.deploy["roles"][role]
        with open(os.path.join(ROOT, spec["template"]),
                  encoding="utf-8") as file:
            text = fill(file.read(), fields)
        path = os.path.join(self.directory, name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        self.commands[name] = (spec["run"].split(), path)

    def start(self, name):
        command, path = self.commands[name]
        log = open(os.path.join(self.directory, name + ".log"), "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["BEAMHILL_CONFIG"] = path
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, env=env, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        log.close()

    async def up(self, config):
        self.store = Store(self.record)
        port = free_port("127.0.0.1")
        self.store_address = f"127.0.0.1:{port}"
        await self.store.server.listen("127.0.0.1", port)
        self.store.operator_put("config", config)
        service = config["services"][0]["name"]
        for i in range(self.fronts):
            ip, name = f"{self.net}.{i + 1}", f"front-{i + 1}"
            listen = {"front": f"{ip}:{free_port(ip)}",
                      "readiness": f"{ip}:{free_port(ip)}"}
            self.callers[name] = (ip, int(listen["front"].split(":")[1]))
            self.ready[name] = (ip, int(listen["readiness"].split(":")[1]))
            self.add("scheduler", name, self.settings(name, ip, "z1", listen))
            self.start(name)
        for i in range(self.sides):
            ip, name = f"{self.net}.{101 + i}", f"side-{i + 1}"
            control, app = free_port(ip), free_port(ip)
            fields = self.settings(name, ip, "z1",
                                   {"control": f"{ip}:{control}"})
            fields["app"] = f"{ip}:{app}"
            self.add("executor", name, fields)
            self.start(name)
            runner = Runner(self.record, name, service, "z1", f"r1-{i // 3}",
                            self.cpu, 1.1, self.BOUNDS["maxHoldMs"])
            await runner.listen(ip, app, (ip, control))
            self.runners.append(runner)
        until = now() + 15
        while now() < until:
            answers = [await call(*self.ready[n], "GET", "/api/readiness",
                                  timeout=1.0) for n in self.ready]
            if all(a[0] == 200 for a in answers):
                return True
            await asyncio.sleep(0.2)
        return False

    def starts(self, job):
        return sorted((at, task, run, r.name) for r in self.runners
                      for task, run, at in r.started
                      if task.startswith(job + "."))

    def running(self, job):
        return [t for r in self.runners for t in r.running
                if t.startswith(job + ".")]

    def ended_by_themselves(self):
        return [n for n, p in self.processes.items()
                if p.poll() is not None]

    def down(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for runner in self.runners:
            runner.server.close()
        self.store.server.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.directory, ignore_errors=True)
        else:
            print("logs in", self.directory)


def queue(name, prefix, service, **more):
    route = {"name": name, "host": "case.example", "pathPrefix": prefix,
             "kind": "non_idempotent", "timeoutMs": 3000,
             "targetLatencyMs": 250, "priority": 0, "service": service,
             "maxAttempts": 4, "stretch": 1.5}
    route.update(more)
    return route


def config(routes, service):
    return {"version": 7, "routes": routes,
            "services": [{"name": service, "healthPath": "/health",
                          "maxConnections": 64, "protocol": "h1",
                          "tls": False, "admissionCheck": True,
                          "spare": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
