"""Start a cell, roll out its bundle, send requests of each kind, check the answers."""

import json
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from demo.cells import Cell, http_call

DEPLOYMENTS = ("footfall", "wayleave")
REQUESTS = "/v1/requests"
RESULT_SECONDS = 20


class Demo:
    """Send requests of each kind to one cell and check the answers."""

    def __init__(self, cell):
        self.cell = cell
        self.addresses = [found.addresses["http"] for found in cell.gateways]
        self.failures = 0
        self.sent = 0
        services = cell.bundle["services"]
        self.urgent = _find_service(services, "urgent", True)
        self.deferred = _find_service(services, "deferred", True)
        self.once = _find_service(services, "urgent", False)
        self.job = cell.bundle["jobs"][0]["name"]

    def run(self):
        for number in range(6):
            payload = {"number": number}
            self.urgent_request(payload, self.addresses[number % 3])
        self.deferred_request({"week": 48})
        self.send_duplicates({"run": 1})
        self.job_with_three_members()
        return self.failures

    def urgent_request(self, payload, address):
        body = {"service": self.urgent, "payload": payload}
        status, found, _ = self.send("urgent", address, body)
        self.check(status == 200 and found["payload"] == payload, "urgent", found)

    def deferred_request(self, payload):
        body = {"service": self.deferred, "payload": payload}
        status, _, headers = self.send("deferred", self.addresses[1], body)
        self.check(status == 202 and "Location" in headers, "deferred", status)
        found = self.wait_for(headers["Location"], "deferred-result")
        result = found.get("result", {})
        is_whole = found.get("outcome") == "done" and result.get("payload") == payload
        self.check(is_whole, "deferred", found)

    def send_duplicates(self, payload):
        body = {"service": self.once, "payload": payload}
        headers = {"Idempotency-Key": f"demo-{self.once}"}
        with ThreadPoolExecutor(2) as executor:
            futures = [
                executor.submit(self.send, "once", address, body, headers)
                for address in self.addresses[:2]
            ]
        answers = [future.result() for future in futures]
        self.check(all(found[0] == 200 for found in answers), "once", answers)
        self.check(answers[0][1] == answers[1][1], "once", "answers differ")
        request_id = answers[0][2]["Request-Id"]
        runs = self.cell.control("counts")["runs"].get(request_id)
        self.check(runs == 1, "once", f"ran {runs} times")

    def job_with_three_members(self):
        body = {
            "job": self.job,
            "members": 3,
            "processors": 4000,
            "memory": 8192,
            "payload": {"run_seconds": 0.2},
        }
        status, _, headers = self.send("job", self.addresses[2], body)
        self.check(status == 202, "job", status)
        found = self.wait_for(headers["Location"], "job-result")
        is_whole = found.get("outcome") == "done" and len(found["result"]) == 3
        self.check(is_whole, "job", found)

    def send(self, kind, address, body, headers=None):
        began = time.monotonic()
        status, headers, data = http_call(address, "POST", REQUESTS, body, headers)
        self.report(kind, status, headers, data, time.monotonic() - began)
        return status, json.loads(data), headers

    def wait_for(self, location, kind):
        began = time.monotonic()
        while True:
            status, headers, data = http_call(self.addresses[0], "GET", location)
            found = json.loads(data)
            is_late = time.monotonic() - began > RESULT_SECONDS
            if found.get("state") == "ended" or is_late:
                seconds = time.monotonic() - began
                self.report(kind, status, headers, data, seconds)
                return found

    def report(self, kind, status, headers, data, seconds):
        self.sent += 1
        found = json.loads(data)
        _print(
            cell=self.cell.deployment,
            request=headers.get("Request-Id") or found.get("request"),
            kind=kind,
            status=status,
            outcome=found.get("outcome", "done" if status == 200 else "accepted"),
            milliseconds=round(seconds * 1000, 1),
            trace_id=headers.get("Trace-Id"),
        )

    def check(self, is_correct, kind, found):
        if not is_correct:
            self.failures += 1
            _print(cell=self.cell.deployment, wrong=kind, found=repr(found)[:500])


def _find_service(services, urgency, repeatable):
    for found in services:
        if (found["urgency"], found["repeatable"]) == (urgency, repeatable):
            return found["name"]
    raise AssertionError(urgency)


def _print(**values):
    sys.stdout.write(json.dumps(values) + "\n")
    sys.stdout.flush()


def main():
    keep = "--keep" in sys.argv[1:]
    sent = failures = 0
    for deployment in DEPLOYMENTS:
        with Cell(deployment) as cell:
            demo = Demo(cell)
            failures += demo.run()
            sent += demo.sent
            if keep:
                _print(cell=deployment, platform=cell.url, gateways=demo.addresses)
                sys.stdout.write("Press Enter to continue.\n")
                sys.stdin.readline()
    verdict = "ok" if not failures else "wrong"
    _print(demo=verdict, requests=sent, wrong=failures)
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
