#!/usr/bin/env python3
"""Brings about failures on a running fleet, one function each, and returns
what was seen: times in seconds and counts of what must never happen.

Usage: recovery.py [NAME ...] [--output FILE]
"""

import argparse
import http.client
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.parse

import fleet as fleets

WAIT_S = 30


class Check:
    """Figures of one failure and what went against the rules."""

    def __init__(self, name):
        self.name = name
        self.figures = {}
        self.violations = []

    def must(self, holds, what):
        if not holds:
            self.violations.append(what)

    def as_dict(self):
        return {"name": self.name, "figures": self.figures,
                "violations": self.violations}


class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.ran = headers.get("peridot-ran", "")
        self.headers = headers
        try:
            self.json = json.loads(body) if body else {}
        except ValueError:
            self.json = {}


def ask(url, path, method="GET", body=None, key=None, headers=None,
        timeout=40):
    """Sends one request; connection failures raise OSError."""
    place = urllib.parse.urlparse(url)
    connection = http.client.HTTPConnection(place.hostname, place.port,
                                            timeout=timeout)
    fields = {"content-type": "application/json"}
    if key:
        fields["authorization"] = f"Bearer {key}"
    fields.update(headers or {})
    connection.request(method, path,
                       None if body is None else json.dumps(body), fields)
    answer = connection.getresponse()
    text = answer.read()
    connection.close()
    lower = {k.lower(): v for k, v in answer.getheaders()}
    return Answer(answer.status, lower, text)


class Stream:
    """A streamed response, read event by event."""

    def __init__(self, url, key, body=None, resume=None, after=-1, timeout=8):
        place = urllib.parse.urlparse(url)
        self.connection = http.client.HTTPConnection(
            place.hostname, place.port, timeout=timeout)
        fields = {"authorization": f"Bearer {key}"}
        if resume:
            self.connection.request(
                "GET", f"/v1/responses/{resume}?stream=true"
                f"&starting_after={after}", None, fields)
        else:
            self.connection.request("POST", "/v1/responses",
                                    json.dumps(dict(body, stream=True)),
                                    fields)
        self.answer = self.connection.getresponse()
        self.status = self.answer.status
        self.request_id = self.answer.getheader("x-request-id")

    def events(self):
        data = None
        while True:
            line = self.answer.readline()
            if not line:
                return
            line = line.decode().rstrip("\n")
            if line.startswith("data: "):
                data = line[6:]
            elif not line and data:
                yield json.loads(data)
                data = None


class Tokens:
    """Checks that tokens come once, in order, from one generation."""

    def __init__(self):
        self.next = 0
        self.generation = None
        self.wrong = 0
        self.last_sequence = -1
        self.response = None
        self.completed = False
        self.failure = None

    def take(self, event):
        if event["type"] == "error":
            self.failure = event
            return
        self.last_sequence = event["sequence_number"]
        if event["type"] == "response.created":
            self.response = event["response"]["id"]
        elif event["type"] == "response.output_text.delta":
            index, generation = re.match(r"t(\d+)\.(\S+)",
                                         event["delta"]).groups()
            right = int(index) == self.next and generation == (
                self.generation or generation)
            self.wrong += 0 if right else 1
            self.generation = generation
            self.next = int(index) + 1
        elif event["type"] == "response.completed":
            self.completed = True
            used = event["response"]["usage"]["output_tokens"]
            self.wrong += 0 if used == self.next else 1


def wait_for(check, timeout=WAIT_S):
    """Waits until `check` is true and returns the seconds that it took."""
    begin = time.monotonic()
    while time.monotonic() - begin < timeout:
        try:
            if check():
                return time.monotonic() - begin
        except OSError:
            pass
        time.sleep(0.02)
    return None


def fault(fleet, **what):
    fleets.call(f"{fleet.state['store']}/faults", "POST", what)


def status(fleet, url):
    return fleets.call(f"{url}/admin/status", key=fleet.state["operator_key"])


def revisions(fleet):
    return [status(fleet, url)["revision"] for url in fleet.state["entries"]]


def stored_revision(fleet):
    history = json.loads(ctl(fleet, "history", "--json").stdout)
    return max(int(row["revision"]) for row in history)


