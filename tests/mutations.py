"""Mutation testing of the design: python -m tests.mutations.

Each mutation edits a scratch copy of the sources, and the tests or the seeded
histories must detect it. A mutation that survives shows that the oracle or
the histories are too weak.
"""

import argparse
import dataclasses
import pathlib
import shutil
import subprocess
import sys
import tempfile

# Tests that may detect a mutation before the histories are played.
FOCUSED = (
    "tests/test_agent_leases.py",
    "tests/test_agent_tasks.py",
    "tests/test_claims.py",
    "tests/test_entry_members.py",
    "tests/test_lease.py",
    "tests/test_recovery.py",
    "tests/test_reports.py",
    "tests/test_rounds.py",
    "tests/test_world.py",
)
ROOT = pathlib.Path(__file__).parent.parent
# Number of seeded histories after which a mutation counts as survived.
HISTORIES = 300


@dataclasses.dataclass(frozen=True)
class Mutation:
    """One deliberate fault in the sources.

    Attributes:
        name: The faulty behaviour.
        path: File to edit, below egretthread.
        old: Text to replace; the file must contain it exactly once.
        new: Replacement.
        tests: Tests that may detect it before the histories are played.
        histories: Module that plays the histories; none when empty.
    """

    name: str
    path: str
    old: str
    new: str
    tests: tuple[str, ...] = FOCUSED
    histories: str = "tests.fuzz"


