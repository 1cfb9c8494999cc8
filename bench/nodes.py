#!/usr/bin/env python3
"""Starts N entry hosts and stand-ins on loopback, and prints what each node
costs at rest and how many of them serve a streamed draft. Exits with 1 when an
entry host ended by itself.

usage: bench/nodes.py BUILD_FOLDER N [N ...]
"""
import json
import os
import re
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

BASE = 19000
PLACES = ["east", "middle", "west"]
TICK = os.sysconf("SC_CLK_TCK")
SPAN = 20.0


def engine(number):
    return BASE + 10 + number


def caller(number):
    return BASE + 100 + number


def operator(number):
    return BASE + 300 + number


def mesh(number):
    return BASE + 500 + number


def team_digest():
    import hashlib
    return hashlib.sha256(b"gate-credential").hexdigest()


def write(folder, name, value):
    path = os.path.join(folder, name)
    with open(path, "w", encoding="utf-8") as out:
        out.write(value if isinstance(value, str) else json.dumps(value))
    os.chmod(path, 0o600)
    return path


def prepare(folder, count):
    write(folder, "operator.secret", "operator-credential")
    write(folder, "mesh.secret", "a-mesh-key-for-the-trial-of-32-bytes-or-more")
    write(folder, "standins.json", {
        "logs": [{"port": BASE}],
        "engines": [{"port": engine(n), "token_ms": 5, "load_ms": 300}
                    for n in range(6)]})
    for n in range(count):
        write(folder, f"entry-{n}.json", {
            "host": f"entry-{n}", "data_centre": PLACES[n % 3],
            "advertised_address": "127.0.0.1", "threads": 1,
            "callers": {"address": "127.0.0.1", "port": caller(n)},
            "operators": {"address": "127.0.0.1", "port": operator(n),
                          "credential_file": "operator.secret"},
            "mesh": {"address": "127.0.0.1", "port": mesh(n),
                     "key_file": "mesh.secret"},
            "platform": {"log": {"address": "127.0.0.1", "port": BASE}},
            "stop": {"grace_ms": 300}})
    return write(folder, "declaration.json", {
        "data_centres": PLACES,
        "teams": [{"name": "gate", "credential_sha256": team_digest()}],
        "hosts": [{"name": f"engine-{n}", "data_centre": PLACES[n // 2],
                   "fabric_domain": f"rack-{n // 2}", "address": "127.0.0.1",
                   "port": engine(n)} for n in range(6)],
        "models": [{"name": "plan-model", "version": "v1",
                    "members_per_group": 2, "warm_bound": 128,
                    "cold_bound": 128,
                    "groups": {place: 1 for place in PLACES}}]})


def ready(port):
    try:
        urllib.request.urlopen(f"http://127.0.0.1:{port}/readyz", timeout=2)
        return True
    except (OSError, urllib.error.URLError):
        return False


def draft(port):
    body = json.dumps({"model": "plan-model", "prompt": "Draft it.",
                       "max_tokens": 4, "stream": True}).encode()
    asked = urllib.request.Request(
        f"http://127.0.0.1:{port}/v1/completions", data=body,
        headers={"Authorization": "Bearer gate-credential",
                 "Coltsfoottrail-Deadline-Ms": "5000"})
    try:
        with urllib.request.urlopen(asked, timeout=8) as got:
            return "served" if b"[DONE]" in got.read() else "cut"
    except urllib.error.HTTPError as problem:
        text = problem.read().decode(errors="replace")
        found = re.search(r'"reason":\s*"([^"]*)"', text)
        return f"{problem.code} {found.group(1) if found else text[:80]}"
    except OSError as problem:
        return type(problem).__name__


def processor(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as read:
        fields = read.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def resident(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as read:
        return int(re.search(r"VmRSS:\s*(\d+)", read.read()).group(1)) / 1024


def tally(values):
    out = {}
    for value in values:
        out[value] = out.get(value, 0) + 1
    return out


def exited(nodes):
    return [f"entry-{n}" for n, node in enumerate(nodes)
            if node.poll() is not None]


def spread(values):
    values = sorted(values)
    if not values:
        return None
    return {"mean": round(sum(values) / len(values), 2),
            "most": round(values[-1], 2)}


def measure(build, count, folder, started):
    declaration = prepare(folder, count)

    def start(name, *command):
        with open(os.path.join(folder, name + ".log"), "wb") as out:
            made = subprocess.Popen(command, stdout=out, stderr=out, cwd=folder)
        started.append(made)
        return made

    start("standin", f"{build}/packages/standin/coltsfoottrail-standin",
          os.path.join(folder, "standins.json"))
    nodes = [start(f"entry-{n}", f"{build}/apps/coltsfoottraild/coltsfoottraild",
                   "--config", os.path.join(folder, f"entry-{n}.json"))
             for n in range(count)]
    until = time.monotonic() + 40
    while time.monotonic() < until:
        if all(ready(caller(n)) for n in range(count)):
            break
        time.sleep(0.5)
    env = dict(os.environ, COLTSFOOTTRAIL_HOST=f"127.0.0.1:{operator(0)}",
               COLTSFOOTTRAIL_CREDENTIAL_FILE=os.path.join(
                   folder, "operator.secret"))
    cli = f"{build}/apps/coltsfoottrail/coltsfoottrail"
    planned = subprocess.run([cli, "plan", "apply", declaration], env=env,
                             capture_output=True, text=True, timeout=30)
    number = re.search(r"^plan (\d+):", planned.stdout, re.M)
    confirmed = "no plan: " + planned.stderr[-200:]
    if number:
        done = subprocess.run([cli, "confirm", number.group(1)], env=env,
                              capture_output=True, text=True, timeout=30)
        confirmed = done.returncode
    time.sleep(20)
    alive = [node for node in nodes if node.poll() is None]
    before = {node.pid: processor(node.pid) for node in alive}
    began = time.monotonic()
    time.sleep(SPAN)
    span = time.monotonic() - began
    alive = [node for node in alive if node.poll() is None]
    core = [(processor(node.pid) - before[node.pid]) / span * 100
            for node in alive]
    memory = [resident(node.pid) for node in alive]
    are_ready = sum(ready(caller(n)) for n in range(count))
    answers = tally(draft(caller(n)) for n in range(count))
    return {"nodes": count, "exited": exited(nodes), "confirm": confirmed, "ready": are_ready,
            "drafts": answers, "core_percent_at_rest": spread(core),
            "resident_mb": spread(memory),
            "load_average": os.getloadavg()}


def main():
    build = os.path.abspath(sys.argv[1])
    ended = False
    for count in map(int, sys.argv[2:]):
        started = []
        with tempfile.TemporaryDirectory() as folder:
            try:
                result = measure(build, count, folder, started)
                print(json.dumps(result), flush=True)
                ended = ended or bool(result["exited"])
            finally:
                for each in started:
                    each.kill()
                for each in started:
                    each.wait()
    return 1 if ended else 0


if __name__ == "__main__":
    sys.exit(main())