def ctl(fleet, *words):
    """Runs peridotctl and returns the finished process."""
    return subprocess.run(
        [str(fleets.BUILD / "peridotctl"), *words,
         f"--store={fleet.state['store']}",
         f"--operator-key={fleet.state['operator_key']}"],
        capture_output=True, text=True, check=False)


def write_sheet(fleet, serial, change=None):
    source = (fleets.ROOT / "examples" /
              f"{fleet.state['deployment']}.json").read_text()
    sheet = json.loads(source)
    sheet["serial"] = serial
    if change:
        change(sheet)
    path = fleet.folder / f"sheet-{serial}-{time.monotonic_ns()}.json"
    path.write_text(json.dumps(sheet))
    return str(path)


def prompt(kind, number):
    return {"input": f"kind={kind} lot {number}"}


def generate_body(fleet, kind, number):
    return dict(prompt(kind, number), model=fleet.state["model"])


def pid_of(fleet, name):
    return fleet.by_name(name)["pid"]


def kill(fleet, name, how=signal.SIGKILL):
    os.kill(pid_of(fleet, name), how)


def with_session(url, key):
    answer = ask(url, "/v1/addresses", key=key)
    return answer.json["session"], answer.json["addresses"]


def service_call(fleet, url, key, name, session=None, number=None,
                 idempotency=None, attempt=None, timeout=40):
    headers = {}
    if session:
        headers["peridot-session"] = session
        headers["peridot-sequence"] = str(number)
    if idempotency:
        headers["idempotency-key"] = idempotency
    if attempt:
        headers["peridot-attempt"] = str(attempt)
    path = {"records": "/v1/services/records/weighings",
            "donations": "/v1/services/donations/credits"}
    return ask(url, path[fleet.state["plain_service"]], "POST",
               {"call": name}, key, headers, timeout)


def service_runs(fleet):
    total = {}
    for service in fleet.by_role("service"):
        for name, count in fleets.call(f"{service['url']}/counts").items():
            total[name] = total.get(name, 0) + count
    return total


def check_runs(check, fleet, answers):
    """No call ran twice, and none that was told "no" ran."""
    runs = service_runs(fleet)
    for name, told in answers.items():
        count = runs.get(name, 0)
        check.must(count <= 1, f"{name} ran {count} times")
        if all(ran == "no" for ran in told):
            check.must(count == 0, f"{name} was told not run but ran")
        if "yes" in told:
            check.must(count == 1, f"{name} was told yes but ran {count}")


# Configuration.

def configuration_in_force(fleet):
    check = Check("configuration-in-force")
    before = max(revisions(fleet))
    result = ctl(fleet, "correct", "ranks/" + first_rank(fleet) + "/floor",
                 "0.01")
    check.must(result.returncode == 0, "a correction was refused")
    took = wait_for(lambda: min(revisions(fleet)) > before)
    check.must(took is not None, "not in force everywhere")
    check.figures["in_force_s"] = took
    return check


def first_rank(fleet):
    sheet = json.loads((fleets.ROOT / "examples" /
                        f"{fleet.state['deployment']}.json").read_text())
    return sheet["ranks"][0]["id"]


def lost_answer_applies_once(fleet):
    check = Check("lost-answer-applies-once")
    before = max(revisions(fleet))
    fault(fleet, lose_answers=1)
    path = write_sheet(fleet, 50)
    result = ctl(fleet, "sheet", "apply", path)
    check.must(result.returncode == 0, "the sheet was not accepted")
    again = ctl(fleet, "sheet", "apply", path)
    check.must(again.returncode == 0, "the same sheet again was refused")
    wait_for(lambda: min(revisions(fleet)) > before)
    check.must(max(revisions(fleet)) == before + 1, "applied more than once")
    return check


def older_sheet_is_refused(fleet):
    check = Check("older-sheet-is-refused")
    newer = ctl(fleet, "sheet", "apply", write_sheet(fleet, 60), "--json")
    before = int(json.loads(newer.stdout)[0]["revision"])
    wait_for(lambda: min(revisions(fleet)) >= before)
    old = ctl(fleet, "sheet", "apply", write_sheet(fleet, 55))
    check.must(old.returncode == 4, f"exit code {old.returncode}, not 4")
    check.must("not newer" in old.stderr, "the reason is missing")
    time.sleep(0.5)
    check.must(max(revisions(fleet)) == before, "it took effect")
    return check


