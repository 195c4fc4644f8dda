"""Entry controller: takes over a job whose coordinator was lost."""

from egretthread import message, nodeid, outcome
from egretthread.blackboard import EntryBoard
from egretthread.controllers import answers, claims, pool, rounds
from egretthread.jobstate import Assignment, JobState, Phase
from egretthread.message import NO_BALLOT, Registration, TaskState

# A seal that an agent has not answered is resent after this time.
RESEND_SEAL_S = 0.5
# The ballot generation of claims, which need no promise of the witnesses.
FIRST_GENERATION = 1


def begin_seal(
    board: EntryBoard, state: JobState, found: list[Registration]
) -> None:
    """Sends seals to all agents that may hold a task of the job."""
    state.registration = _merge(found, state)
    state.phase = Phase.SEALING
    state.wake_s = board.now_s + board.settings.dead_after_s
    state.agents = state.registration.agents
    _send_seals(board, state)
    advance(board, state)


def _merge(found: list[Registration], state: JobState) -> Registration:
    """Merges registrations: all of the agents, and the newest closed state."""
    agents = {agent for registration in found for agent in registration.agents}
    newest = _newest(found)
    closed = [registration for registration in newest if registration.closed]
    ballots = {registration.ballot for registration in newest}
    return Registration(
        digest=state.submission.digest,
        ballot=state.ballot,
        agents=tuple(sorted(agents)),
        closed=bool(closed),
        not_run=closed[0].not_run if closed and len(ballots) == 1 else (),
    )


def _newest(found: list[Registration]) -> list[Registration]:
    """Returns the registrations that a majority may have accepted.

    Each witness grants the claim that reaches it first, so the claim with the
    highest ballot is not necessarily the one with a majority. From the second
    generation on, the highest ballot decides.
    """
    ballot = max(
        (registration.ballot for registration in found), default=NO_BALLOT
    )
    if ballot.generation == FIRST_GENERATION:
        return found
    return [
        registration for registration in found if registration.ballot == ballot
    ]


def _send_seals(board: EntryBoard, state: JobState) -> None:
    state.seals_sent_s = board.now_s
    for node in _unsealed(state):
        agent = board.agents.get(node)
        if agent is not None and agent.is_connected:
            board.send(node, message.Seal(state.job, state.ballot, node))
        elif _is_replaced(board, node):
            state.lost_agents.add(node)
        else:
            _relay_seal(board, state, node)


def _relay_seal(board: EntryBoard, state: JobState, node: str) -> None:
    """Relays a seal through the other entries to an agent without a link here.

    The agent then connects to this entry, which sends the seal itself.
    """
    seal = message.Seal(state.job, state.ballot, node)
    for peer in board.entry_links:
        board.send(peer, seal)


def on_seal(board: EntryBoard, node: str, seal: message.Seal) -> None:
    """Forwards another entry's seal to an agent connected to this entry."""
    agent = board.agents.get(seal.agent)
    if agent is not None and agent.is_connected:
        board.counters["seals_passed_on"] += 1
        board.send(seal.agent, seal)


def _unsealed(state: JobState) -> list[str]:
    return [
        node
        for node in state.registration.agents
        if node not in state.seal_replies and node not in state.lost_agents
    ]


def _is_replaced(board: EntryBoard, node: str) -> bool:
    """Whether a newer incarnation of the same agent is known."""
    newest = board.agent_names.get(nodeid.node_name(node))
    if newest is None:
        return False
    return nodeid.node_incarnation(newest) > nodeid.node_incarnation(node)


def on_seal_reply(
    board: EntryBoard, node: str, reply: message.SealReply
) -> None:
    """Records the tasks of a job that an agent holds."""
    state = board.jobs.get(reply.job)
    if state is None or state.phase is not Phase.SEALING:
        return
    if reply.ballot > state.ballot:
        claims.step_down(board, state, reply.ballot)
        return
    if reply.ballot < state.ballot:
        return
    state.seal_replies[reply.agent] = reply
    advance(board, state)


def on_tick(board: EntryBoard, state: JobState) -> None:
    """Resends seals and counts agents that stay unreachable as lost."""
    if board.now_s - state.seals_sent_s >= RESEND_SEAL_S:
        _send_seals(board, state)
    if board.now_s >= state.wake_s:
        state.lost_agents.update(_unsealed(state))
    advance(board, state)


def advance(board: EntryBoard, state: JobState) -> None:
    """Decides the state of every task once all agents are sealed or lost."""
    if _unsealed(state):
        return
    _settle_reported(board, state)
    if state.registration.closed:
        _settle_closed(state)
    elif state.lost_agents:
        _settle_lost(state)
    state.phase = Phase.ACCEPTING
    agents = pool.add_agents(board, state.submission.service, state.agents)
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
    """Adopts the tasks that the agents have started or finished."""
    for node, reply in state.seal_replies.items():
        if node in state.lost_agents:
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


def _settle_lost(state: JobState) -> None:
    """Marks the remaining tasks as unknown: lost agents may have run them."""
    for index in state.unassigned():
        state.outcomes[index] = outcome.unknown(
            "the agent that may have started it was lost"
        )


def _settle_closed(state: JobState) -> None:
    """Ends the remaining tasks of a closed job, whose answer is final.

    Once all agents are sealed, a task that none of them started never runs.
    """
    for index in state.unassigned():
        if index in state.registration.not_run or not state.lost_agents:
            state.outcomes[index] = outcome.not_run("the job was closed")
        else:
            state.outcomes[index] = outcome.unknown(
                "its outcome was lost with the job's coordinator"
            )
