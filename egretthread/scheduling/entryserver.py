"""The entry of the scheduling path: links and timers around its engine."""

import asyncio

from egretthread import clock, link, logs, message, routes
from egretthread.scheduling import dispatch, entryengine, jobrecord, keptjobs
from egretthread.scheduling.entryboard import Answer, EntryBoard, Outcome
from egretthread.scheduling.jobrecord import Progress, Submission
from egretthread.scheduling.jobspec import JobSpec, OperatorState, Route
from egretthread.scheduling.keptboard import Partition, ProgressBatch
from egretthread.scheduling.nodesettings import NodeSettings
from egretthread.scheduling.runmessage import (
    EntryHello,
    JobQuestion,
    JobReply,
    OperatorRecord,
)

TICK_S = 0.02
# Time between two words to other entries, in seconds.
HELLO_S = 1.0
# An entry that can't be reached for this long is taken off the list.
ENTRY_GONE_S = 30.0
# Part of the shutdown's time that is left for answers on their way.
SHUTDOWN_MARGIN_S = 0.6
# Time for answers to be written before connections are closed.
ANSWER_S = 0.1
# Time for another entry to say in what state a job is, in seconds: some round
# trips, after which the store is asked.
QUESTION_S = 0.3
# Age from which the word of another entry counts no more, in seconds.
HELLO_KEPT_S = 3.0
# What callers are told who meet an entry that ends: others are ready.
RETRY_S = 0.5
# Time for the balancer to notice that this entry is not ready.
UNREADY_S = 2.5