def operators_race(fleet):
    """Several operators change different things at the same moment."""
    check = Check("operators-race")
    callers = [c for c in fleet.state["keys"]][:6]
    results = {}

    def run(i, words):
        results[i] = ctl(fleet, *words)

    threads = [threading.Thread(target=run, args=(
        caller, ("correct", f"callers/{caller}/max_queued", str(200 + i))))
        for i, caller in enumerate(callers)]
    threads.append(threading.Thread(target=run, args=(
        "sheet", ("sheet", "apply", write_sheet(fleet, 70)))))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    accepted = [i for i, r in results.items() if r.returncode == 0]
    history = json.loads(ctl(fleet, "history", "--json").stdout)
    numbers = [int(row["revision"]) for row in history]
    check.must(numbers == sorted(set(numbers)), "revisions repeat")
    check.figures["accepted"] = len(accepted)
    for caller in callers:
        found = [row for row in history if f"callers/{caller}/max_queued" in
                 row["summary"]]
        if caller in accepted:
            check.must(len(found) == 1, f"{caller}: {len(found)} in history")
    check.must(len(accepted) == len(callers) + 1, "a change was not accepted")
    return check


def outage_serves_on(fleet):
    """The store is down: serving, sessions and corrections' waiting."""
    check = Check("outage-serves-on")
    url = fleet.state["entries"][0]
    key = next(iter(fleet.state["keys"].values()))
    # What only a killed VM knew cannot be had while the store is down, so the
    # outage begins when all nodes are at the store's revision.
    wait_for(lambda: min(revisions(fleet)) >= stored_revision(fleet))
    before = revisions(fleet)
    fault(fleet, down=True)
    time.sleep(1)
    answer = ask(url, "/v1/responses", "POST",
                 generate_body(fleet, "verdict", "outage"), key)
    check.must(answer.status == 200, "no generation in the outage")
    session, _ = with_session(url, key)
    told = {"outage-1": [service_call(fleet, url, key, "outage-1", session,
                                      1).ran]}
    check.must(told["outage-1"] == ["yes"], "a session call did not run")
    claim = service_call(fleet, url, key, "outage-2", idempotency="k-outage",
                         attempt=1)
    check.must(claim.ran == "no" and claim.status == 503,
               f"a claim in the outage: {claim.status} ran {claim.ran}")
    told["outage-2"] = [claim.ran]
    check_runs(check, fleet, told)
    # A VM that starts in the outage takes the configuration from a peer.
    name = "vm-3-entry"
    kill(fleet, name)
    time.sleep(0.2)
    fleet.restart(name)
    fresh = fleet.by_name(name)["url"]
    took = wait_for(lambda: status(fleet, fresh)["revision"] >= max(before))
    check.must(took is not None, "a VM started in the outage has no sheet")
    check.figures["boot_in_outage_s"] = took
    # A node that lagged when the outage began catches up from its peers.
    took = wait_for(lambda: min(revisions(fleet)) >= max(before))
    check.must(took is not None, f"nodes stay behind: {revisions(fleet)}")
    fault(fleet, down=False)
    back = wait_for(lambda: all(status(fleet, u)["store_answers"]
                                for u in fleet.state["entries"]))
    check.figures["store_back_s"] = back
    check.must(min(revisions(fleet)) >= max(before), "a revision went back")
    return check


# Calls.

