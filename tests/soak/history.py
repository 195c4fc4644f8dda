"""Events of made-up runs."""

from egretthread_standins.platformsite.site import Event

JOB = "00000000000000a1"
TASK = f"{JOB}.0.0.0"


def _server(at_s, what, number, **fields):
    fields = {"agent": f"agent-{number}", "born": 7, "run": 1, **fields}
    return Event(at_s, f"i-{number}", what, fields)


def start(at_s, number=1, task=TASK, **fields):
    fields = {"spec": f"match {task[:16]}", "late": False, **fields}
    return _server(at_s, "start", number, task=task, **fields)


def end(at_s, number=1, task=TASK, how="done", **fields):
    return _server(at_s, "end", number, task=task, how=how, **fields)


def noted(at_s, number=1, task=TASK, lapsed=False, **fields):
    fields = {"how": "done", "lapsed": lapsed, **fields}
    return _server(at_s, "end noted", number, task=task, **fields)


def crash(at_s, number=1, task=TASK, **fields):
    return _server(at_s, "run crashed", number, task=task, **fields)


def draining(at_s, number=1, **fields):
    return _server(at_s, "draining", number, **fields)


def post(
    at_s, status=200, kept=True, state="queued", steps=((1, ()),), job=JOB
):
    fields = {"kept": kept, "state": state, "steps": steps}
    return request(at_s, "POST", status, job=job, **fields)


def get(at_s, state="running", status=200, job=JOB, **fields):
    state = state if status == 200 else ""
    return request(at_s, "GET", status, job=job, state=state, **fields)


def request(at_s, what, status, sent=None, entry="entry-1", **fields):
    sent = at_s - 0.1 if sent is None else sent
    fields = {"entry": entry, "sent": sent, "status": status, **fields}
    return Event(at_s, "caller", what, fields)


def cancels(at_s):
    return Event(at_s, "caller", "cancels", {"job": JOB, "entry": "entry-1"})


def delete(at_s, status=200):
    return request(at_s, "DELETE", status, job=JOB)


def finish(at_s):
    return Event(at_s, "caller", "finish over", {"open": []})


def configuration(at_s, version, *prefixes):
    fields = {"version": version, "prefixes": list(prefixes)}
    return Event(at_s, "operator", "configuration", fields)


def queue(sent, prefix, status, took_s=0.01, pid=1, entry="entry-1", pending=0):
    fields = {"prefix": prefix, "pid": pid, "connection": "new"}
    fields["pending"] = pending if status == 200 else -1
    return request(sent + took_s, "GET queue", status, sent, entry, **fields)


def disturbance(begin_s, end_s, *targets, number=1, kind="freeze"):
    fields = {"number": number, "kind": kind, "targets": targets}
    return [
        Event(begin_s, "disturbance", "begin", fields),
        Event(end_s, "disturbance", "over", fields),
    ]