# Mutations of the engines in egretthread/scheduling, whose tests play the
# histories themselves.
SCHEDULING_MUTATIONS = tuple(
    Mutation(name, f"scheduling/{path}", old, new, ("tests/scheduling",), "")
    for name, path, old, new in (
        (
            "carry out an order of any age",
            "leaserule.py",
            "    return clock_ms - echo_ms <= MAX_ORDER_AGE_MS",
            "    return True",
        ),
        (
            "let runs of an earlier agent continue",
            "serverpoll.py",
            "            _stop_unknown(board, running.name, running.number)",
            "            pass",
        ),
        (
            "report dispatched tasks as not run",
            "jobs.py",
            "        outcome = Outcome.GIVEN_UP",
            "        pass",
        ),
        (
            "never send the stops of blocked runs",
            "runorders.py",
            "            for call in board.blocked_runs",
            "            for call in ()",
        ),
        (
            "discard the ends of kept jobs at once",
            "heldends.py",
            "    board.held_ends[ended_run.sequence] = held",
            "    pass",
        ),
        (
            "discard void ends before the lease has expired",
            "heldends.py",
            "    board.void_ends |= void",
            "    [board.held_ends.pop(number) for number in void]",
        ),
        (
            "renew the lease while void ends are held",
            "agentboard.py",
            "        return bool(self.blocked_runs or self.void_ends)",
            "        return bool(self.blocked_runs)",
        ),
        (
            "coordinate adopted jobs before the fence has passed",
            "leaserule.py",
            "    return ended_s + lease_s + stop_s + STOP_MARGIN_S",
            "    return 0.0",
        ),
        (
            "take the handover of any coordinator",
            "keptjobs.py",
            "        or former_epoch != partition.former_epoch",
            "        or False",
        ),
        (
            "hand a partition over while runs go on",
            "keptjobs.py",
            "        elif board.now_s >= handover.ready_s and not has_runs:",
            "        else:",
        ),
        (
            "forget cancellations of jobs that are not stored yet",
            "keptjobs.py",
            "        partition.cancelled[job] = cancellation",
            "        pass",
        ),
        (
            "open a partition before the jobs of its last owner are read",
            "keptboard.py",
            "        return self.read_s >= self.tenure_end_s",
            "        return True",
        ),
        (
            "continue to coordinate after the assignment has expired",
            "keptjobs.py",
            "    if board.kept.partitions and "
            "board.now_s >= board.kept.until_s:",
            "    if False:",
        ),
        (
            "acknowledge ends of jobs that have not been read",
            "keptjobs.py",
            "    if partition.read_s <= offered_s:\n        return False\n",
            "",
        ),
        (
            "count jobs as begun once they are ordered",
            "pendingcounts.py",
            " and view.last_received_s > task.start_by_s + DELIVERY_S\n",
            "\n",
        ),
        (
            "accept the ends of superseded runs",
            "keptjobs.py",
            "    if _is_superseded(board, kept_job, task, end):\n"
            "        return False\n",
            "",
        ),
        (
            "start tasks before their numbers are stored",
            "jobs.py",
            "        task.state = TaskState.RECORDING\n",
            "        enqueue(board, task)\n",
        ),
        (
            "forget which ends are included in the progress",
            "keptjobs.py",
            "(end.step, end.index, end.run) in kept_job.loaded.ends:",
            "False:",
        ),
        (
            "number the runs of a job that was taken over from the beginning",
            "runnumbers.py",
            "    job.first_run = max(progress.superseded_all, known) + 2",
            "    pass",
        ),
        (
            "start a run again whose start is refused as old",
            "runorders.py",
            "    if run.number == run.ordered_number:",
            "    if False:",
        ),
    )
)
# Mutations of the appends to the log of kept jobs.
LOG_MUTATIONS = tuple(
    Mutation(
        name,
        f"scheduling/{path}",
        old,
        new,
        ("tests/platform/test_keptpath.py",),
        "",
    )
    for name, path, old, new in (
        (
            "use an epoch again after a loss in the same generation",
            "keptboard.py",
            "max(first, self.epochs.get(number, -1) + 1)",
            "first",
        ),
        (
            "take any answer to an append as stored",
            "joblog.py",
            "if _is_stored(appended, len(records), partition):",
            "if True:",
        ),
        (
            "repeat a refused append in the same epoch",
            "joblog.py",
            "            self.server.begin_epoch(partition)\n            batch",
            "            batch",
        ),
    )
)
MUTATIONS = (
    *SCHEDULING_MUTATIONS,
    *LOG_MUTATIONS,
    Mutation(
        "skip the registration",
        "controllers/claims.py",
        "    state.round = rounds.begin("
        "board, state.job, message.Claim, registration)\n",
        "    if not registration.closed:\n"
        "        dispatch.begin_running(board, state)\n"
        "        return\n"
        "    state.round = rounds.begin("
        "board, state.job, message.Claim, registration)\n",
    ),
    Mutation(
        "skip the seal",
        "controllers/recovery.py",
        "    _send_seals(board, state)\n    advance(board, state)\n\n\n"
        "def _merge",
        "    for node in _unsealed(state):\n"
        "        state.seal_replies[node] = message.SealReply(\n"
        "            state.job, state.ballot, node, ()\n"
        "        )\n"
        "    advance(board, state)\n\n\n"
        "def _merge",
    ),
    Mutation(
        "treat an empty witness as one without a registration",
        "witness.py",
        "    if ready_from_s is None or issued_s < ready_from_s:\n"
        "        return Verdict.NOT_READY\n",
        "",
    ),
    Mutation(
        "accept a lower ballot at the agent",
        "controllers/agent_tasks.py",
        "    superseded = assign.ballot < job_record.ballot\n",
        "    superseded = False\n",
    ),
    Mutation(
        "drop the lease check at the start",
        "controllers/agent_tasks.py",
        "    refusal = agent_leases.refusal(board)\n"
        "    if refusal is Refusal.DRAINING and",
        "    refusal = Refusal.NONE\n    if refusal is Refusal.DRAINING and",
    ),
    Mutation(
        "ignore that a lease has lapsed",
        "controllers/agent_leases.py",
        "    if board.config_reply is None"
        " or board.now_s >= board.lease.until_s:\n",
        "    if board.config_reply is None:\n",
    ),
    Mutation(
        "omit the incarnation from node ids",
        "nodeid.py",
        '    return f"{name}#{incarnation}"\n',
        '    return f"{name}#0"\n',
    ),
    Mutation(
        "reassign tasks that a lost agent may have started",
        "controllers/dispatch.py",
        "        state.outcomes[index] = outcome.unknown(\n"
        '            "the agent that may have started it was lost"\n'
        "        )\n"
        "    if lost:\n",
        "        enqueue(board, state, [index])\n    if lost:\n",
    ),
    Mutation(
        "treat the tasks of a lost agent as unstarted in a takeover",
        "controllers/recovery.py",
        "    elif state.lost_agents:\n        _settle_lost(state)\n",
        "",
    ),
    Mutation(
        "answer not_run without notifying the witnesses",
        "controllers/answers.py",
        "    if complete or state.registration.closed:\n",
        "    if state.outcomes:\n",
    ),
    Mutation(
        "answer not_run although the witnesses could not be notified",
        "controllers/answers.py",
        "    for index in not_run(state):\n"
        "        state.outcomes[index] = outcome.unknown(\n"
        '            "not started here, but the witnesses could not record'
        ' this"\n'
        "        )\n",
        "",
    ),
    Mutation(
        "count a vote for another registration",
        "controllers/rounds.py",
        "    return reply.registration != request.registration\n",
        "    return False\n",
    ),
    Mutation(
        "use more agents before the witnesses know them",
        "controllers/dispatch.py",
        "    registration = message.Registration(\n"
        "        state.submission.digest, state.ballot, agents\n"
        "    )\n"
        "    state.extension",
        "    registration = message.Registration(\n"
        "        state.submission.digest, state.ballot, agents\n"
        "    )\n"
        "    state.agents = agents\n"
        "    state.extension",
    ),
    Mutation(
        "discard refused assignments",
        "ledger.py",
        "    record.tasks[index] = report\n    return report\n",
        "    record.tasks.pop(index, None)\n    return report\n",
    ),
    Mutation(
        "treat a late refusal as one of the newest assignment",
        "controllers/reports.py",
        "    if report.ballot != state.ballot"
        " or task.attempt < assignment.attempt:\n"
        "        return\n",
        "",
    ),
    Mutation(
        "count one witness as a majority",
        "members.py",
        "    return size // 2 + 1\n",
        "    return 1\n",
    ),
    Mutation(
        "accept below the promised ballot at the witness",
        "witness.py",
        "    if ballot < record.promised:\n        return Verdict.REFUSED\n"
        "    record.promised = ballot\n",
        "    record.promised = ballot\n",
    ),
    Mutation(
        "accept an older configuration at an entry",
        "entry.py",
        "    if offset <= board.config_offset:\n        return\n",
        "",
    ),
    Mutation(
        "accept an older configuration at an agent",
        "controllers/agent_leases.py",
        "    if reply.config_offset < previous.config_offset:\n"
        '        board.counters["stale_heartbeat_replies"] += 1\n'
        "        return\n",
        "",
    ),
    Mutation(
        "assume an outage of the log without a majority",
        "lease.py",
        "    needed = len(entries) // 2 + 1 - holds_lease\n",
        "    needed = 0\n",
    ),
    Mutation(
        "count lapsed leases towards the majority",
        "lease.py",
        "        and peer.holds_lease\n",
        "",
    ),
    Mutation(
        "discard expired keys without refusing them permanently",
        "agent.py",
        "        board.horizon_s = max(board.horizon_s, horizon_s)\n",
        "        board.horizon_s = horizon_s\n"
        "        board.witness.horizon_s = horizon_s\n",
    ),
    Mutation(
        "do not compare the content of a known key",
        "controllers/claims.py",
        "        if registration.digest != state.submission.digest:\n",
        "        if False:\n",
    ),
    Mutation(
        "close a job without its unsettled tasks",
        "controllers/answers.py",
        "    if len(state.outcomes) < len(state.submission.tasks):\n",
        "    if not state.outcomes:\n",
    ),
)


