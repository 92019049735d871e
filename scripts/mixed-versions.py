#!/usr/bin/env python3
"""Runs three control nodes, three shields, an agent and an edge of two versions side by side on loopback, and checks that they
work as one system. Which process is of which version changes from round to round.

usage: mixed-versions.py OLD_GLENFALL NEW_GLENFALL
"""

import http.client
import json
import pathlib
import shutil
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

BASE_PORT = 24300
TIMEOUT_S = 20
EDGE_MACHINE = 4
DOCUMENT = {
    "rev": 1,
    "paths": [
        {"name": "reads", "hostname": "h", "pathPrefix": "/r/", "type": "cacheable", "deadlineMs": 5000,
         "targetMs": 2000, "backend": "s", "tries": 2, "maxAgeS": 600},
        {"name": "writes", "hostname": "h", "pathPrefix": "/w/", "type": "mutating", "deadlineMs": 5000,
         "targetMs": 2000, "backend": "s", "tries": 2},
    ],
    "backends": [{"name": "s"}],
}


class Origin(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    requests = 0

    def answer(self):
        Origin.requests += 1
        self.rfile.read(int(self.headers.get("content-length", 0)))
        self.send_response(200)
        self.send_header("X-Glenfall-Try-Id", self.headers.get("x-glenfall-try-id", ""))
        self.send_header("X-Glenfall-Seal", "s")
        self.send_header("X-Glenfall-Tags", "label")
        self.send_header("Content-Length", "6")
        self.end_headers()
        self.wfile.write(b"answer")

    do_GET = do_POST = answer

    def log_message(self, *_):
        pass


def address(machine, offset):
    return f"127.0.9.{machine}", BASE_PORT + offset


def call(target, method, path, body=None, headers=None):
    """Status and body of one request; 0 where no answer comes."""
    connection = http.client.HTTPConnection(*target, timeout=5)
    try:
        text = json.dumps(body) if isinstance(body, dict) else body
        connection.request(method, path, text, {"Host": "h", **(headers or {})})
        response = connection.getresponse()
        return response.status, response.read()
    except OSError:
        return 0, b""
    finally:
        connection.close()


def wait_until(what, holds):
    deadline = time.monotonic() + TIMEOUT_S
    while not holds():
        if time.monotonic() > deadline:
            raise SystemExit(f"not within {TIMEOUT_S} s: {what}; control node 1: {json.dumps(status(1))}")
        time.sleep(0.05)


class System:
    """Processes by machine and role, each of the version that `versions` names."""

    def __init__(self, versions):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="glenfall-mixed-"))
        self.processes = []
        seeds = ", ".join('"%s:%d"' % address(machine, 3) for machine in (1, 2, 3))
        for machine in range(1, EDGE_MACHINE + 1):
            ip = address(machine, 0)[0]
            (self.folder / f"{machine}.toml").write_text(
                f'node = "node-{machine}"\nzone = "z"\nbindIp = "{ip}"\nfeedIp = "{ip}"\nbeatMs = 120000\n'
                f'voter = true\nportRange = [{BASE_PORT}, {BASE_PORT + 2}]\nseedNodes = [{seeds}]\nbootstrap = true\n'
                f'stateDir = "{self.folder}/state-{machine}"\n[listeners]\ncontrolAddr = "{ip}:{BASE_PORT + 3}"\n'
                f'http = "{ip}:{BASE_PORT + 4}"\nreadyAddr = "{ip}:{BASE_PORT + 5}"\n')
            roles = ("control", "shield") if machine < EDGE_MACHINE else ("agent", "edge")
            for role in roles:
                log = open(self.folder / f"{machine}-{role}.log", "w")
                environment = {"GLENFALL_CONFIG": str(self.folder / f"{machine}.toml"), "PATH": "/usr/bin:/bin"}
                program = versions[machine, role]
                self.processes.append(subprocess.Popen([program, role], env=environment, stderr=log))

    def kill(self):
        for process in self.processes:
            process.kill()
            process.wait()

    def end(self):
        self.kill()
        broken = [line for log in self.folder.glob("*.log") for line in log.read_text().splitlines()
                  if "invariant broken" in line]
        if broken:
            raise SystemExit("\n".join(broken))
        shutil.rmtree(self.folder)


def control(machine):
    return address(machine, 3)