def calls_under_death(fleet):
    check = Check("calls-under-death")
    key = next(iter(fleet.state["keys"].values()))
    urls = fleet.state["entries"]
    session, _ = with_session(urls[0], key)
    answers = {}

    def call(url, name, number, attempt=None):
        try:
            answer = service_call(fleet, url, key, name, session, number,
                                  attempt=attempt, timeout=15)
            answers.setdefault(name, []).append(answer.ran or
                                                str(answer.status))
        except OSError:
            answers.setdefault(name, []).append("broken")

    for i in range(1, 6):
        call(urls[i % len(urls)], f"d-{i}", i)
        call(urls[(i + 1) % len(urls)], f"d-{i}", i)
    for service in fleet.by_role("service"):
        fleets.call(f"{service['url']}/faults", "POST", {"delay_ms": 1500})
    thread = threading.Thread(target=call, args=(urls[1], "d-6", 6))
    thread.start()
    time.sleep(0.5)
    kill(fleet, "vm-1-entry")
    thread.join()
    for url in urls[1:]:
        call(url, "d-6", 6)
        call(url, "d-7", 7)
    for service in fleet.by_role("service"):
        fleets.call(f"{service['url']}/faults", "POST", {"delay_ms": 0})
    check.must(answers["d-1"] == ["yes", "yes"], f"d-1: {answers['d-1']}")
    check.must("no" not in answers["d-6"], "d-6 ran but was told no")
    check_runs(check, fleet, answers)
    check.figures["unknown"] = sum(
        told.count("unknown") for told in answers.values())
    check.figures["answers"] = sum(len(told) for told in answers.values())
    fleet.restart("vm-1-entry")
    wait_for(lambda: status(fleet, urls[0])["revision"] > 0)
    return check


def calls_under_pause(fleet):
    """The home is paused while its calls are resent, then goes on."""
    check = Check("calls-under-pause")
    key = next(iter(fleet.state["keys"].values()))
    urls = fleet.state["entries"]
    session, _ = with_session(urls[0], key)
    answers = {}

    def call(url, number):
        name = f"p-{number}"
        try:
            answer = service_call(fleet, url, key, name, session, number,
                                  timeout=12)
            answers.setdefault(name, []).append(answer.ran)
        except OSError:
            answers.setdefault(name, []).append("broken")

    kill(fleet, "vm-1-entry", signal.SIGSTOP)
    threads = [threading.Thread(target=call, args=(urls[1 + i % 2], 1))
               for i in range(4)]
    for thread in threads:
        thread.start()
        time.sleep(0.2)
    time.sleep(2)
    kill(fleet, "vm-1-entry", signal.SIGCONT)
    for thread in threads:
        thread.join()
    call(urls[1], 1)
    check.must("yes" in answers["p-1"] or "unknown" in answers["p-1"],
               f"{answers}")
    check_runs(check, fleet, answers)
    return check


def calls_with_lost_answers(fleet):
    check = Check("calls-with-lost-answers")
    key = next(iter(fleet.state["keys"].values()))
    url = fleet.state["entries"][0]
    session, _ = with_session(url, key)
    answers = {}
    for service in fleet.by_role("service"):
        fleets.call(f"{service['url']}/faults", "POST", {"drop_answers": 1})
    for i in range(1, 9):
        told = [service_call(fleet, url, key, f"l-{i}", session, i).ran
                for _ in range(2)]
        answers[f"l-{i}"] = told
    for i in range(1, 4):
        told = [service_call(fleet, url, key, f"c-{i}",
                             idempotency=f"claim-{i}-{time.time()}").ran]
        answers[f"c-{i}"] = told
    check_runs(check, fleet, answers)
    lost = sum(1 for told in answers.values() if "unknown" in told)
    check.figures["unknown_share"] = lost / len(answers)
    check.must(lost <= len(fleet.by_role("service")),
               f"{lost} calls unknown, only as many answers were lost as "
               "there are services")
    return check


def claims_race(fleet):
    """The same key at every entry at the same moment, answers lost."""
    check = Check("claims-race")
    key = next(iter(fleet.state["keys"].values()))
    answers = {}
    for round_ in range(5):
        fault(fleet, lose_answers=1)
        name = f"r-{round_}"
        told = answers.setdefault(name, [])

        def run(url):
            told.append(service_call(fleet, url, key, name,
                                     idempotency=f"race-{round_}").ran)

        threads = [threading.Thread(target=run, args=(u,))
                   for u in fleet.state["entries"]]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    fault(fleet, lose_answers=0)
    check_runs(check, fleet, answers)
    check.must(any("yes" in told for told in answers.values()),
               "no claimed call ran at all")
    return check


# Streams.

