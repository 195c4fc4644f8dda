"""A backend server with room, as the platform's pages describe it."""

import dataclasses

from egretthread.scheduling.agentboard import ServerRecord, StartCall, StopCall
from egretthread.scheduling.room import ZERO_ROOM, Room
from egretthread.scheduling.servercall import (
    CallResult,
    EndedRun,
    PollCall,
    PollResult,
    RunningRun,
    ServerEnd,
    Verdict,
)

STOP_S = 0.05


@dataclasses.dataclass
class FakeRun:
    """A run at the backend server."""

    name: object
    number: int
    room: Room
    work_s: float
    started_s: float
    done_s: float = 0.0
    stops_s: float = float("inf")


class FakeServer:
    """One backend server.

    Attributes:
        work_s: Returns how long a task works.
        rate: Speed of its work; 0 stands still.
        failing: Whether all that starts fails.
        down: Whether nothing listens.
        history: Every run: name, number, start, end and how it ended.
        noted: Ends that it was told to forget while the lease they fell in
            went on: name, time of the end, how the run ended.
        lapsed_s: When the lease last lapsed.
    """

    def __init__(self, name, zone, cpu, now_s, work_s, drift=0.0):
        self.name = name
        self.zone = zone
        self.capacity = Room(cpu, 100_000, 0)
        self.work_s = work_s
        self.drift = drift
        self.rate = 1.0
        self.failing = False
        self.down = False
        self.lives = 0
        self.history = []
        self.noted = []
        self.ends_s = {}
        self.is_draining = False
        self.rack = "r1"
        self.begin(now_s)

    def begin(self, now_s):
        """Starts an incarnation, which knows nothing of earlier ones."""
        self.lives += 1
        self.id = f"i-{self.name}-{self.lives}"
        self.born_s = now_s
        self.down = False
        self.runs = {}
        self.barred = {}
        self.ended = []
        self.count = 0
        self.token = 0
        self.until_ms = 0
        self.lapsed_s = now_s
        self.ends_s.clear()
        self.sequence = 0
        self.at_s = now_s

    def crash(self, now_s):
        """Ends the incarnation."""
        self.advance(now_s)
        for run in tuple(self.runs.values()):
            self._close(run, now_s, "crash")
        self.runs.clear()
        self.down = True

    def clock_ms(self, now_s):
        return int((now_s - self.born_s) * 1000 * (1 - self.drift)) + 1

    def heartbeat(self, now_s):
        self.sequence += 1
        return ServerRecord(
            self.id,
            int(self.born_s * 1000) + 1,
            "match",
            self.zone,
            ("a", self.rack),
            self.capacity,
            self.is_draining,
            2.0 if self.is_draining else 0.0,
            self.sequence,
        )

    def advance(self, now_s):
        """Lets work go on until a time, and leases lapse."""
        step_s = now_s - self.at_s
        lapse_s = self.born_s + self.until_ms / 1000 / (1 - self.drift)
        for run in tuple(self.runs.values()):
            run.done_s += step_s * self.rate
            if run.stops_s <= now_s:
                self._end(run, run.stops_s, ServerEnd.STOPPED)
            elif run.done_s >= run.work_s and now_s <= lapse_s:
                end = ServerEnd.FAILED if self.failing else ServerEnd.DONE
                self._end(run, now_s, end)
            elif now_s > lapse_s:
                self._end(run, lapse_s, ServerEnd.LAPSED)
        if now_s > lapse_s:
            self.lapsed_s = max(self.lapsed_s, lapse_s)
        self.at_s = now_s

    def next_end_s(self):
        """Returns when the next run ends if nothing changes."""
        ends_s = [float("inf")]
        for run in self.runs.values():
            ends_s.append(run.stops_s)
            if self.rate:
                left_s = (run.work_s - run.done_s) / self.rate
                ends_s.append(self.at_s + left_s + 1e-6)
        return min(ends_s)

    def _end(self, run, at_s, end):
        del self.runs[run.name]
        self.count += 1
        self.ends_s[self.count] = at_s
        self.ended.append(EndedRun(self.count, run.name, run.number, end))
        self.barred[run.name] = max(run.number, self.barred.get(run.name, 0))
        self._close(run, at_s, end.value)

    def _close(self, run, at_s, how):
        self.history.append((run.name, run.number, run.started_s, at_s, how))

    def _check(self, call, now_s):
        self.advance(now_s)
        if self.down:
            return CallResult(Verdict.NOT_LISTENING)
        if call.server and call.server != self.id:
            return CallResult(Verdict.WRONG_INSTANCE)
        if call.token < self.token:
            return CallResult(Verdict.FENCED, self.clock_ms(now_s))
        self.token = call.token
        return None

    def start(self, call: StartCall, now_s):
        wrong = self._check(call, now_s)
        if wrong:
            return wrong
        clock_ms = self.clock_ms(now_s)
        name = call.run.name
        there = self.runs.get(name)
        limit_ms = clock_ms + 1000
        if there is not None and there.number == call.number:
            return CallResult(Verdict.OK, clock_ms)
        if call.number <= self.barred.get(name, 0) or there is not None:
            return CallResult(Verdict.STALE_NUMBER, clock_ms)
        if call.until_ms <= clock_ms:
            return CallResult(Verdict.LEASE_EXPIRED, clock_ms)
        self.until_ms = max(self.until_ms, min(limit_ms, call.until_ms))
        used = ZERO_ROOM
        for run in self.runs.values():
            used += run.room
        if not (self.capacity - used).holds(call.run.room):
            return CallResult(Verdict.NO_ROOM, clock_ms)
        work_s = self.work_s(name)
        self.runs[name] = FakeRun(
            name, call.number, call.run.room, work_s, now_s
        )
        return CallResult(Verdict.OK, clock_ms)

    def stop(self, call: StopCall, now_s):
        wrong = self._check(call, now_s)
        if wrong:
            return wrong
        run = self.runs.get(call.name)
        if run is not None and run.number <= call.number:
            run.stops_s = min(run.stops_s, now_s + STOP_S)
        self.barred[call.name] = max(call.number, self.barred.get(call.name, 0))
        return CallResult(Verdict.OK, self.clock_ms(now_s))

    def poll(self, call: PollCall, now_s):
        wrong = self._check(call, now_s)
        if wrong:
            return PollResult(wrong.verdict, wrong.clock_ms)
        clock_ms = self.clock_ms(now_s)
        if call.until_ms:
            until_ms = min(clock_ms + 1000, call.until_ms)
            self.until_ms = max(self.until_ms, until_ms)
        for row in self.ended:
            if row.sequence <= call.last_seen:
                end_s = self.ends_s.pop(row.sequence)
                if end_s >= self.lapsed_s:
                    self.noted.append((row.name, end_s, row.end.value))
        self.ended = [r for r in self.ended if r.sequence > call.last_seen]
        rows = tuple(
            RunningRun(run.name, run.number, int(99 * run.done_s / run.work_s))
            for run in self.runs.values()
        )
        return PollResult(
            Verdict.OK,
            clock_ms,
            int(self.born_s * 1000) + 1,
            rows,
            tuple(self.ended),
        )
