"""A small platform for the cases of this review, on loopback and the real clock.

It plays the store, the runners, the operator and the clients of PROTOCOL.md, in one process and
with the standard library only.  The nodes are real processes: the program of the deploy file, with
settings filled from its template.  Everything is well behaved unless a case asks for a fault that
the pages name.
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
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"
# The bounds of the site ral-weir, in seconds.
CONTACT, ACK, CANCEL, CONVERGE, STOP, VISIBLE = 3.0, 4.0, 3.0, 2.0, 0.2, 3.0
HOLD_MAX_MS = 10_000
TX_SECONDS = 0.004


def b64(value):
    return base64.b64encode(json.dumps(value).encode()).decode()


class Record:
    """What was sent, answered and run, with the time since the start, in record.txt."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def write(self, *words):
        line = f"{self.now():8.3f} s  " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()
        print(line)


class HttpServer:
    """An HTTP/1.1 server with keep-alive; `answer` returns a status and a JSON body, or None to
    leave the call without an answer: that connection then says nothing more."""

    async def listen(self):
        self.writers = set()
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = dict(
                    (k.strip().lower(), v.strip()) for k, v in
                    (line.split(":", 1) for line in lines[1:] if ":" in line))
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                reply = await self.answer(method, target, headers, json.loads(body) if body else None)
                if reply is None:
                    await asyncio.sleep(3600)
                status, value = reply
                data = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(HttpServer):
    """The platform's store.  `tx_fault(tx)` may return a number of seconds: the answer of that
    transaction is lost and it is carried out that much later, if its condition still holds."""

    def __init__(self):
        self.rows, self.log, self.ver = {}, [], 0
        self.changed = asyncio.Condition()
        self.tx_fault = lambda tx: None
        self.began = time.monotonic()

    def now_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    def row(self, table, part, key):
        value, ver = self.rows.get((table, part), {}).get(key, (None, 0))
        return {"table": table, "part": part, "key": key, "value": value, "ver": ver}

    async def commit(self, tx):
        expected = tx.get("expect_rev", [])
        found = [self.row(e["table"], e["part"], e["key"]) for e in expected]
        if any(row["ver"] != e["ver"] for row, e in zip(found, expected)):
            rows = [row for row in found if row["ver"]]
            return 412, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}
        self.ver += 1
        for put in tx.get("put", []):
            part = self.rows.setdefault((put["table"], put["part"]), {})
            part[put["key"]] = (put["value"], self.ver)
            self.log.append(dict(self.row(put["table"], put["part"], put["key"]), gone=False))
        for drop in tx.get("remove", []):
            self.rows.get((drop["table"], drop["part"]), {}).pop(drop["key"], None)
            self.log.append({"table": drop["table"], "part": drop["part"], "key": drop["key"],
                             "value": None, "ver": self.ver, "gone": True})
        async with self.changed:
            self.changed.notify_all()
        return 200, {"ver": self.ver, "now_ms": self.now_ms()}

    async def put(self, table, key, value):
        """Writes a row as the platform or the operator does."""
        await self.commit({"put": [{"table": table, "part": "", "key": key, "value": b64(value)}]})

    async def later(self, tx, seconds):
        await asyncio.sleep(seconds)
        await self.commit(tx)

    async def answer(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/rows-tx":
            late = self.tx_fault(body)
            if late is not None:
                asyncio.ensure_future(self.later(body, late))
                return None
            await asyncio.sleep(TX_SECONDS)
            return await self.commit(body)
        if url.path == "/rows-get":
            await asyncio.sleep(0.002)
            part = self.rows.get((query["table"], query.get("part", "")), {})
            first, until = query.get("from", ""), query.get("target_version", "")
            keys = sorted(k for k in part if k >= first and (not until or k < until))
            limit = min(int(query.get("limit", 500)), 500)
            rows = [self.row(query["table"], query.get("part", ""), k) for k in keys[:limit]]
            return 200, {"rows": rows, "more": len(keys) > limit, "ver": self.ver,
                         "now_ms": self.now_ms()}
        if url.path == "/rows-feed":
            return await self.feed(query["table"], int(query["after"]), int(query.get("wait_ms", 0)))
        return 400, {}

    async def feed(self, table, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            rows = [row for row in self.log if row["ver"] > after and row["table"] == table]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "ver": self.ver, "now_ms": self.now_ms()}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Runner(HttpServer):
    """A runner.  The spec of a job is JSON with "ms": how long the tasks of each step work; -1 for
    tasks that last.  With "fails" they end `failed` after that time."""

    def __init__(self, number, store, record, service):
        self.id, self.store, self.record, self.service = f"i-{number:010x}", store, record, service
        self.began, self.fence, self.due, self.seq = time.monotonic(), 0, 0, 0
        self.running, self.ended, self.count, self.barred = {}, [], 0, {}
        self.news = asyncio.Condition()
        self.number, self.gone, self.failing = number, False, set()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    async def run(self):
        await self.listen()
        asyncio.ensure_future(self.beat())
        asyncio.ensure_future(self.work())
        return self

    async def crash(self):
        """The runner is lost for good: its runs end, its port is dead, and its entry goes after
        three heartbeats of silence."""
        self.gone = True
        self.running.clear()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.write("runner", self.id, "is lost for good")
        await asyncio.sleep(4.5)
        await self.store.commit({"remove": [{"table": "servers", "part": "", "key": self.id}]})

    async def beat(self):
        while not self.gone:
            self.seq += 1
            await self.store.put("servers", self.id, {
                "service": self.service, "address": f"{HOST}:{self.port}", "zone": "z1",
                "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": self.seq,
                "machine": f"m-{self.number}", "labels": ["a", f"r{self.number // 4}"],
                "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0}})
            await asyncio.sleep(1.5)

    async def end(self, task, how):
        run, ends_at, began = self.running.pop(task)
        self.barred[task] = max(self.barred.get(task, 0), run)
        self.count += 1
        self.ended.append([self.count, task, run, how, ""])
        if how == "done":
            self.done.append(task)
        self.record.write("runner", self.id, "end", task, "run", run, how)
        async with self.news:
            self.news.notify_all()

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            now = self.clock()
            for task, (run, ends_at, began) in list(self.running.items()):
                if self.due <= now:
                    await self.end(task, "lapsed")
                elif ends_at is not None and ends_at <= now:
                    await self.end(task, "failed" if task in self.failing else "done")

    def lease(self, body):
        if body.get("due_ms"):
            self.due = max(self.due, min(body["due_ms"], self.clock() + HOLD_MAX_MS))

    async def answer(self, method, target, headers, body):
        if target == "/health":
            return 200, {}
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        clock = {"clock_ms": self.clock()}
        if body.get("fence", 0) < self.fence:
            return 409, dict(clock, reason="fence")
        self.fence = body.get("fence", 0)
        if target == "/run-start":
            return 200 if (reason := self.start(body)) is None else 409, (
                clock if reason is None else dict(clock, reason=reason))
        if target == "/run-stop":
            task, run = body["task"], body["run"]
            if task in self.running and self.running[task][0] == run:
                await self.end(task, "stopped")
            self.barred[task] = max(self.barred.get(task, 0), run)
            return 200, clock
        if target == "/hold":
            return await self.hold(body)
        return 400, clock

    def start(self, body):
        task, run = body["task"], body["run"]
        self.lease(body)
        if body["due_ms"] <= self.clock():
            return "late"
        if task in self.running and self.running[task][0] == run:
            return None
        if run <= self.barred.get(task, 0):
            return "old"
        spec, step = json.loads(body["spec"]), int(task.split(".")[2])
        ms = spec["ms"][step]
        if spec.get("fails"):
            self.failing.add(task)
        ends_at = None if ms < 0 else self.clock() + ms
        self.running[task] = (run, ends_at, self.clock())
        self.starts.append((self.record.now(), self.id, task, run))
        self.record.write("runner", self.id, "start", task, "run", run, "fence", self.fence)
        return None

    starts, done = [], []  # of all runners

    async def hold(self, body):
        self.lease(body)
        seen = body.get("last_seen", 0)
        self.ended = [end for end in self.ended if end[0] > seen]
        wait = min(body.get("wait_ms", 0), 2000) / 1000
        if not self.ended and wait:
            try:
                async with self.news:
                    await asyncio.wait_for(self.news.wait(), wait)
            except asyncio.TimeoutError:
                pass
        now = self.clock()
        running = [[task, run, "", 100 if ends_at is None else
                    int(100 * (now - began) / max(1, ends_at - began)), 0]
                   for task, (run, ends_at, began) in self.running.items()]
        return 200, {"clock_ms": now, "running": running, "ended": self.ended[:500]}


class Advice(HttpServer):
    """The service for advice: allows each runner for each step."""

    def __init__(self, decide_ms, each_ms):
        self.decide_ms, self.each_ms = decide_ms, each_ms

    async def answer(self, method, target, headers, body):
        await asyncio.sleep((self.decide_ms + self.each_ms * len(body["workers"])) / 1000)
        return 200, {"good": [[worker, f"t-{worker}"] for worker in body["workers"]]}


def route(name, service="svc", attempts=2, priority=1, **fields):
    return {**fields,"name": name, "host": "jobs.example", "path_prefix": f"/{name}/", "service": service,
            "priority": priority, "attempts": attempts, "stretch": 1.5, "slo_ms": 250}


def configuration(version, routes):
    services = sorted({r["service"] for r in routes})
    return {"version": version, "routes": routes, "limits": {"max_body_bytes": 262144},
            "services": [{"name": s, "rejects_overload": False} for s in services]}


TAKEN = set()


def free_port():
    """A free port below those that the system gives to connections."""
    while True:
        port = random.randrange(10_000, 32_000)
        if port in TAKEN:
            continue
        TAKEN.add(port)
        with socket.socket() as s:
            try:
                s.bind((HOST, port))
                return port
            except OSError:
                pass


class Node:
    """One process of the deploy file, with settings from its template."""

    def __init__(self, name, folder, store_port, seeds, advice):
        self.advice = advice
        self.name, self.folder = name, folder
        self.front, self.ready, self.peers, self.metrics = (free_port() for _ in range(4))
        self.store_port, self.seeds, self.process = store_port, seeds, None
        deploy = open(f"{ROOT}/deploy/system.toml", encoding="utf-8").read()
        self.command = re.search(r'^run = "(.*)"', deploy, re.M).group(1).split(" ")
        self.template = re.search(r'^template = "(.*)"', deploy, re.M).group(1)

    async def start(self):
        values = {
            "node_name": self.name, "zone": "z1", "limits.cpu_share": "0.25",
            "limits.max_fds": "4100", "listen.front": f"{HOST}:{self.front}",
            "listen.ready": f"{HOST}:{self.ready}", "listen.control": f"{HOST}:{self.peers}",
            "ip": HOST, "port_range.1": str(self.metrics), "seeds": ",".join(self.seeds),
            "platform.address": f"{HOST}:{self.store_port}", "advice": self.advice}
        text = open(f"{ROOT}/{self.template}", encoding="utf-8").read()
        text = re.sub(r"\{\{([^}]*)\}\}", lambda gap: values[gap.group(1)], text)
        text = text.replace("[advice]\naddress = \n", "")
        path = f"{self.folder}/{self.name}.ini"
        open(path, "w", encoding="utf-8").write(text)
        self.log = open(f"{self.folder}/{self.name}.log", "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["CROSSWEIR_CONFIG"] = path
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, env=env, stdout=self.log, stderr=self.log,
            stdin=asyncio.subprocess.DEVNULL)

    def lose(self):
        """The machine is lost for good."""
        self.signal(signal.SIGKILL)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


async def call(port, method, path, body=None, timeout=3.0, deadline_ms=None):
    """One request of a client on a connection of its own.  Returns the status and the JSON, or the
    word for why there was no answer; leaves after `timeout` seconds."""
    data = b"" if body is None else json.dumps(body).encode()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: jobs.example\r\n"
                f"X-Deadline-Ms: {deadline_ms or 3000}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ")[1])
            length = int(re.search(rb"content-length: *(\d+)", head, re.I).group(1))
            answer = await reader.readexactly(length)
            return status, json.loads(answer) if answer else None
    except TimeoutError:
        return "left", None
    except (OSError, asyncio.IncompleteReadError) as err:
        return type(err).__name__, None
    finally:
        if writer:
            writer.close()


class Cell:
    """The whole cell of a case: store, runners and nodes."""

    def __init__(self, case_folder, nodes=3, runners=8, service="svc"):
        self.record = Record(f"{case_folder}/record.txt")
        self.folder = tempfile.mkdtemp(prefix="crossweir-review-")
        self.n_nodes, self.n_runners, self.service = nodes, runners, service
        self.nodes = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        Runner.starts, Runner.done = [], []
        self.done = Runner.done

    async def start(self, routes):
        self.store = await Store().listen()
        self.advice = ""
        advised = [r["advice"] for r in routes if "advice" in r]
        if advised:
            service = await Advice(advised[0]["decide_ms"], advised[0]["each_ms"]).listen()
            self.advice = f"{HOST}:{service.port}"
        await self.store.put("op", "config", configuration(1, routes))
        self.runners = [await Runner(n, self.store, self.record, self.service).run()
                        for n in range(1, self.n_runners + 1)]
        await self.start_nodes()
        # Another process may have taken a port in between.
        await asyncio.sleep(0.5)
        if any(node.process.returncode is not None for node in self.nodes):
            self.record.write("a port was taken; the nodes are started anew")
            await self.kill_nodes()
            await self.start_nodes()
        until = time.monotonic() + 20
        for node in self.nodes:
            while (await call(node.ready, "GET", "/ready", timeout=1))[0] != 200:
                if time.monotonic() > until or node.process.returncode is not None:
                    tail = open(f"{self.folder}/{node.name}.log", errors="replace").read()[-600:]
                    raise RuntimeError(f"{node.name} does not become ready "
                                       f"(exit {node.process.returncode}): {tail}")
                await asyncio.sleep(0.1)
        # As on the pages, traffic starts 10 s after the machines; the record starts there.
        await asyncio.sleep(4)
        self.record.write(f"ready; disruption: {self.trouble}")

    async def replace(self, number):
        """A new machine at another address comes for one that is lost for good."""
        seeds = [f"{HOST}:{node.peers}" for node in self.nodes[:3]]
        node = Node(f"front-{number}", self.folder, self.store.port, seeds, self.advice)
        self.nodes.append(node)
        await node.start()

    def owner(self):
        """The node that last wrote to the store under a condition."""
        value, _ = self.store.rows[("cells", "c0")]["owner"]
        name = json.loads(base64.b64decode(value))["name"]
        return next(node for node in self.nodes if node.name == name)

    async def start_nodes(self):
        self.nodes = [Node(f"front-{n + 1}", self.folder, self.store.port, [], self.advice)
                      for n in range(self.n_nodes)]
        seeds = [f"{HOST}:{node.peers}" for node in self.nodes[:3]]
        for node in self.nodes:
            node.seeds = seeds
            await node.start()

    async def kill_nodes(self):
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process:
                await node.process.wait()

    async def configure(self, version, routes):
        await self.store.put("op", "config", configuration(version, routes))
        self.record.write("operator: configuration", version, "acknowledged, routes",
                          [r["name"] for r in routes])
        return self.record.now()

    async def ask(self, node, method, path, body=None, timeout=3.0):
        status, value = await call(self.nodes[node].front, method, path, body, timeout)
        self.record.write("client:", method, path, "at", self.nodes[node].name, "->", status,
                          json.dumps(value))
        return status, value

    async def stop(self):
        await self.kill_nodes()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case_folder, case, **options):
    """Runs `case(cell)`, which returns the sentences that say how the rule was broken; exits with
    1 if there are any, 0 if the rule held, 2 if the case could not run."""
    async def run():
        cell = Cell(case_folder, **options)
        try:
            async with asyncio.timeout(110):
                broken = await case(cell)
            for line in broken:
                cell.record.write("BROKEN:", line)
            cell.record.write("result:", "rule broken" if broken else "rule held")
            return 1 if broken else 0
        except Exception as err:  # noqa: BLE001: any failure of the case itself
            cell.record.write("the case could not run:", repr(err))
            return 2
        finally:
            await cell.stop()
    raise SystemExit(asyncio.run(run()))