def status(machine):
    code, body = call(control(machine), "GET", "/api/status")
    return json.loads(body) if code == 200 else None


def is_settled(version):
    """All control nodes know a chain of three and the version; all sessions have applied all that was pushed, and hold a lease."""
    seen = [status(machine) for machine in (1, 2, 3)]
    if any(one is None or not one["view"] or len(one["view"]["chain"]) != 3 or one["rev"] != version for one in seen):
        return False
    sessions = [session for one in seen for session in one["sessions"]]
    return len(sessions) == 4 and all(
        session["leased"] and session["pushed"] == session["applied"] for session in sessions)


def check(system, origins):
    edge = address(EDGE_MACHINE, 4)
    heartbeat = lambda machine, state, sequence: call(control(machine), "PUT", f"/api/servers/i-{machine}", {
        "backend": "s", "addr": "127.0.0.1:%d" % origins[machine - 1], "zone": "z", "capacity": 64, "status": state,
        "callSeq": sequence})[0]
    ask = lambda method, path: call(edge, method, path, headers={"X-Glenfall-Try-Id": "ab"})[0]
    put = lambda machine, version, document: call(
        control(machine), "PUT", "/api/config", {**document, "rev": version}, {"If-Match": str(version - 1)})[0]
    wait_until("a chain of three", lambda: all(status(machine) for machine in (1, 2, 3)))
    for machine in (1, 2, 3):
        wait_until("a heartbeat", lambda: heartbeat(machine, "ready", 1) == 200)
    for version, machine in enumerate((2, 1, 3), start=1):
        wait_until("a configuration is taken", lambda: put(machine, version, DOCUMENT) == 200)
        wait_until("it is applied", lambda: is_settled(version))
    statuses = [ask("GET", f"/r/{number}") for number in range(50)] + [ask("POST", f"/w/{number}") for number in range(50)]
    assert statuses == [200] * 100, statuses
    before = Origin.requests
    assert [ask("GET", f"/r/{number}") for number in range(50)] == [200] * 50
    assert Origin.requests == before, "all are stored responses"
    for machine in (1, 2, 3):
        before = Origin.requests
        assert call(control(machine), "POST", "/api/purge", {"label": "label"})[0] == 200, "a purge is acknowledged"
        assert [ask("GET", f"/r/{number}") for number in range(20)] == [200] * 20
        assert Origin.requests == before + 20, "purged objects are fetched again"
    wait_until("a drain is acknowledged", lambda: heartbeat(3, "draining", 2) == 200)
    wait_until("a deregistration is acknowledged", lambda: call(control(1), "DELETE", "/api/servers/i-3")[0] == 200)
    assert [ask("POST", f"/w/{number}") for number in range(50)] == [200] * 50
    codes = {call(control(machine), "GET", "/api/config")[0] for machine in (1, 2, 3)}
    assert codes == {200}, codes
    disconnected = [line for log in system.folder.glob("*-control.log") for line in log.read_text().splitlines()
                    if "peer lost" in line or "peer disconnected" in line]
    assert not disconnected, disconnected


def main():
    old, new = sys.argv[1:]
    listeners = [ThreadingHTTPServer(("127.0.0.1", 0), Origin) for _ in range(3)]
    for listener in listeners:
        threading.Thread(target=listener.serve_forever, daemon=True).start()
    processes = [(machine, role) for machine in (1, 2, 3) for role in ("control", "shield")]
    processes += [(EDGE_MACHINE, "agent"), (EDGE_MACHINE, "edge")]
    rounds = {
        "the new version alone": lambda machine, role: new,
        "one control node of the new version": lambda machine, role: new if (machine, role) == (2, "control") else old,
        "two control nodes of the new version": lambda machine, role: new if role == "control" and machine < 3 else old,
        "control old, shields, agent and edge new": lambda machine, role: old if role == "control" else new,
        "control new, shields, agent and edge old": lambda machine, role: new if role == "control" else old,
        "shields and edge of two versions": lambda machine, role: new if role in ("edge", "control") else old,
    }
    for name, version in rounds.items():
        system = System({process: version(*process) for process in processes})
        try:
            check(system, [listener.server_port for listener in listeners])
        finally:
            system.kill()
        system.end()
        print(f"{name}: one system")


main()