def apply(mutation: Mutation, root: pathlib.Path) -> None:
    """Applies a mutation to a copy of the sources.

    Raises:
        ValueError: The file does not contain the old text exactly once.
    """
    path = root / "egretthread" / mutation.path
    text = path.read_text(encoding="utf-8")
    if text.count(mutation.old) != 1:
        raise ValueError(
            f"{mutation.name}: {path} does not contain the old text exactly"
            " once; update the mutation"
        )
    path.write_text(text.replace(mutation.old, mutation.new))


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of one mutation.

    Attributes:
        mutation: The mutation.
        tests: Names of the focused tests that failed.
        fuzz: Summary line of the histories.
        found: First violation that the histories found, if any.
    """

    mutation: Mutation
    tests: tuple[str, ...]
    fuzz: str
    found: str

    @property
    def survived(self) -> bool:
        """Whether no test and no history detected it."""
        return not self.tests and not self.found


def run(mutation: Mutation, seed: int, histories: int, workers: int) -> Result:
    """Runs the focused tests and the histories on a mutated copy."""
    with tempfile.TemporaryDirectory() as scratch:
        root = pathlib.Path(scratch)
        for name in ("egretthread", "tests"):
            shutil.copytree(ROOT / name, root / name)
        apply(mutation, root)
        tests = _run(root, "pytest", "-q", "--tb=no", *mutation.tests)
        fuzz = None
        if mutation.histories:
            fuzz = _run(
                root,
                *(mutation.histories, "--stop", "--seed", str(seed)),
                *("--histories", str(histories)),
                *("--workers", str(workers)),
            )
    failed = tuple(
        line.rpartition("::")[2].partition(" ")[0]
        for line in tests.stdout.splitlines()
        if line.startswith("FAILED")
    )
    if fuzz is None:
        return Result(mutation, failed, "not played", "")
    lines = fuzz.stdout.splitlines()
    played = next((x for x in lines if x.startswith("played=")), "crashed")
    found = ""
    if fuzz.returncode:
        found = next((x for x in lines if x.startswith("seed ")), "")
        if found and not _passes_unmodified(found):
            found = ""
    return Result(mutation, failed, played, found)


def _passes_unmodified(found: str) -> bool:
    """Whether the history of a violation passes on the unmodified sources."""
    seed = found.split()[1].rstrip(",")
    single = ("--histories", "1", "--workers", "1")
    return _run(ROOT, "tests.fuzz", "--seed", seed, *single).returncode == 0


def _run(root: pathlib.Path, *arguments: str) -> subprocess.CompletedProcess:
    command = (sys.executable, "-m", *arguments)
    return subprocess.run(
        command, cwd=root, capture_output=True, text=True, check=False
    )


def _summary(result: Result) -> str:
    status = "SURVIVED" if result.survived else "caught"
    lines = [f"{status}: {result.mutation.name}: fuzz {result.fuzz}"]
    if result.found:
        lines.append(f"    {result.found[:200]}")
    lines.extend(f"    test {name}" for name in result.tests)
    return "\n".join(lines)


def main() -> int:
    """Runs the mutations and prints which of them were detected."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--histories", type=int, default=HISTORIES)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    survivors = 0
    for mutation in MUTATIONS:
        if options.only not in mutation.name:
            continue
        result = run(mutation, options.seed, options.histories, options.workers)
        survivors += result.survived
        print(_summary(result), flush=True)
    print(f"survivors={survivors}")
    return 1 if survivors else 0


if __name__ == "__main__":
    sys.exit(main())