class EntryServer:
    """One running entry.

    Attributes:
        settings: Its settings.
        board: Its blackboard.
        links: Accepts links of agents and other entries.
        routes: Open links of agents by node id, the newest last.
        clients: Links to other entries by address.
        unreachable_s: Since when an entry could not be reached, by address.
        waiters: Callers who wait for a job's answer.
        relay_text: What operators have in force, encoded for other entries.
        decode_relay: Decodes such a text.
        is_drained: Whether no job is taken any more.
        hellos: Last word of each other entry and its time, by address.
        questions: Answers awaited from other entries, by number.
        progress: Set when there is progress of kept jobs to be written.
    """

    def __init__(self, settings: NodeSettings, decode_relay):
        self.settings = settings
        incarnation = clock.new_incarnation()
        self.board: EntryBoard = entryengine.new_board(
            message.node_id(settings.name, incarnation),
            settings.zone,
            clock.monotonic_s(),
        )
        self.links = link.LinkServer(
            settings,
            self.board.node,
            "entry",
            self._on_messages,
            self._on_open,
            self._on_close,
        )
        self.routes = routes.Routes()
        self.clients: dict[str, link.LinkClient] = {}
        self.unreachable_s: dict[str, float] = {}
        self.waiters: dict[str, list[asyncio.Future]] = {}
        self.relay_text = ""
        self.decode_relay = decode_relay
        self.is_drained = False
        self.hellos: dict[str, tuple[EntryHello, float]] = {}
        self.questions: dict[int, asyncio.Future] = {}
        self.asked = 0
        self.progress = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()
        self.board.remote_factor = settings.remote_factor
        self.board.entries = (settings.peer_address,)

    async def start(self) -> None:
        """Starts to serve agents and other entries."""
        self.links.start()
        self.add_entries(self.settings.seed_peers)
        for loop in (self._tick_loop, self._hello_loop):
            self._spawn(loop())

    async def drain(self) -> None:
        """Answers what was taken within shutdown_s, then takes nothing more.

        What comes in the meantime is served if it can end in time.
        """
        self._turn()
        grace_s = self.settings.shutdown_s - SHUTDOWN_MARGIN_S
        entryengine.begin_shutdown(self.board, grace_s)
        end_s = clock.monotonic_s() + grace_s
        await asyncio.sleep(min(UNREADY_S, grace_s))
        while self.waiters and clock.monotonic_s() < end_s:
            await asyncio.sleep(TICK_S)
        self.is_drained = True
        self._turn()
        entryengine.give_up_all(self.board)
        self._pump()
        # These answers are written in the next turns of the loop.
        await asyncio.sleep(ANSWER_S)

    async def close(self) -> None:
        """Closes the links."""
        for task in tuple(self.tasks):
            task.cancel()
        closing = [client.close() for client in self.clients.values()]
        await asyncio.gather(*closing, self.links.close())

    async def wait_until_configured(self) -> bool:
        """Waits a moment for a configuration after the start.

        Returns:
            Whether there is one.
        """
        end_s = self.board.started_s + dispatch.STARTUP_S
        while not self.board.operator_state.is_configured:
            if clock.monotonic_s() >= end_s:
                return False
            await asyncio.sleep(TICK_S)
        return True

    def submit(
        self, spec: JobSpec, route: Route, max_wait_s: float
    ) -> asyncio.Future:
        """Takes a job; the future gives its answer."""
        waiter = asyncio.get_running_loop().create_future()
        self._turn()
        if self.is_drained:
            waiter.set_result(
                Answer(spec.job, Outcome.REFUSED, "shutting down", RETRY_S)
            )
            return waiter
        self.waiters.setdefault(spec.job, []).append(waiter)
        refusal = entryengine.submit(self.board, spec, route, max_wait_s)
        if refusal is not None:
            self.board.answers.append(refusal)
        self._pump()
        return waiter

    def remove_waiter(self, job: str, waiter: asyncio.Future) -> None:
        """Notes that a caller has left; the last one cancels the job."""
        waiters = self.waiters.get(job, [])
        if waiter in waiters:
            waiters.remove(waiter)
        if not waiters:
            self.waiters.pop(job, None)
            self.cancel(job, "caller left")

    def cancel(self, job: str, reason: str) -> None:
        """Stops a job."""
        self._turn()
        entryengine.cancel(self.board, job, reason)
        self._pump()

    # Kept jobs.

    def take_parts(
        self, generation: int, numbers: tuple[int, ...], until_s: float
    ) -> list[Partition]:
        """Takes in which partitions are coordinated here; returns new ones.

        Args:
            generation: The group's generation.
            numbers: The partitions.
            until_s: When the store may assign them to others.
        """
        self._turn()
        known = set(self.board.kept.partitions.values())
        keptjobs.on_assigned(self.board, generation, numbers, until_s)
        self._pump()
        parts = self.board.kept.partitions.values()
        return [part for part in parts if part not in known]

    def is_coordinator(self, part: Partition) -> bool:
        """Whether a partition is still coordinated here."""
        return self.board.kept.partitions.get(part.number) is part

    def release_part(self, part: Partition, why: str) -> None:
        """Leaves a partition to its later coordinator."""
        self._turn()
        if self.is_coordinator(part):
            keptjobs.release(self.board, part.number, why)
        self._pump()

    def load_part(
        self,
        part: Partition,
        submissions: list[Submission],
        progress: dict[str, Progress],
    ) -> None:
        """Takes in the jobs of a partition."""
        self._turn()
        keptjobs.on_loaded(
            self.board, part.number, part.generation, submissions, progress
        )
        self._pump()

    def take_submission(self, part: Partition, submission: Submission) -> None:
        """Takes in a job that was submitted."""
        self._turn()
        keptjobs.on_submitted(
            self.board, part.number, part.generation, submission
        )
        dispatch.dispatch_waiting(self.board)
        self._pump()

    def take_cancel(self, part: Partition, job: str) -> None:
        """Takes in that a job was cancelled."""
        self._turn()
        keptjobs.on_cancelled(self.board, part.number, part.generation, job)
        self._pump()

    def take_batch(self, number: int) -> ProgressBatch | None:
        """Returns what has to be written for a partition; None if nothing."""
        return keptjobs.take_batch(self.board, number)

    def on_written(self, batch: ProgressBatch) -> None:
        """Notes that a batch is on the store."""
        self._turn()
        keptjobs.on_written(self.board, batch)
        self._pump()

    async def job_state(self, job: str) -> tuple[bool, str]:
        """Returns whether a coordinator knows of a job, and its state.

        The state is empty when there is no such job.
        """
        self._turn()
        known = keptjobs.state(self.board, job)
        if known[0]:
            return known
        part = jobrecord.partition_of(job, self.board.kept.partition_count)
        for address, (hello, at_s) in self.hellos.items():
            client = self.clients.get(address)
            is_fresh = self.board.now_s - at_s < HELLO_KEPT_S
            if part in hello.parts and is_fresh and client and client.peer:
                return await self._ask(client.peer, job)
        return False, ""

    async def _ask(self, peer: link.Peer, job: str) -> tuple[bool, str]:
        self.asked += 1
        number = self.asked
        answer = asyncio.get_running_loop().create_future()
        self.questions[number] = answer
        peer.send(JobQuestion(number, job))
        try:
            async with asyncio.timeout(QUESTION_S):
                reply = await answer
        except TimeoutError:
            logs.info("job_question_unanswered", job=job, peer=peer.node)
            return False, ""
        finally:
            del self.questions[number]
        return reply.is_known, reply.state

    def pending_kept_jobs(self, route: str) -> int:
        """Returns how many kept jobs of a route wait, here and elsewhere."""
        self._turn()
        rows = list(keptjobs.pending(self.board))
        for hello, at_s in self.hellos.values():
            if self.board.now_s - at_s < HELLO_KEPT_S:
                rows += hello.pending
        return sum(row.jobs for row in rows if row.route == route)

    def is_ready(self) -> bool:
        """Whether callers should be sent here."""
        self._turn()
        return entryengine.is_ready(self.board)

    def apply_operators(self, state: OperatorState, text: str) -> None:
        """Puts what operators have published into force.

        Args:
            state: It.
            text: The same, encoded for other entries.
        """
        self._turn()
        if state.offset >= self.board.operator_state.offset:
            self.relay_text = text
        entryengine.on_operators(self.board, state)
        self._pump()

    def add_entries(self, addresses) -> None:
        """Keeps a link to other entries."""
        for address in addresses:
            if address in self.board.entries:
                continue
            logs.info("entry_found", address=address)
            self.board.entries += (address,)
            client = link.LinkClient(
                address,
                self.settings,
                self.board.node,
                "entry",
                self._on_messages,
                self._on_entry_open,
                self._on_entry_close,
            )
            self.clients[address] = client
            self.unreachable_s[address] = clock.monotonic_s()
            client.start()

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _turn(self) -> None:
        entryengine.set_time(self.board, clock.monotonic_s(), clock.unix_s())

    def _pump(self) -> None:
        """Sends the outbox and answers the callers whose jobs are over."""
        outbox, self.board.outbox = self.board.outbox, []
        for node, item in outbox:
            self.routes.send(node, item)
        answers, self.board.answers = self.board.answers, []
        for answer in answers:
            for waiter in self.waiters.pop(answer.job, ()):
                if not waiter.done():
                    waiter.set_result(answer)
        if self.board.kept.dirty:
            self.progress.set()

    def _on_messages(self, peer: link.Peer, items: tuple) -> None:
        self._turn()
        for item in items:
            if isinstance(item, EntryHello):
                self._on_hello(item)
            elif isinstance(item, OperatorRecord):
                self._on_operator_record(peer, item)
            elif isinstance(item, JobQuestion):
                is_known, state = keptjobs.state(self.board, item.job)
                peer.send(JobReply(item.number, state, is_known))
            elif isinstance(item, JobReply):
                self._on_job_reply(item)
            else:
                entryengine.on_message(self.board, peer.node, item)
        self._pump()

    def _on_hello(self, hello: EntryHello) -> None:
        self.add_entries((hello.address,))
        self.hellos[hello.address] = (hello, self.board.now_s)
        if hello.kept_jobs:
            self.board.kept.elsewhere = True
        client = self.clients.get(hello.address)
        behind = hello.operator_offset < self.board.operator_state.offset
        if behind and self.relay_text and client and client.peer:
            offset = self.board.operator_state.offset
            client.peer.send(OperatorRecord(offset, self.relay_text))

    def _on_job_reply(self, reply: JobReply) -> None:
        answer = self.questions.get(reply.number)
        if answer is not None and not answer.done():
            answer.set_result(reply)

    def _on_operator_record(self, peer, item: OperatorRecord) -> None:
        if item.offset <= self.board.operator_state.offset:
            return
        logs.info("operators_relayed", offset=item.offset, peer=peer.node)
        self.apply_operators(self.decode_relay(item.text), item.text)

    def _on_open(self, peer: link.Peer) -> None:
        if peer.role != "agent":
            return
        self._turn()
        self.routes.add(peer)
        entryengine.on_link(self.board, peer.node)
        self._pump()

    def _on_close(self, peer: link.Peer) -> None:
        if peer.role == "agent" and self.routes.remove(peer):
            self._turn()
            entryengine.on_link_closed(self.board, peer.node)

    def _on_entry_open(self, peer: link.Peer) -> None:
        self.unreachable_s.pop(peer.address, None)
        peer.send(self._hello())

    def _on_entry_close(self, peer: link.Peer) -> None:
        self.unreachable_s[peer.address] = clock.monotonic_s()

    def _hello(self) -> EntryHello:
        return EntryHello(
            self.settings.peer_address,
            self.board.operator_state.offset,
            tuple(self.board.kept.partitions),
            keptjobs.pending(self.board),
            any(part.jobs for part in self.board.kept.partitions.values()),
        )

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._turn()
            entryengine.on_tick(self.board)
            self._pump()

    async def _hello_loop(self) -> None:
        while True:
            await asyncio.sleep(HELLO_S)
            for client in self.clients.values():
                if client.peer:
                    client.peer.send(self._hello())
            self._note_elsewhere()
            self._leave_records()
            self._drop_gone()

    def _note_elsewhere(self) -> None:
        """Notes whether other entries coordinate kept jobs."""
        now_s = clock.monotonic_s()
        self.board.kept.elsewhere = any(
            hello.kept_jobs and now_s - at_s < HELLO_KEPT_S
            for hello, at_s in self.hellos.values()
        )

    def _leave_records(self) -> None:
        """Leaves the operators' records with a few agents."""
        if not self.relay_text:
            return
        offset = self.board.operator_state.offset
        for node in entryengine.stale_record_replicas(self.board):
            self.routes.send(node, OperatorRecord(offset, self.relay_text))

    def _drop_gone(self) -> None:
        """Takes entries off the list that were out of reach for long."""
        now_s = clock.monotonic_s()
        for address, since_s in tuple(self.unreachable_s.items()):
            if now_s - since_s > ENTRY_GONE_S:
                logs.info("entry_gone", address=address)
                del self.unreachable_s[address]
                self.hellos.pop(address, None)
                self._spawn(self.clients.pop(address).close())
                self.board.entries = tuple(
                    known for known in self.board.entries if known != address
                )
