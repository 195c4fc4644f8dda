"""Codecs of the messages that carry tasks, which are written by hand."""

from egretthread.codec import Codec
from egretthread.jobkey import JobRef
from egretthread.message import (
    Assign,
    Ballot,
    Refusal,
    Report,
    SealReply,
    TaskAssignment,
    TaskReport,
    TaskState,
)
from egretthread.outcome import Outcome, OutcomeKind

# Number that encodes a task report's state, outcome kind and refusal.
REPORT_CODES = {
    (state, kind, refusal): state_number + 16 * kind_number + 256 * number
    for state_number, state in enumerate(TaskState)
    for kind_number, kind in enumerate((None, *OutcomeKind))
    for number, refusal in enumerate(Refusal)
}
REPORT_FIELDS = {code: fields for fields, code in REPORT_CODES.items()}


def _write_assign(builder, message: Assign) -> None:
    _write_common_fields(builder, message)
    builder.service = message.service
    tasks = message.tasks
    numbers = []
    for task in tasks:
        numbers += (task.index, task.attempt)
    builder.numbers = numbers
    builder.payloads = [task.payload for task in tasks]
    builder.timeouts = [task.timeout_s for task in tasks]
    builder.want = message.want
    builder.urgentS = message.urgent_s
    builder.mayQueue = message.may_queue


def _read_assign(reader) -> Assign:
    numbers = list(reader.numbers)
    tasks = zip(
        numbers[0::2],
        numbers[1::2],
        reader.payloads,
        reader.timeouts,
        strict=True,
    )
    return Assign(
        JobRef(reader.organisation, reader.key),
        reader.service,
        Ballot(reader.generation, reader.coordinator),
        reader.agent,
        tuple([TaskAssignment(*task) for task in tasks]),
        reader.want,
        reader.urgentS,
        reader.mayQueue,
    )


def _write_report(builder, message: Report) -> None:
    _write_common_fields(builder, message)
    _write_task_reports(builder, message.tasks)
    builder.free = message.free
    builder.received = message.received


def _read_report(reader) -> Report:
    return Report(
        JobRef(reader.organisation, reader.key),
        Ballot(reader.generation, reader.coordinator),
        reader.agent,
        _read_task_reports(reader),
        reader.free,
        reader.received,
    )


def _write_seal_reply(builder, message: SealReply) -> None:
    _write_common_fields(builder, message)
    _write_task_reports(builder, message.tasks)


def _read_seal_reply(reader) -> SealReply:
    return SealReply(
        JobRef(reader.organisation, reader.key),
        Ballot(reader.generation, reader.coordinator),
        reader.agent,
        _read_task_reports(reader),
    )


def _write_common_fields(builder, message: Assign | Report | SealReply) -> None:
    job = message.job
    builder.organisation = job.organisation
    builder.key = job.key
    ballot = message.ballot
    builder.generation = ballot.generation
    builder.coordinator = ballot.coordinator
    builder.agent = message.agent


def _write_task_reports(builder, tasks: tuple[TaskReport, ...]) -> None:
    numbers = []
    texts = []
    for task in tasks:
        outcome = task.outcome
        kind = None
        if outcome is not None:
            kind = outcome.kind
            texts += (outcome.result, outcome.reason)
        code = REPORT_CODES[task.state, kind, task.refusal]
        numbers += (task.index, task.attempt, code)
    builder.numbers = numbers
    builder.texts = texts
    builder.runs = [task.run_s for task in tasks]


def _read_task_reports(reader) -> tuple[TaskReport, ...]:
    numbers = list(reader.numbers)
    texts = list(reader.texts)
    results = zip(texts[0::2], texts[1::2], strict=True)
    columns = zip(
        numbers[0::3], numbers[1::3], numbers[2::3], reader.runs, strict=True
    )
    tasks = []
    for index, attempt, code, run_s in columns:
        state, kind, refusal = REPORT_FIELDS[code]
        outcome = Outcome(kind, *next(results)) if kind else None
        tasks.append(TaskReport(index, attempt, state, outcome, refusal, run_s))
    return tuple(tasks)


BY_CLASS: dict[type, Codec] = {
    Assign: Codec(_write_assign, _read_assign),
    Report: Codec(_write_report, _read_report),
    SealReply: Codec(_write_seal_reply, _read_seal_reply),
}
