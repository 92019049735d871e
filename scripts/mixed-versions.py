#!/usr/bin/env python3
"""Runs three control nodes, three shields, an agent and an edge on loopback, some of an old and some of a new version of
the program, and checks that they work together. Each round assigns the versions to the processes differently.

usage: mixed-versions.py OLD_GLENFALL NEW_GLENFALL     (paths of the two executables)
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
    """Responds 200 to all requests and counts them."""

    protocol_version = "HTTP/1.1"
    request_count = 0

    def respond(self):
        Origin.request_count += 1
        self.rfile.read(int(self.headers.get("content-length", 0)))
        self.send_response(200)
        self.send_header("X-Glenfall-Try-Id", self.headers.get("x-glenfall-try-id", ""))
        self.send_header("X-Glenfall-Seal", "s")
        self.send_header("X-Glenfall-Tags", "label")
        self.send_header("Content-Length", "6")
        self.end_headers()
        self.wfile.write(b"answer")

    do_GET = do_POST = respond

    def log_message(self, *_):
        pass


def address(machine, offset):
    return f"127.0.9.{machine}", BASE_PORT + offset


def send_request(target, method, path, body=None, headers=None):
    """Sends one request; returns the status and body of the response, or 0 and no body if the connection fails."""
    connection = http.client.HTTPConnection(*target, timeout=5)
    try:
        payload = json.dumps(body) if isinstance(body, dict) else body
        connection.request(method, path, payload, {"Host": "h", **(headers or {})})
        response = connection.getresponse()
        return response.status, response.read()
    except OSError:
        return 0, b""
    finally:
        connection.close()


def wait_until(description, condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise SystemExit(f"timed out after {TIMEOUT_S} s: {description}; "
                             f"status of control node 1: {json.dumps(control_status(1))}")
        time.sleep(0.05)


class System:
    """Processes on four machines; `programs` has the executable to run for each machine and role."""

    def __init__(self, programs):
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
                program = programs[machine, role]
                self.processes.append(subprocess.Popen([program, role], env=environment, stderr=log))

    def kill(self):
        for process in self.processes:
            process.kill()
            process.wait()

    def stop(self):
        """Kills all processes. Exits with an error if a log reports a violated invariant, else removes the files."""
        self.kill()
        violations = [line for log in self.folder.glob("*.log") for line in log.read_text().splitlines()
                      if "invariant broken" in line]
        if violations:
            raise SystemExit("\n".join(violations))
        shutil.rmtree(self.folder)


def control_address(machine):
    return address(machine, 3)


def control_status(machine):
    """Status of the control node of a machine; `None` if it cannot be read."""
    code, body = send_request(control_address(machine), "GET", "/api/status")
    return json.loads(body) if code == 200 else None


def has_converged(version):
    """Whether all control nodes report a chain of three and this configuration version, and all four sessions hold a
    lease and have applied everything that was pushed to them."""
    statuses = [control_status(machine) for machine in (1, 2, 3)]
    if any(status is None or not status["view"] or len(status["view"]["chain"]) != 3 or status["rev"] != version
           for status in statuses):
        return False
    sessions = [session for status in statuses for session in status["sessions"]]
    return len(sessions) == 4 and all(
        session["leased"] and session["pushed"] == session["applied"] for session in sessions)


def check(system, origin_ports):
    edge_address = address(EDGE_MACHINE, 4)
    send_heartbeat = lambda machine, state, sequence: send_request(
        control_address(machine), "PUT", f"/api/servers/i-{machine}",
        {"backend": "s", "addr": "127.0.0.1:%d" % origin_ports[machine - 1], "zone": "z", "capacity": 64,
         "status": state, "callSeq": sequence})[0]
    request_edge = lambda method, path: send_request(
        edge_address, method, path, headers={"X-Glenfall-Try-Id": "ab"})[0]
    put_configuration = lambda machine, version, document: send_request(
        control_address(machine), "PUT", "/api/config", {**document, "rev": version},
        {"If-Match": str(version - 1)})[0]
    wait_until("all control nodes report their status", lambda: all(control_status(machine) for machine in (1, 2, 3)))
    for machine in (1, 2, 3):
        wait_until(f"control node {machine} accepts a heartbeat", lambda: send_heartbeat(machine, "ready", 1) == 200)
    for version, machine in enumerate((2, 1, 3), start=1):
        wait_until(f"control node {machine} accepts configuration {version}",
                   lambda: put_configuration(machine, version, DOCUMENT) == 200)
        wait_until(f"all nodes apply configuration {version}", lambda: has_converged(version))
    statuses = ([request_edge("GET", f"/r/{number}") for number in range(50)]
                + [request_edge("POST", f"/w/{number}") for number in range(50)])
    assert statuses == [200] * 100, statuses
    count_before = Origin.request_count
    assert [request_edge("GET", f"/r/{number}") for number in range(50)] == [200] * 50
    assert Origin.request_count == count_before, "the origin was asked for a cached object"
    for machine in (1, 2, 3):
        count_before = Origin.request_count
        assert send_request(control_address(machine), "POST", "/api/purge", {"label": "label"})[0] == 200, \
            f"control node {machine} did not acknowledge a purge"
        assert [request_edge("GET", f"/r/{number}") for number in range(20)] == [200] * 20
        assert Origin.request_count == count_before + 20, "each purged object must be fetched from the origin once"
    wait_until("control node 3 acknowledges a drain", lambda: send_heartbeat(3, "draining", 2) == 200)
    wait_until("control node 1 acknowledges a deregistration",
               lambda: send_request(control_address(1), "DELETE", "/api/servers/i-3")[0] == 200)
    assert [request_edge("POST", f"/w/{number}") for number in range(50)] == [200] * 50
    codes = {send_request(control_address(machine), "GET", "/api/config")[0] for machine in (1, 2, 3)}
    assert codes == {200}, codes
    disconnected = [line for log in system.folder.glob("*-control.log") for line in log.read_text().splitlines()
                    if "peer lost" in line or "peer disconnected" in line]
    assert not disconnected, disconnected


def main():
    old, new = sys.argv[1:]
    origins = [ThreadingHTTPServer(("127.0.0.1", 0), Origin) for _ in range(3)]
    for origin in origins:
        threading.Thread(target=origin.serve_forever, daemon=True).start()
    processes = [(machine, role) for machine in (1, 2, 3) for role in ("control", "shield")]
    processes += [(EDGE_MACHINE, "agent"), (EDGE_MACHINE, "edge")]
    # For each round, the program that a process runs, by its machine and role.
    rounds = {
        "new version only": lambda machine, role: new,
        "one new control node": lambda machine, role: new if (machine, role) == (2, "control") else old,
        "two new control nodes": lambda machine, role: new if role == "control" and machine < 3 else old,
        "old control nodes; new shields, agent and edge": lambda machine, role: old if role == "control" else new,
        "new control nodes; old shields, agent and edge": lambda machine, role: new if role == "control" else old,
        "new control nodes and edge; old shields and agent":
            lambda machine, role: new if role in ("edge", "control") else old,
    }
    for name, program in rounds.items():
        system = System({process: program(*process) for process in processes})
        try:
            check(system, [origin.server_port for origin in origins])
        finally:
            system.kill()
        system.stop()
        print(f"{name}: passed")


main()
