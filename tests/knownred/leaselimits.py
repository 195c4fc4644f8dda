"""Leases that outlast their limits, and a server that stays unused."""

from egretthread.scheduling import (
    agentengine,
    leaserule,
    runorders,
    serverlease,
    serverpoll,
)
from egretthread.scheduling.runmessage import EntryBeat, RunEnd
from egretthread.scheduling.servercall import (
    CallResult,
    PollResult,
    Verdict,
)
from tests.scheduling import test_runorders, test_serverlease

TICK_S = 0.02


class TestStaleOffset(test_serverlease.LeaseCase):
    # Guards against TWICE: after a suspension, which the server's clock does
    # not count, the lease was renewed for longer than it may last.
    def test_a_suspension_does_not_lengthen_the_lease(self):
        board = self.board
        self.poll()
        server_ms = board.clock_ms + board.clock_offset_ms
        board.now_s += 0.6
        self.renew_coordinator()
        call = serverpoll.next_poll(board)
        lease_s = (call.until_ms - server_ms) / 1000
        self.assertLessEqual(lease_s, leaserule.max_server_lease_s())


class TestBlockedServer(test_runorders.AgentCase):
    # Guards against REFUSED orders without end: a server whose starts can no
    # longer arrive in time was left unused until a stop was answered.
    def test_a_server_is_used_again_though_a_stop_is_lost(self):
        board = self.board
        self.order()
        for _ in range(runorders.START_TRIES):
            start = self.starts()[-1]
            board.now_s += start.timeout_s
            result = CallResult(Verdict.NO_ANSWER)
            agentengine.on_call_result(board, start, result)
        last_until_ms = max(start.until_ms for start in self.starts())
        for _ in range(200):
            board.now_s += TICK_S
            heartbeat = EntryBeat(board.clock_ms, 0, False, True)
            agentengine.on_message(board, test_runorders.ENTRY, heartbeat)
            agentengine.on_tick(board)
            call = serverpoll.next_poll(board)
            clock_ms = board.clock_ms + board.clock_offset_ms
            result = PollResult(Verdict.OK, clock_ms)
            agentengine.on_poll_result(board, call, result)
        self.assertEqual([RunEnd.STOPPED], self.ends())
        self.assertGreater(clock_ms, last_until_ms + 1000)
        self.assertTrue(serverlease.may_start(board))
