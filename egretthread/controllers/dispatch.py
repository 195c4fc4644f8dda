"""Entry: hands waiting tasks to agents and takes in what they report."""

import itertools

from egretthread import (
    credit,
    fairqueue,
    message,
    outcome,
    placement,
    placements,
)
from egretthread.blackboard import AgentState, EntryBoard
from egretthread.controllers import answers, claims, pool, rounds, wants
from egretthread.controllers.rounds import Tally
from egretthread.jobstate import Assignment, JobState, Phase

# A hand-out without news is sent again after this time.
RESEND_S = 10.0


def queue_for(board: EntryBoard, service: str) -> fairqueue.FairQueue:
    """Returns the queue of a service's waiting tasks."""
    return board.queues.setdefault(service, fairqueue.FairQueue())


def begin_running(board: EntryBoard, state: JobState) -> None:
    """Queues the tasks of a job that nobody has started."""
    state.phase = Phase.RUNNING
    enqueue(board, state, state.unsettled())
    if state.cancel_reason:
        give_up_queued(board, state)
    answers.check_over(board, state)
    _run_job(board, state)


def enqueue(board: EntryBoard, state: JobState, indices: list[int]) -> None:
    """Queues tasks of a job behind its organisation's others."""
    if not indices:
        return
    name = state.job.organisation
    queue = queue_for(board, state.submission.service)
    queue.push(name, weight(board, name), state.job, indices, board.now_s)


def weight(board: EntryBoard, name: str) -> float:
    """Returns an organisation's weight under contention."""
    organisation = board.quotas.organisations.get(name)
    return organisation.weight if organisation else 1.0


def stop_running(board: EntryBoard, state: JobState) -> None:
    """Takes a job's waiting tasks out of the queue."""
    queue_for(board, state.submission.service).remove(state.job)


def give_up_queued(board: EntryBoard, state: JobState) -> None:
    """Marks the tasks that no agent holds as not run."""
    stop_running(board, state)
    if state.phase is not Phase.RUNNING:
        return
    for index in state.unsettled():
        state.outcomes[index] = outcome.not_run(state.cancel_reason)


def dispatch_service(board: EntryBoard, service: str) -> None:
    """Hands out as many waiting tasks of a service as slots are free."""
    if len(queue_for(board, service)) and _may_hand_out(board, service):
        _hand_out_to(board, service, pool.views(board, service))
        wants.update(board, service)
    else:
        # Without a lease, slots held for this entry would be lost to others.
        wants.withdraw(board, service)


def _run_job(board: EntryBoard, state: JobState) -> None:
    """Hands out waiting tasks to the agents that a new job may use.

    Other agents have had their chance: their slots wait for no new job.
    """
    service = state.submission.service
    if not len(queue_for(board, service)):
        wants.withdraw(board, service)
    elif _may_hand_out(board, service):
        views = pool.views_among(board, service, state.agents)
        _hand_out_to(board, service, views)
        wants.update(board, service)


def dispatch_to_agent(board: EntryBoard, agent: AgentState) -> None:
    """Hands waiting tasks to one agent that has free slots.

    This costs the same however many agents there are; it is what follows
    each message of an agent.
    """
    service = agent.heartbeat.service
    waiting = len(queue_for(board, service))
    room = agent.free + credit.rule_for(agent.heartbeat.slots).unasked
    if not waiting or room <= 0 or not _may_hand_out(board, service):
        return
    if pool.takes_work(board, agent):
        view = pool.view(board, agent)
        _hand_out_to(board, service, {agent.node: view})
    if not len(queue_for(board, service)):
        wants.withdraw(board, service)


def _may_hand_out(board: EntryBoard, service: str) -> bool:
    known = board.configuration.service(service) is not None
    return known and board.lease_open


def _hand_out_to(board: EntryBoard, service: str, views: dict) -> None:
    """Fills idle slots; while much waits, a little more than these.

    The messages go out last, since they tell how much still waits.
    """
    placed = _place_all(board, service, views)
    may_queue = wants.may_queue(board, service)
    if may_queue:
        wider = {n: pool.wide_view(board, board.agents[n]) for n in views}
        placed += _place_all(board, service, wider)
    for hand_out in placed:
        _send_assign(board, *hand_out, may_queue)


# A job's state, an agent's node id and the indices placed there.
Placed = tuple[JobState, str, list[int]]


def _place_all(board: EntryBoard, service: str, views: dict) -> list[Placed]:
    queue = queue_for(board, service)
    free = sum(placement.usable_slots(view) for view in views.values())
    placed = []
    for state, indices in _take(board, queue, free):
        placed += _place(board, queue, state, indices, views)
    return placed


def _take(
    board: EntryBoard, queue: fairqueue.FairQueue, count: int
) -> list[tuple[JobState, list[int]]]:
    """Takes up to `count` tasks off the queue, joined by job."""
    taken = []
    for _ in range(count):
        item = queue.pop()
        if item is None:
            break
        taken.append(item)
    groups = {}
    for job, index in taken:
        groups.setdefault(job, []).append(index)
    return [(board.jobs[job], indices) for job, indices in groups.items()]


