"""Agent controller: answers requests about job keys as their witness."""

from egretthread import ledger, witness
from egretthread.agentboard import AgentBoard


def on_request(board: AgentBoard, node: str, request: witness.Request) -> None:
    """Answers an entry's request about a job key."""
    config_reply = board.config_reply
    if config_reply is None:
        return
    reply = witness.answer(
        board.witness,
        request,
        board.unix_s,
        config_reply.clock_error_s,
    )
    board.send(node, reply)


def remove_expired(board: AgentBoard) -> None:
    """Removes all records of job keys whose retention has ended."""
    witness.remove_expired(board.witness, board.horizon_s)
    ledger.remove_expired(board.ledger, board.horizon_s)
