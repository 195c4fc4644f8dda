"""Parses and validates the JSON bodies of submissions."""

import hashlib

import orjson

from egretthread import config, jobkey, util
from egretthread.submission import SingleRequest, Submission, TaskSpec

JOB_KEYS = ("key", "service", "deadline_s", "tasks")
TASK_KEYS = ("payload", "memory_bytes", "run_s")
REQUEST_KEYS = ("service", "deadline_s", "idempotent", *TASK_KEYS)
DIGEST_BYTES = 16
DEFAULT_DEADLINE_S = 30.0
MIN_DEADLINE_S = 0.01


def parse(
    body: bytes, organisation: str, configuration: config.Configuration
) -> Submission:
    """Returns the job in a request body.

    Args:
        body: JSON text as the caller sent it.
        organisation: Name of the organisation that sent it.
        configuration: The configuration in force; it holds the limits.

    Raises:
        util.OptionError: The body holds faults; all of them are listed.
    """
    checker = util.OptionChecker()
    document = _load(checker, body)
    checker.unknown_keys(document, "", JOB_KEYS)
    key = _key(checker, document)
    name = checker.text(document, "service", "service")
    deadline_s = _deadline_s(checker, document, configuration)
    limits = configuration.service(name) or config.Service(name)
    tasks = _tasks(checker, document, limits)
    checker.finish("the request body")
    return Submission(
        jobkey.JobRef(organisation, key),
        name,
        digest(name, tasks),
        tasks,
        deadline_s,
    )


def parse_request(
    body: bytes, organisation: str, configuration: config.Configuration
) -> SingleRequest:
    """Returns the single request in a request body.

    Args:
        body: JSON text as the caller sent it.
        organisation: Name of the organisation that sent it.
        configuration: The configuration in force; it holds the limits.

    Raises:
        util.OptionError: The body holds faults; all of them are listed.
    """
    checker = util.OptionChecker()
    document = _load(checker, body)
    checker.unknown_keys(document, "", REQUEST_KEYS)
    name = checker.text(document, "service", "service")
    deadline_s = _deadline_s(checker, document, configuration)
    limits = configuration.service(name) or config.Service(name)
    task = _task_of_request(checker, document, limits)
    idempotent = checker.boolean(document, "idempotent", "idempotent", False)
    checker.finish("the request body")
    return SingleRequest(organisation, name, task, deadline_s, idempotent)


def _task_of_request(
    checker: util.OptionChecker, document: dict, limits: config.Service
) -> TaskSpec:
    fields = {key: document[key] for key in TASK_KEYS if key in document}
    if "payload" in fields:
        return _task(checker, fields, "", limits)
    checker.fault("payload", None, "give a payload")
    return TaskSpec("")


def _deadline_s(
    checker: util.OptionChecker,
    document: dict,
    configuration: config.Configuration,
) -> float:
    return checker.number(
        document,
        "deadline_s",
        "deadline_s",
        DEFAULT_DEADLINE_S,
        MIN_DEADLINE_S,
        configuration.max_deadline_s,
    )


def digest(service: str, tasks: tuple[TaskSpec, ...]) -> str:
    """Returns the digest that tells apart submissions under the same key."""
    content = hashlib.blake2b(digest_size=DIGEST_BYTES)
    content.update(service.encode())
    for task in tasks:
        content.update(f"\0{task.memory_bytes}\0{task.run_s}\0".encode())
        content.update(task.payload.encode())
    return content.hexdigest()


def _load(checker: util.OptionChecker, body: bytes) -> dict:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        checker.fault("body", body[:40], f"send JSON ({error})")
        checker.finish("the request body")
    if not isinstance(document, dict):
        checker.fault("body", type(document).__name__, "send a JSON object")
        checker.finish("the request body")
    return document


def _key(checker: util.OptionChecker, document: dict) -> str:
    try:
        return jobkey.check_key(document.get("key"))
    except jobkey.JobKeyError as error:
        checker.fault("key", document.get("key"), error.remedy)
        return ""


def _tasks(
    checker: util.OptionChecker, document: dict, limits: config.Service
) -> tuple[TaskSpec, ...]:
    tasks = document.get("tasks")
    if not isinstance(tasks, list) or not tasks:
        checker.fault("tasks", tasks, "give a list of at least one task")
        return ()
    if len(tasks) > limits.max_tasks_per_job:
        checker.fault(
            "tasks",
            f"{len(tasks)} tasks",
            f"give at most {limits.max_tasks_per_job}",
        )
        return ()
    return tuple(
        _task(checker, task, f"tasks[{index}]", limits)
        for index, task in enumerate(tasks)
    )


def _task(
    checker: util.OptionChecker, task: object, path: str, limits: config.Service
) -> TaskSpec:
    if not isinstance(task, dict) or "payload" not in task:
        checker.fault(path, task, "give an object with a payload")
        return TaskSpec("")
    checker.unknown_keys(task, path, TASK_KEYS)
    prefix = f"{path}." if path else ""
    payload = orjson.dumps(task["payload"])
    if len(payload) > limits.max_payload_bytes:
        checker.fault(
            f"{prefix}payload",
            f"{len(payload)} bytes",
            f"give at most {limits.max_payload_bytes} bytes",
        )
    memory_bytes = checker.integer(
        task, "memory_bytes", f"{prefix}memory_bytes", 0
    )
    run_s = checker.number(task, "run_s", f"{prefix}run_s", 0)
    return TaskSpec(payload.decode(), memory_bytes, float(run_s))