def _place(
    board: EntryBoard,
    queue: fairqueue.FairQueue,
    state: JobState,
    indices: list[int],
    views: dict,
) -> list[Placed]:
    """Chooses agents for tasks of one job; what finds no slot goes back."""
    limits = board.configuration.service(state.submission.service)
    policy = placements.find_policy(limits.placement)
    usable = [views[node] for node in state.agents if node in views]
    rest = iter(indices)
    placed = []
    for node, count in policy(usable, len(indices)):
        chosen = list(itertools.islice(rest, count))
        if chosen:
            _note_hand_out(board, state, board.agents[node], chosen)
            placed.append((state, node, chosen))
            views[node] = pool.take_free(views[node], len(chosen))
    left = list(rest)
    if left:
        name = state.job.organisation
        share = weight(board, name)
        queue.requeue(name, share, state.job, left, state.created_s)
    return placed


def _note_hand_out(
    board: EntryBoard, state: JobState, agent: AgentState, indices: list[int]
) -> None:
    for index in indices:
        state.attempts[index] += 1
        state.assignments[index] = Assignment(
            agent.node, state.attempts[index], board.now_s
        )
    board.dispatched_jobs.add(state.job)
    agent.free -= len(indices)
    pool.note_hand_out(board, agent)
    pool.probation(board, agent.heartbeat.service).record_dispatch(
        agent.node, board.now_s
    )
    board.counters["hand_outs"] += len(indices)
    board.samples.append(("queue_seconds", board.now_s - state.created_s))


def _send_assign(
    board: EntryBoard,
    state: JobState,
    node: str,
    indices: list[int],
    may_queue: bool,
) -> None:
    """Sends tasks, and with them how much more waits for the agent."""
    submission = state.submission
    agent = board.agents.get(node)
    want = 0
    if agent is not None:
        agent.assigned += len(indices)
        want = wants.count_for(board, agent)
        wants.note_count(board, agent, want)
    limits = board.configuration.service(submission.service)
    timeout_s = limits.max_task_s if limits else 0.0
    tasks = tuple(
        message.TaskAssignment(
            index,
            state.assignments[index].attempt,
            submission.tasks[index].payload,
            timeout_s,
        )
        for index in indices
    )
    board.send(
        node,
        message.Assign(
            state.job,
            submission.service,
            state.ballot,
            node,
            tasks,
            want,
            wants.urgent_s(board, submission.service),
            may_queue,
        ),
    )


def resend(board: EntryBoard, node: str) -> None:
    """Sends an agent again all that it holds for this entry.

    The link may have lost messages either way; the agent answers with what
    it knows and starts nothing twice.
    """
    for state in board.jobs.values():
        if state.phase is Phase.RUNNING:
            _resend_job(board, state, node, board.now_s)


def _resend_job(
    board: EntryBoard, state: JobState, node: str, before_s: float
) -> None:
    indices = [
        index
        for index, held in state.assignments.items()
        if held.agent == node and held.sent_s <= before_s
    ]
    if not indices:
        return
    for index in indices:
        held = state.assignments[index]
        state.assignments[index] = Assignment(node, held.attempt, board.now_s)
    board.counters["hand_outs_resent"] += len(indices)
    may_queue = wants.may_queue(board, state.submission.service)
    _send_assign(board, state, node, indices, may_queue)


def on_agent_gone(board: EntryBoard, node: str) -> None:
    """Nobody knows any more what a vanished agent did."""
    for state in list(board.jobs.values()):
        if state.phase is Phase.RUNNING:
            _lose_hand_outs(board, state, node)


def _lose_hand_outs(board: EntryBoard, state: JobState, node: str) -> None:
    lost = [i for i, held in state.assignments.items() if held.agent == node]
    for index in lost:
        del state.assignments[index]
        state.outcomes[index] = outcome.unknown(
            "the agent that may have started it is gone"
        )
    if lost:
        board.counters["tasks_lost"] += len(lost)
        answers.check_over(board, state)


def on_tick(board: EntryBoard, state: JobState) -> None:
    """Does what is due by time for a running job."""
    before_s = board.now_s - RESEND_S
    for node in {held.agent for held in state.assignments.values()}:
        agent = board.agents.get(node)
        if agent is None:
            _lose_hand_outs(board, state, node)
        elif agent.connected:
            _resend_job(board, state, node, before_s)
    if state.phase is Phase.RUNNING:
        _extend(board, state)


def _extend(board: EntryBoard, state: JobState) -> None:
    """Registers more agents for a job whose tasks still wait."""
    if state.extension is not None:
        rounds.refresh(board, state.extension)
        advance_extension(board, state)
        return
    if state.registration.closed or not state.unsettled():
        return
    # Each list holds the one before, so that the longest is the newest word.
    known = state.proposed_agents or state.agents
    agents = pool.widen(board, state.submission.service, known)
    if len(agents) == len(state.agents):
        return
    state.proposed_agents = agents
    registration = message.Registration(
        state.submission.digest, state.ballot, agents
    )
    state.extension = rounds.begin(
        board, state.job, message.Accept, registration
    )


def advance_extension(board: EntryBoard, state: JobState) -> None:
    """Uses the agents added once a majority of the witnesses knows them."""
    current = state.extension
    tally = rounds.tally(board, current)
    if tally is Tally.PENDING:
        return
    state.extension = None
    if tally is Tally.GRANTED:
        state.registration = current.request.registration
        state.agents = state.registration.agents
        dispatch_service(board, state.submission.service)
    elif tally is Tally.REFUSED:
        claims.find_new_coordinator(
            board, state, rounds.highest_promise(current)
        )