def stream_survives_entry(fleet):
    check = Check("stream-survives-entry")
    key = next(iter(fleet.state["keys"].values()))
    urls = fleet.state["entries"]
    tokens = Tokens()
    number = 0
    while tokens.next < 30 and number < 40:
        # Looks for a generation that is long enough to be cut.
        number += 1
        tokens = Tokens()
        stream = Stream(urls[0], key, generate_body(
            fleet, "long", f"cut-{number}"))
        for event in stream.events():
            tokens.take(event)
            if tokens.next >= 30:
                break
    kill(fleet, "vm-1-entry")
    begin = time.monotonic()
    resumed = Stream(urls[1], key, resume=tokens.response,
                     after=tokens.last_sequence)
    check.must(resumed.status == 200, f"status {resumed.status}")
    for event in resumed.events():
        if "resume_s" not in check.figures:
            check.figures["resume_s"] = time.monotonic() - begin
        tokens.take(event)
    check.must(tokens.wrong == 0, f"{tokens.wrong} tokens wrong")
    check.must(tokens.completed, "the stream did not complete")
    check.figures["tokens"] = tokens.next
    fleet.restart("vm-1-entry")
    wait_for(lambda: status(fleet, urls[0])["revision"] > 0)
    return check


def stream_ends_typed_with_engine(fleet):
    """The engine dies after the first token: the stream says "partly"."""
    check = Check("stream-ends-typed-with-engine")
    key = next(iter(fleet.state["keys"].values()))
    url = fleet.state["entries"][1]
    tokens = Tokens()
    stream = Stream(url, key, generate_body(fleet, "long", "engine-death-3"))
    victim = None
    for event in stream.events():
        tokens.take(event)
        if tokens.next == 3 and victim is None:
            decisions = ask(url, f"/admin/explain/{stream.request_id}",
                            key=fleet.state["operator_key"]).json
            granted = [d["detail"].split()[0] for d in decisions["decisions"]
                       if d["code"] == "granted"]
            victim = granted[-1]
            kill(fleet, victim)
            begin = time.monotonic()
    check.must(tokens.wrong == 0, f"{tokens.wrong} tokens wrong")
    check.must(tokens.failure is not None and
               tokens.failure.get("ran") == "partly",
               f"ended with {tokens.failure}")
    check.figures["ended_s"] = time.monotonic() - begin
    fleet.restart(victim)
    wait_for(lambda: fleets.call(f"{fleet.by_name(victim)['url']}/stats"))
    return check


def silent_connection_is_replaced(fleet):
    check = Check("silent-connection-is-replaced")
    key = next(iter(fleet.state["keys"].values()))
    url = fleet.state["entries"][1]
    tokens = Tokens()
    stream = Stream(url, key, generate_body(fleet, "long", "silent-5"))
    longest = 0
    last = time.monotonic()
    silenced = False
    for event in stream.events():
        longest = max(longest, time.monotonic() - last)
        last = time.monotonic()
        tokens.take(event)
        if tokens.next == 5 and not silenced:
            silenced = True
            for engine in fleet.by_role("engine"):
                fleets.call(f"{engine['url']}/faults", "POST",
                            {"silence_share": 1.0})
    check.must(tokens.wrong == 0, f"{tokens.wrong} tokens wrong")
    check.must(tokens.completed, f"did not complete: {tokens.failure}")
    check.figures["longest_gap_s"] = longest
    return check


def ids_are_bound_to_callers(fleet):
    check = Check("ids-are-bound-to-callers")
    keys = list(fleet.state["keys"].values())
    url = fleet.state["entries"][1]
    answer = ask(url, "/v1/responses", "POST",
                 generate_body(fleet, "verdict", "bound"), keys[0])
    identity = answer.json["id"]
    for path, method in ((f"/v1/responses/{identity}", "GET"),
                         (f"/v1/responses/{identity}/cancel", "POST"),
                         (f"/v1/responses/{identity}?stream=true", "GET"),
                         (f"/v1/responses/{identity[:-3]}abc", "GET")):
        other = ask(url, path, method, None if method == "GET" else {},
                    keys[1])
        check.must(other.status == 404, f"{method} gave {other.status}")
    session, _ = with_session(url, keys[0])
    stolen = service_call(fleet, url, keys[1], "stolen", session, 1)
    check.must(stolen.status == 409, f"a stolen session: {stolen.status}")
    check.must(service_runs(fleet).get("stolen", 0) == 0, "it ran")
    return check


