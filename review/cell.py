"""A small deployment on loopback for the scripts: the stand-in of the platform and seven nodes.

Nodes run the command of the deploy file with settings filled from its template.  Everything that is
started is ended again by `close`.
"""

import http.client
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

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "jobs.example"
NODES = 7
WORKERS = 16
DEADLINE_S = 3.0
RETRIES = 4


def free_ports(count):
    """Returns ports of loopback that are free now, below those that the kernel gives to clients."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15_000, 30_000)
        if port in _given:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given.add(port)
        ports.append(port)
    return ports


# Ports that were given out before.
_given = set()


def deploy_value(name):
    """Reads a text of the deploy file, such as the command of the role."""
    with open(os.path.join(ROOT, "deploy/system.toml")) as file:
        found = re.search(r'^%s = "(.*)"$' % name, file.read(), re.M)
    return found.group(1)


def _port(address):
    return int(address.rsplit(":", 1)[1])


class CannotRun(Exception):
    """The case could not be played."""


class Cell:
    """The running deployment, and its client."""

    def __init__(self, record):
        self.record = record
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="crossweir-review-")
        self.processes = []
        self.nodes = []
        self.runs_port = None

    def log(self, text):
        """Writes one line with the time to the record."""
        self.record.write("%8.3f s  %s\n" % (time.monotonic() - self.began, text))
        self.record.flush()

    def start(self, links=None):
        """Starts everything, and waits until all nodes say that they are ready.  With `links`, all
        paths of the nodes lead through proxies that can be cut."""
        store, advice = free_ports(2)
        standin = os.path.join(ROOT, "target/release/crossweir-standin")
        node = deploy_value("run").split(" ")
        node[0] = os.path.join(ROOT, node[0])
        for program in (standin, node[0]):
            if not os.path.exists(program):
                raise CannotRun("not built: " + os.path.basename(program))
        command = [standin, "--store", "127.0.0.1:%d" % store, "--advice", "127.0.0.1:%d" % advice]
        if links is None:
            self._spawn("standin", command + ["--workers", str(WORKERS)])
        else:
            runners = [links.proxy("w%d" % number) for number in range(WORKERS)]
            self._spawn("standin", command + ["--site", self._write_site(runners)])
        self._await_port(store)
        told = self._read_addresses()
        self.runs_port = _port(told["runs"])
        ports = [free_ports(4) for _ in range(NODES)]
        reached_at = [port[2] for port in ports]
        store_at = store
        if links is not None:
            for runner, address in zip(runners, told["workers"]):
                runner.target = _port(address)
            store_at = links.proxy("store", store).port
            reached_at = [links.proxy("n%d" % number, port[2]).port
                          for number, port in enumerate(ports)]
        seeds = ",".join("127.0.0.1:%d" % port for port in reached_at[:3])
        with open(os.path.join(ROOT, deploy_value("template"))) as file:
            template = file.read()
        for number, (front, ready, control, metrics) in enumerate(ports):
            values = {
                "node_name": "n%d" % number, "zone": "north", "limits.cpu_share": "0.25",
                "limits.max_fds": "4100", "listen.front": "127.0.0.1:%d" % front,
                "listen.ready": "127.0.0.1:%d" % ready, "listen.control": "127.0.0.1:%d" % control,
                "ip": "127.0.0.1", "port_range.1": str(metrics), "seeds": seeds,
                "platform.address": "127.0.0.1:%d" % store_at, "advice": "127.0.0.1:%d" % advice,
            }
            settings = re.sub(r"\{\{(.*?)\}\}", lambda m: values[m.group(1)], template)
            if links is not None:
                advertise = "[listen]\nadvertise = 127.0.0.1:%d" % reached_at[number]
                settings = settings.replace("[listen]", advertise)
            path = os.path.join(self.folder, "n%d.ini" % number)
            with open(path, "w") as file:
                file.write(settings)
            process = self._spawn("n%d" % number, node, {"CROSSWEIR_CONFIG": path})
            self.nodes.append({"name": "n%d" % number, "front": front, "ready": ready,
                               "metrics": metrics, "process": process})
            if links is not None:
                links.nodes["n%d" % number] = process.pid
        until = time.monotonic() + 10
        while not all(self.is_ready(node) for node in self.nodes):
            if time.monotonic() > until:
                raise CannotRun("the nodes are not ready")
            time.sleep(0.1)
        self.log("%d nodes are ready, %d runners" % (NODES, WORKERS))

    def _spawn(self, name, command, env=None):
        out = open(os.path.join(self.folder, name + ".log"), "w")
        env = {**{k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ},
               **(env or {})}
        process = subprocess.Popen(command, stdout=out, stderr=out, cwd=ROOT, env=env)
        self.processes.append(process)
        return process

    def _await_port(self, port):
        until = time.monotonic() + 10
        while time.monotonic() < until:
            try:
                socket.create_connection(("127.0.0.1", port), 0.5).close()
                return
            except OSError:
                time.sleep(0.05)
        raise CannotRun("the stand-in does not listen")

    def _write_site(self, runners):
        """Writes a site of the stand-in whose runners are reached through proxies."""
        route = {"name": "plain", "host": HOST, "path_prefix": "/plain/", "service": "svc",
                 "priority": 0, "attempts": 2, "stretch": 1.5, "slo_ms": 250}
        config = {"version": 1, "routes": [route],
                  "services": [{"name": "svc", "rejects_overload": False}],
                  "limits": {"max_body_bytes": 262144}}
        workers = [{"advertise": "127.0.0.1:%d" % runner.port, "slowdown": 1.0}
                   for runner in runners]
        path = os.path.join(self.folder, "site.json")
        with open(path, "w") as file:
            json.dump({"config": config, "workers": workers}, file)
        return path

    def _read_addresses(self):
        """Reads the stand-in's first line, which tells where it listens."""
        until = time.monotonic() + 5
        while time.monotonic() < until:
            with open(os.path.join(self.folder, "standin.log")) as file:
                line = file.readline()
            if line.endswith("\n"):
                return json.loads(line)
            time.sleep(0.05)
        raise CannotRun("the stand-in does not tell its addresses")

    def runs(self):
        """Returns all runs that the runners have started."""
        status, answer = self._call(self.runs_port, "GET", "/", None, 5.0)
        if status != 200:
            raise CannotRun("the stand-in does not list the runs")
        return json.loads(answer)["runs"]

    def owner(self):
        """Returns the node that says it owns the cell; none if it is not exactly one."""
        owners = [node for node in self.nodes if self.owns(node)]
        return owners[0] if len(owners) == 1 else None

    def owns(self, node):
        """Returns whether a node says that it owns the cell."""
        status, answer = self._call(node["metrics"], "GET", "/metrics", None, 1.0)
        gauge = re.search(r'^\S*owns_cell\S* 1$', answer or "", re.M)
        return status == 200 and gauge is not None

    def is_ready(self, node):
        """Returns whether a node answers its health check with 200, as the platform asks it."""
        status, _ = self._call(node["ready"], "GET", "/ready", None, 1.0)
        return status == 200

    def _call(self, port, method, path, body, timeout):
        """Makes one call; returns the status and the body, or none and the reason."""
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
        headers = {"Host": HOST, "X-Deadline-Ms": str(int(timeout * 1000))}
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException) as err:
            return None, type(err).__name__
        finally:
            connection.close()

    def submit(self, job, body, first):
        """Hands a job in as the pages say: the same id again, at the next node, unless it was
        accepted or has no queue.  Returns whether it was accepted."""
        text = json.dumps(body)
        for attempt in range(1 + RETRIES):
            node = self.nodes[(first + attempt) % NODES]
            status, answer = self._call(node["front"], "POST", "/plain/" + job, text, DEADLINE_S)
            self.log("POST %s at %s: %s %s" % (job, node["name"], status, answer))
            if status is not None and 200 <= status < 300:
                return True
            if status in (400, 404):
                return False
            time.sleep(0.2)
        return False

    def state(self, job, seconds):
        """Asks for the state of a job at all nodes in turn until one answers, for so long."""
        until = time.monotonic() + seconds
        number = 0
        while time.monotonic() < until:
            node = self.nodes[number % NODES]
            number += 1
            left = max(0.2, min(DEADLINE_S, until - time.monotonic()))
            status, answer = self._call(node["front"], "GET", "/plain/" + job, None, left)
            self.log("GET %s at %s: %s %s" % (job, node["name"], status, answer))
            if status == 200:
                return json.loads(answer)["state"]
            if status == 410:
                return "410"
            time.sleep(0.1)
        return None

    def await_state(self, job, wanted, seconds):
        """Asks until a job shows this state or has ended otherwise; returns the last state."""
        until = time.monotonic() + seconds
        state = None
        while time.monotonic() < until:
            state = self.state(job, until - time.monotonic())
            if state in (wanted, "failed", "canceled"):
                break
            time.sleep(0.3)
        return state

    def memory_mb(self, node):
        """Returns the resident memory of a node."""
        try:
            with open("/proc/%d/status" % node["process"].pid) as file:
                return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1)) // 1024
        except (OSError, AttributeError):
            return 0

    def close(self):
        """Ends all processes that were started."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, case, starts=True):
    """Runs a case with the record in its folder; returns the exit code of the script.  With
    `starts`, the deployment is started before the case."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # So that what was started is ended, also when the script itself is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with open(os.path.join(folder, "record.txt"), "w") as record:
        cell = Cell(record)
        cell.log("TROUBLE=%d" % trouble)
        try:
            if starts:
                cell.start()
            faults = case(cell, trouble)
        except CannotRun as err:
            cell.log("cannot run: %s" % err)
            print("cannot run: %s" % err, file=sys.stderr)
            return 2
        finally:
            cell.close()
        for fault in faults:
            cell.log("BROKEN: " + fault)
        cell.log("%d faults" % len(faults))
        print("%d faults%s" % (len(faults), ": " + faults[0] if faults else ""))
        return 1 if faults else 0
