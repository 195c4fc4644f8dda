"""Agent: answers for the job keys it is a witness of."""

from egretthread import ledger, witness
from egretthread.agentboard import AgentBoard


def on_request(board: AgentBoard, node: str, request: witness.Request) -> None:
    """Answers an entry's request about a job key."""
    view = board.config_reply
    if view is None:
        return
    reply = witness.answer(
        board.witness,
        request,
        board.unix_s,
        view.clock_error_s,
    )
    board.send(node, reply)


def forget_expired(board: AgentBoard) -> None:
    """Drops everything about keys past retention."""
    witness.forget_expired(board.witness, board.horizon_s)
    ledger.forget_expired(board.ledger, board.horizon_s)
