"""Entry: taking over a job whose coordinator is gone."""

from egretthread import message, outcome
from egretthread.blackboard import EntryBoard
from egretthread.controllers import answers, claims, pool, rounds
from egretthread.jobstate import Assignment, JobState, Phase
from egretthread.message import NO_BALLOT, Registration, TaskState

# An agent that has not answered a seal is asked again after this time.
SEAL_AGAIN_S = 0.5
# The generation of claims, which need no promise of the witnesses.
FIRST_GENERATION = 1


def begin_seal(
    board: EntryBoard, state: JobState, found: list[Registration]
) -> None:
    """Seals every agent that may hold a task of the job."""
    state.registration = _merge(found, state)
    state.phase = Phase.SEALING
    state.wake_s = board.now_s + board.settings.dead_after_s
    state.agents = state.registration.agents
    _send_seals(board, state)
    advance(board, state)


def _merge(found: list[Registration], state: JobState) -> Registration:
    """Joins what the witnesses hold: the newest word, all the agents."""
    agents = {agent for item in found for agent in item.agents}
    newest = _newest(found)
    closed = [item for item in newest if item.closed]
    rivals = {item.ballot for item in newest}
    return Registration(
        digest=state.submission.digest,
        ballot=state.ballot,
        agents=tuple(sorted(agents)),
        closed=bool(closed),
        not_run=closed[0].not_run if closed and len(rivals) == 1 else (),
    )


def _newest(found: list[Registration]) -> list[Registration]:
    """Returns the registrations that may be the one a majority accepted.

    First claims are granted to whoever comes first, so their ballots do not
    tell which of them won; later ballots do.
    """
    ballot = max((item.ballot for item in found), default=NO_BALLOT)
    if ballot.generation == FIRST_GENERATION:
        return found
    return [item for item in found if item.ballot == ballot]


def _send_seals(board: EntryBoard, state: JobState) -> None:
    state.sealed_s = board.now_s
    for node in _unsealed(state):
        agent = board.agents.get(node)
        if agent is not None and agent.connected:
            board.send(node, message.Seal(state.job, state.ballot, node))
        elif _is_replaced(board, node):
            state.vanished.add(node)
        else:
            _call_through_others(board, state, node)


def _call_through_others(board: EntryBoard, state: JobState, node: str) -> None:
    """Lets the other entries pass a seal on to an agent without a link here.

    The agent then dials this entry, which seals it over its own link.
    """
    seal = message.Seal(state.job, state.ballot, node)
    for peer in board.entry_links:
        board.send(peer, seal)


def on_seal(board: EntryBoard, node: str, seal: message.Seal) -> None:
    """Passes another entry's seal on to an agent that is linked here."""
    agent = board.agents.get(seal.agent)
    if agent is not None and agent.connected:
        board.counters["seals_passed_on"] += 1
        board.send(seal.agent, seal)


def _unsealed(state: JobState) -> list[str]:
    return [
        node
        for node in state.registration.agents
        if node not in state.seals and node not in state.vanished
    ]


def _is_replaced(board: EntryBoard, node: str) -> bool:
    """Whether a newer incarnation of the same agent has announced itself."""
    current = board.agent_names.get(message.node_name(node))
    if current is None:
        return False
    return message.node_incarnation(current) > message.node_incarnation(node)


def on_seal_reply(
    board: EntryBoard, node: str, reply: message.SealReply
) -> None:
    """Takes in what an agent holds of the job."""
    state = board.jobs.get(reply.job)
    if state is None or state.phase is not Phase.SEALING:
        return
    if reply.ballot > state.ballot:
        claims.find_new_coordinator(board, state, reply.ballot)
        return
    if reply.ballot < state.ballot:
        return
    state.seals[reply.agent] = reply
    advance(board, state)


def on_tick(board: EntryBoard, state: JobState) -> None:
    """Asks again, and gives up on agents that stay out of reach."""
    if board.now_s - state.sealed_s >= SEAL_AGAIN_S:
        _send_seals(board, state)
    if board.now_s >= state.wake_s:
        state.vanished.update(_unsealed(state))
    advance(board, state)


def advance(board: EntryBoard, state: JobState) -> None:
    """Settles every task once all agents are sealed or gone."""
    if _unsealed(state):
        return
    _settle_reported(board, state)
    if state.registration.closed:
        _settle_closed(state)
    elif state.vanished:
        _settle_vanished(state)
    state.phase = Phase.ACCEPTING
    agents = pool.widen(board, state.submission.service, state.agents)
    registration = Registration(
        state.submission.digest,
        state.ballot,
        agents,
        state.registration.closed,
        answers.not_run(state) if state.registration.closed else (),
    )
    state.round = rounds.begin(board, state.job, message.Accept, registration)
    claims.advance(board, state)


def _settle_reported(board: EntryBoard, state: JobState) -> None:
    """Takes over the tasks that an agent has started or finished."""
    for node, reply in state.seals.items():
        if node in state.vanished:
            continue
        for report in reply.tasks:
            state.attempts[report.index] = max(
                state.attempts[report.index], report.attempt
            )
            if report.state is TaskState.FINISHED:
                state.outcomes.setdefault(report.index, report.outcome)
            elif report.index not in state.outcomes:
                state.assignments[report.index] = Assignment(
                    node, report.attempt, board.now_s
                )


def _settle_vanished(state: JobState) -> None:
    """Nobody knows whether the agents that are gone started the rest."""
    for index in state.unsettled():
        state.outcomes[index] = outcome.unknown(
            "the agent that may have started it is gone"
        )


def _settle_closed(state: JobState) -> None:
    """The answer was final before: nothing more of the job may start.

    What no agent has started is not run for good once all are sealed.
    """
    for index in state.unsettled():
        if index in state.registration.not_run or not state.vanished:
            state.outcomes[index] = outcome.not_run("the job was closed")
        else:
            state.outcomes[index] = outcome.unknown(
                "its outcome was lost with its coordinator"
            )