# Dispatchers, endpoints, stewards.

def dispatcher_dies(fleet):
    """Kills the dispatcher in use while requests wait and run."""
    check = Check("dispatcher-dies")
    key = next(iter(fleet.state["keys"].values()))
    url = fleet.state["entries"][0]
    first = ask(url, "/v1/responses", "POST",
                generate_body(fleet, "verdict", "probe"), key)
    decisions = ask(url, f"/admin/explain/{first.headers['x-request-id']}",
                    key=fleet.state["operator_key"]).json["decisions"]
    used = [d["detail"].split(" at ")[1] for d in decisions
            if d["code"] == "queued"][0]
    results = []

    def run(i):
        begin = time.monotonic()
        answer = ask(url, "/v1/responses", "POST",
                     generate_body(fleet, "verdict", f"dd-{i}"), key)
        results.append((answer.status, time.monotonic() - begin))

    kill(fleet, f"{used}-dispatch")
    begin = time.monotonic()
    threads = [threading.Thread(target=run, args=(i,)) for i in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    check.must(all(code == 200 for code, _ in results), f"{results}")
    check.figures["all_answered_s"] = time.monotonic() - begin
    fleet.restart(f"{used}-dispatch")
    return check


def leaving_endpoint_gets_nothing(fleet):
    check = Check("leaving-endpoint-gets-nothing")
    key = next(iter(fleet.state["keys"].values()))
    url = fleet.state["entries"][1]
    engines = fleet.by_role("engine")
    ways = {
        "vm_list": lambda e: fleets.call(
            f"{fleet.state['store']}/vms", "POST",
            {"id": e["name"], "state": "leaving"}),
        "own_word": lambda e: fleets.call(f"{e['url']}/faults", "POST",
                                          {"leaving": True}),
        "drain": lambda e: ctl(fleet, "drain", e["name"]),
    }
    for (way, leave), engine in zip(ways.items(), engines):
        leave(engine)
        begin = time.monotonic()
        last = 0.0
        number = 0
        while time.monotonic() - begin < 5:
            number += 1
            answer = ask(url, "/v1/responses", "POST",
                         generate_body(fleet, "verdict", f"{way}-{number}"),
                         key)
            decisions = ask(
                url, f"/admin/explain/{answer.headers['x-request-id']}",
                key=fleet.state["operator_key"]).json["decisions"]
            used = [d["detail"].split()[0] for d in decisions
                    if d["code"] == "granted"]
            if used and used[-1] == engine["name"]:
                last = time.monotonic() - begin
        check.figures[f"{way}_last_work_s"] = last
        check.must(last <= 2.0, f"{way}: new work after {last:.1f} s")
        fleets.call(f"{fleet.state['store']}/vms", "POST",
                    {"id": engine["name"], "state": "live"})
        fleets.call(f"{engine['url']}/faults", "POST", {"leaving": False})
        ctl(fleet, "drain", engine["name"], "--undo=on")
    return check


def rollout_keeps_serving(fleet):
    """A new version on every endpoint, one at a time, under load."""
    check = Check("rollout-keeps-serving")
    key = next(iter(fleet.state["keys"].values()))
    url = fleet.state["entries"][1]

    def newer(sheet):
        for place in sheet["places"]:
            place["version"] = "v2"

    result = ctl(fleet, "sheet", "apply", write_sheet(fleet, 90, newer))
    check.must(result.returncode == 0, result.stderr)
    begin = time.monotonic()
    worst = 0
    failed = 0
    number = 0
    done = False
    while time.monotonic() - begin < 90 and not done:
        states = [fleets.call(f"{e['url']}/orders")
                  for e in fleet.by_role("engine")]
        worst = max(worst, sum(1 for s in states if not s["runs"]))
        done = all(any("@v2" in run for run in s["runs"]) for s in states)
        number += 1
        answer = ask(url, "/v1/responses", "POST",
                     generate_body(fleet, "verdict", f"roll-{number}"), key)
        failed += answer.status != 200
    check.must(done, "the version is not everywhere")
    check.must(worst <= 1, f"{worst} endpoints out of service at once")
    check.must(failed == 0, f"{failed} requests failed")
    check.figures["rollout_s"] = time.monotonic() - begin
    loads = [fleets.call(f"{e['url']}/orders")["loads"]
             for e in fleet.by_role("engine")]
    check.must(max(loads) == 1, f"loads {loads}")
    return check


def paused_steward_does_no_harm(fleet):
    """The holder of the lease is paused past it and wakes."""
    check = Check("paused-steward-does-no-harm")
    logs = {p["name"]: pathlib.Path(p["log"]) for p in
            fleet.by_role("steward")}

    def version(number):
        def change(sheet):
            for place in sheet["places"]:
                place["version"] = f"v{number}"
        return change

    sizes = {name: len(path.read_text()) for name, path in logs.items()}
    ctl(fleet, "sheet", "apply", write_sheet(fleet, 100, version(3)))

    def holder():
        for name, path in logs.items():
            if '"order"' in path.read_text()[sizes[name]:]:
                return name
        return None

    took = wait_for(lambda: holder() is not None, 60)
    check.must(took is not None, "nobody gave an order")
    paused = holder()
    kill(fleet, paused, signal.SIGSTOP)
    ctl(fleet, "sheet", "apply", write_sheet(fleet, 101, version(4)))

    def all_run(text):
        return all(any(text in run for run in
                       fleets.call(f"{e['url']}/orders")["runs"])
                   for e in fleet.by_role("engine"))

    took = wait_for(lambda: all_run("@v4"), 120)
    check.must(took is not None, "no other steward took over")
    check.figures["take_over_and_rollout_s"] = took
    kill(fleet, paused, signal.SIGCONT)
    time.sleep(4)
    check.must(all_run("@v4"), "the old holder undid the new one's orders")
    return check


# Stops and refusals.

def rolling_replacement(fleet):
    """Stops and replaces every entry VM under load."""
    check = Check("rolling-replacement")
    rank = first_rank(fleet)
    callers = list(fleet.state["keys"].items())[2:8]
    streams = [{"caller": c, "key": k, "rank": rank,
                "model": fleet.state["model"], "text": "kind=report",
                "rate": 1.5, "start_s": 0, "stop_s": 40}
               for c, k in callers]
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "workload.json"
        output = pathlib.Path(folder) / "figures.json"
        path.write_text(json.dumps({
            "entries": fleet.state["entries"], "seed": 3, "duration_s": 40,
            "drain_s": 60, "streams": streams,
            "deadlines_ms": {rank: 4000}}))
        load = subprocess.Popen(
            [str(fleets.BUILD / "peridot-caller"), f"--workload={path}",
             f"--output={output}"], stdout=subprocess.DEVNULL)
        answers = {}
        key = callers[0][1]
        session, _ = with_session(fleet.state["entries"][0], key)
        number = 0
        codes = []
        slowest = 0
        for vm in range(1, len(fleet.state["entries"]) + 1):
            name = f"vm-{vm}-entry"
            process = fleet.by_name(name)
            os.kill(process["pid"], signal.SIGTERM)
            begin = time.monotonic()
            code = None
            while code is None and time.monotonic() - begin < WAIT_S:
                number += 1
                others = [u for u in fleet.state["entries"]
                          if u != process["url"]]
                told = answers.setdefault(f"roll-{number}", [])
                for attempt in range(1, 20):
                    try:
                        answer = service_call(
                            fleet, others[attempt % len(others)], key,
                            f"roll-{number}", session, number,
                            attempt=attempt)
                    except OSError:
                        told.append("broken")
                        continue
                    told.append(answer.ran)
                    if answer.ran == "yes":
                        break
                    time.sleep(0.2)
                done, raw = os.waitpid(process["pid"], os.WNOHANG)
                if done:
                    code = os.waitstatus_to_exitcode(raw)
            slowest = max(slowest, time.monotonic() - begin)
            codes.append(code)
            fleet.restart(name)
            wait_for(lambda: fleets.call(f"{process['url']}/readyz"))
            time.sleep(1)
        load.wait()
        figures = json.loads(output.read_text())["all"]
    check.must(codes == [0] * len(codes), f"exit codes {codes}")
    check.must(figures["answered"] == figures["offered"],
               f"answered {figures['answered']} of {figures['offered']}: "
               f"{figures['refused']}")
    check.must(figures["tokens_wrong"] == 0, "tokens wrong")
    check.must(figures["generations_joined"] == 0, "generations joined")
    last = [told[-1] for told in answers.values()]
    check.must(all(ran == "yes" for ran in last),
               f"session calls ended {[r for r in last if r != 'yes']}")
    runs = service_runs(fleet)
    for name in answers:
        check.must(runs.get(name, 0) == 1,
                   f"{name} ran {runs.get(name, 0)} times")
    check.figures.update({"requests": figures["offered"],
                          "reconnects": figures["reconnects"],
                          "session_calls": len(answers),
                          "slowest_stop_s": slowest})
    return check


def refusals_survive_a_vm(fleet):
    """Refusals counted by a VM that is killed are accounted for."""
    check = Check("refusals-survive-a-vm")
    key = list(fleet.state["keys"].items())[0]
    url = fleet.state["entries"][0]
    fault(fleet, down=True)
    time.sleep(0.5)
    wanted = 7
    for i in range(wanted):
        answer = service_call(fleet, url, key[1], f"ref-{i}",
                              idempotency=f"ref-{i}-{time.time()}",
                              attempt=1)
        check.must(answer.ran == "no", f"told {answer.ran}")
    time.sleep(0.5)
    kill(fleet, "vm-1-entry")
    fault(fleet, down=False)

    def accounted():
        rows = json.loads(ctl(fleet, "refusals", "--json").stdout or "[]")
        return sum(int(r["refusals"]) for r in rows
                   if r["kind"] == "store_unavailable"
                   and r["caller"] == key[0])

    took = wait_for(lambda: accounted() >= wanted)
    check.must(took is not None, f"{accounted()} of {wanted} accounted for")
    time.sleep(1)
    check.must(accounted() == wanted, f"{accounted()} counted, not {wanted}")
    fleet.restart("vm-1-entry")
    wait_for(lambda: status(fleet, url)["revision"] > 0)
    return check


GROUPS = {
    "configuration": [configuration_in_force, lost_answer_applies_once,
                      older_sheet_is_refused, operators_race,
                      outage_serves_on],
    "calls": [calls_under_pause, calls_with_lost_answers, claims_race,
              calls_under_death],
    "streams": [ids_are_bound_to_callers, silent_connection_is_replaced,
                stream_survives_entry, stream_ends_typed_with_engine],
    "endpoints": [dispatcher_dies, leaving_endpoint_gets_nothing,
                  rollout_keeps_serving, paused_steward_does_no_harm],
    "stops": [refusals_survive_a_vm, rolling_replacement],
}


def store_calls(fleet):
    return fleets.call(f"{fleet.state['store']}/counts")


def run_group(name, deployment="pernik", entries=3, engines=4):
    """Runs a group on a fleet of its own and returns its checks."""
    checks = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.up(deployment, folder, entries, engines, services=2)
        begin = time.monotonic()
        try:
            for function in GROUPS[name]:
                check = function(fleet)
                checks.append(check)
                print(f"{check.name}: "
                      f"{'violated' if check.violations else 'holds'} "
                      f"{json.dumps(check.figures)} {check.violations or ''}",
                      flush=True)
            elapsed = time.monotonic() - begin
            print("store calls a second: " + json.dumps(
                {k: round(v / elapsed, 2)
                 for k, v in store_calls(fleet).items()}), flush=True)
        finally:
            fleets.stop_processes(list(reversed(fleet.state["processes"])),
                                  timeout=0.5)
    return checks


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("groups", nargs="*", default=list(GROUPS))
    parser.add_argument("--output")
    options = parser.parse_args()
    checks = []
    for name in options.groups:
        checks += run_group(name)
    if options.output:
        pathlib.Path(options.output).write_text(
            json.dumps([c.as_dict() for c in checks], indent=1) + "\n")
    violated = sum(1 for c in checks if c.violations)
    print(f"{len(checks) - violated} passed, {violated} failed")
    sys.exit(1 if violated else 0)


if __name__ == "__main__":
    main()
