"""The server of an entry: connects its engine to links, timers and callers."""

import asyncio
import dataclasses

from egretthread import background, clock, link, logs, nodeid, routes, util
from egretthread.listeners import Listeners
from egretthread.scheduling import (
    cancelbook,
    dispatch,
    entryengine,
    forwardedjobs,
    isolation,
    jobrecord,
    keptjobs,
    pendingcounts,
    serverneeds,
    waitingload,
)
from egretthread.scheduling.caller import Caller
from egretthread.scheduling.entryboard import Answer, EntryBoard, Outcome
from egretthread.scheduling.jobrecord import (
    Cancellation,
    JobState,
    Progress,
    Submission,
)
from egretthread.scheduling.jobspec import JobSpec, OperatorState, Route
from egretthread.scheduling.keptboard import (
    Handover,
    Partition,
    ProgressBatch,
)
from egretthread.scheduling.nodesettings import NodeSettings
from egretthread.scheduling.runmessage import (
    CrashSummary,
    EntryHello,
    JobQuestion,
    JobReply,
    LiveRuns,
    OperatorRecord,
    ServerCrash,
)

TICK_S = 0.02
# Time between two checks whether the hello to other entries has changed.
HELLO_INTERVAL_S = 1.0
# Time after which a hello is repeated although it has not changed: each time
# with few other entries, less often with many.
HELLO_REPEAT_S = 2.0
FEW_ENTRIES = 8
# Keepalive and liveness of links between entries. Their number grows with the
# square of the entries, and they carry no orders.
ENTRY_KEEPALIVE_S = 2.5
ENTRY_LIVENESS_S = 6.0
# Maximum number of processes of entries that are remembered.
MAX_KNOWN_NODES = 1000
# Time after which an unreachable entry is removed from the list of entries.
ENTRY_RETENTION_S = 30.0
# Part of the shutdown time that is reserved for transmitting the last answers.
SHUTDOWN_MARGIN_S = 0.6
# Time to write the last answers before connections are closed.
FLUSH_S = 0.1
# Timeout of a question to another entry about the state of a job. It allows for
# a few round trips; after that the store is queried.
QUESTION_TIMEOUT_S = 0.3
# Reason of the answer to a job that was cancelled by a DELETE.
CANCELLED_REASON = "cancelled by its caller"
# Age beyond which the last hello of another entry is ignored.
MAX_HELLO_AGE_S = 3.0
# Delay before a retry that is recommended to callers of an entry that is
# shutting down. It is short since other entries are ready.
SHUTDOWN_RETRY_S = 0.5
# Time for the load balancer to notice that this entry is not ready.
UNREADY_S = 2.5


@dataclasses.dataclass(frozen=True, eq=False)
class Waiter:
    """A caller that waits for the answer to a job.

    Attributes:
        caller: The caller.
        answer: Future of the answer.
    """

    caller: Caller
    answer: asyncio.Future


class EntryServer:
    """One running entry.

    Attributes:
        settings: Its settings.
        listeners: Listening sockets of the process.
        board: Its blackboard.
        entry_link_settings: Settings of the links with other entries.
        link_server: Accepts links from agents and other entries.
        agent_links: Open links of agents by node id, the newest last.
        entry_links: Open links to other entries by node id.
        entry_clients: Links to other entries by address.
        unreachable_since_s: When a link to an entry was lost, by its address.
        waiters: The callers that wait for an answer, by job id.
        open_requests: Number of requests of callers that are not answered yet.
        encoded_state: Operator state in force, encoded for other entries.
        decode_state: Decodes an operator state that another entry has sent.
        is_drained: Whether jobs are no longer accepted.
        sent_hello: The hello that was last sent to all entries.
        hello_sent_s: When it was sent.
        cancelled: Jobs that are not kept and were cancelled recently.
        hellos: Last hello of each other entry and when it arrived, by address.
        known_entry_nodes: When the first hello of each process of an entry
            arrived, by node id.
        questions: Futures of the replies expected from other entries, by the
            number of the question.
        last_question: Number of the last question.
        has_progress: Set while progress of kept jobs has to be written.
        tasks: Background tasks, which are cancelled when the entry is closed.
    """

    def __init__(
        self, settings: NodeSettings, decode_state, listeners: Listeners
    ):
        self.settings = settings
        self.listeners = listeners
        incarnation = clock.new_incarnation()
        self.board: EntryBoard = entryengine.new_board(
            nodeid.node_id(settings.name, incarnation),
            settings.zone,
            clock.monotonic_s(),
        )
        self.entry_link_settings = dataclasses.replace(
            settings,
            keepalive_s=ENTRY_KEEPALIVE_S,
            liveness_s=ENTRY_LIVENESS_S,
        )
        self.link_server = link.LinkServer(
            settings,
            self.board.node,
            "entry",
            self._on_messages,
            self._on_open,
            self._on_close,
            {"entry": self.entry_link_settings},
        )
        self.agent_links = routes.Routes()
        self.entry_links = routes.Routes()
        self.entry_clients: dict[str, link.LinkClient] = {}
        self.unreachable_since_s: dict[str, float] = {}
        self.waiters: dict[str, list[Waiter]] = {}
        self.open_requests = 0
        self.encoded_state = ""
        self.decode_state = decode_state
        self.is_drained = False
        self.sent_hello: EntryHello | None = None
        self.hello_sent_s = 0.0
        self.cancelled = cancelbook.CancelBook()
        self.hellos: dict[str, tuple[EntryHello, float]] = {}
        self.known_entry_nodes: dict[str, float] = {}
        self.questions: dict[int, asyncio.Future] = {}
        self.last_question = 0
        self.has_progress = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()
        self.board.remote_factor = settings.remote_factor
        self.board.load = settings.load
        self.board.entries = (settings.peer_address,)

    async def start(self) -> None:
        """Starts serving agents and other entries."""
        self.link_server.start(self.listeners.take(self.settings.peer_address))
        self.add_entries(self.settings.seed_peers)
        for loop in (self._tick_loop, self._hello_loop):
            self._spawn(background.keep_running(loop))

    async def drain(self) -> None:
        """Answers all requests within shutdown_s and then refuses new jobs.

        Jobs that arrive meanwhile are accepted if they can end in time.
        """
        self._update_time()
        grace_s = self.settings.shutdown_s - SHUTDOWN_MARGIN_S
        entryengine.begin_shutdown(self.board, grace_s)
        end_s = clock.monotonic_s() + grace_s
        await asyncio.sleep(min(UNREADY_S, grace_s))
        while (
            self.open_requests or self.board.forwarding.received
        ) and clock.monotonic_s() < end_s:
            await asyncio.sleep(TICK_S)
        self.is_drained = True
        self._update_time()
        entryengine.give_up_all(self.board)
        self._process_output()
        # The answers are written in the next iterations of the event loop.
        await asyncio.sleep(FLUSH_S)

    async def close(self) -> None:
        """Cancels the background tasks and closes the links."""
        for task in tuple(self.tasks):
            task.cancel()
        closing = [client.close() for client in self.entry_clients.values()]
        await asyncio.gather(*closing, self.link_server.close())

    async def wait_until_configured(self, caller: Caller) -> bool:
        """Waits during the start-up period until there is a configuration.

        Args:
            caller: The caller, for which it waits while it is there.

        Returns:
            Whether there is a configuration.
        """
        end_s = self.board.started_s + waitingload.STARTUP_S
        while not self.board.operator_state.is_configured:
            now_s = clock.monotonic_s()
            if now_s >= end_s or caller.left_s(now_s) <= 0:
                return False
            if caller.has_left():
                return False
            await asyncio.sleep(TICK_S)
        return True

    def submit(
        self, spec: JobSpec, route: Route, caller: Caller
    ) -> asyncio.Future:
        """Submits a job; returns the future of its answer."""
        waiter = asyncio.get_running_loop().create_future()
        self._update_time()
        if self.is_drained:
            waiter.set_result(
                Answer(
                    spec.job, Outcome.REFUSED, "shutting down", SHUTDOWN_RETRY_S
                )
            )
            return waiter
        if caller.has_left():
            # It may have submitted the job to another entry since.
            self.board.counters["callers_left_before_submission"] += 1
            logs.info("caller_left", job=spec.job, route=route.name)
            waiter.set_result(Answer(spec.job, Outcome.REFUSED, "caller left"))
            return waiter
        if self.cancelled.holds(spec.job, self.board.now_s):
            waiter.set_result(
                Answer(spec.job, Outcome.CANCELLED, CANCELLED_REASON)
            )
            return waiter
        self.waiters.setdefault(spec.job, []).append(Waiter(caller, waiter))
        left_s = caller.left_s(self.board.now_s)
        refusal = entryengine.submit(self.board, spec, route, left_s)
        if refusal is not None:
            self.board.answers.append(refusal)
        self._process_output()
        return waiter

    def remove_waiter(self, job: str, answer: asyncio.Future) -> None:
        """Removes a caller that left; cancels the job after the last one."""
        waiters = self.waiters.get(job, [])
        waiters[:] = [each for each in waiters if each.answer is not answer]
        if not waiters:
            self.waiters.pop(job, None)
            self.cancel(job, "caller left")

    def _remove_left(self) -> None:
        """Removes the callers that left while the process was paused.

        The ends of their connections have not been read yet, and their jobs
        may have been submitted to other entries since.
        """
        left = [
            (job, waiter)
            for job, waiters in self.waiters.items()
            for waiter in waiters
            if waiter.caller.has_left()
        ]
        for job, waiter in left:
            if not waiter.answer.done():
                waiter.answer.set_result(
                    Answer(job, Outcome.CANCELLED, "caller left")
                )
            self.remove_waiter(job, waiter.answer)

    def cancel(self, job: str, reason: str) -> None:
        """Cancels a job."""
        self._update_time()
        entryengine.cancel(self.board, job, reason)
        self._process_output()

    def cancel_open(self, job: str) -> bool:
        """Cancels a job that is not kept; returns whether it is open here.

        It is not started again if a repeated submission arrives later.
        """
        self._update_time()
        self.cancelled.add(job, self.board.now_s)
        is_open = entryengine.cancel_for_all(self.board, job, CANCELLED_REASON)
        self._process_output()
        return is_open

    def announce_cancellation(self, job: str) -> None:
        """Has a job that was open here cancelled at the other entries too.

        Another entry may have forwarded it, or got a repeated submission.
        """
        self.last_question += 1
        self._send_to_entries(JobQuestion(self.last_question, job, True))

    async def cancel_elsewhere(self, job: str) -> bool:
        """Cancels a job that is not kept at the other entries.

        Unreachable entries are notified when their link opens.

        Returns:
            Whether one of them had it open.
        """
        peers = [c.peer for c in self.entry_clients.values() if c.peer]
        replies = await asyncio.gather(
            *(self._ask(peer, job, cancels=True) for peer in peers)
        )
        # Earlier releases take it for a question for the state of a kept job.
        return JobState.CANCELLED in replies

    def assign_partitions(
        self, generation: int, numbers: tuple[int, ...], until_s: float
    ) -> list[Partition]:
        """Updates the partitions coordinated here; returns the new ones.

        Args:
            generation: The group's generation.
            numbers: Numbers of the partitions.
            until_s: When the store may assign them to other entries.
        """
        self._update_time()
        known = set(self.board.kept.partitions.values())
        keptjobs.on_assigned(self.board, generation, numbers, until_s)
        self._process_output()
        partitions = self.board.kept.partitions.values()
        return [partition for partition in partitions if partition not in known]

    def is_coordinator(self, partition: Partition) -> bool:
        """Whether a partition is still coordinated here."""
        return self.board.kept.partitions.get(partition.number) is partition

    def release_partition(self, partition: Partition, reason: str) -> None:
        """Releases a partition for its next coordinator."""
        self._update_time()
        if self.is_coordinator(partition):
            keptjobs.release(self.board, partition.number, reason)
        self._process_output()

    def begin_epoch(self, partition: Partition) -> None:
        """Begins a new epoch of the appends to a partition."""
        keptjobs.begin_epoch(self.board, partition)

    def load_partition(
        self,
        partition: Partition,
        submissions: list[Submission],
        progress: dict[str, Progress],
    ) -> None:
        """Adds the jobs loaded from a partition."""
        self._update_time()
        keptjobs.on_loaded(
            self.board,
            partition.number,
            partition.epoch,
            submissions,
            progress,
        )
        self._process_output()

    def add_submission(
        self, partition: Partition, submission: Submission
    ) -> None:
        """Adds a job whose submission was read from the log."""
        self._update_time()
        keptjobs.on_submitted(
            self.board, partition.number, partition.epoch, submission
        )
        dispatch.dispatch_waiting(self.board)
        self._process_output()

    def record_read(self, partition: Partition, read_s: float) -> None:
        """Records that all submissions stored before a time were read."""
        keptjobs.on_read(self.board, partition.number, partition.epoch, read_s)

    def apply_cancellation(
        self, partition: Partition, job: str, cancellation: Cancellation
    ) -> None:
        """Cancels a job whose cancellation was read from the log.

        Args:
            partition: The partition.
            job: Id of the job.
            cancellation: The cancellation.
        """
        self._update_time()
        keptjobs.on_cancelled(
            self.board, partition.number, partition.epoch, job, cancellation
        )
        self._process_output()

    def outdated_cancellations(self, partition: Partition) -> tuple[str, ...]:
        """Returns ids of unknown jobs whose cancellations may be deleted."""
        self._update_time()
        return keptjobs.outdated_cancellations(self.board, partition)

    def apply_handover(self, partition: Partition, former_epoch: int) -> None:
        """Ends the wait for the former coordinator of a partition."""
        self._update_time()
        keptjobs.on_handover(
            self.board, partition.number, partition.epoch, former_epoch
        )

    def take_handovers(self) -> list[Handover]:
        """Returns the handovers of released partitions without runs."""
        self._update_time()
        return keptjobs.take_handovers(self.board)

    def take_batch(self, number: int) -> ProgressBatch | None:
        """Returns the next batch to write for a partition; None if empty."""
        return keptjobs.take_batch(self.board, number)

    def on_written(self, batch: ProgressBatch) -> None:
        """Records that a batch is stored."""
        self._update_time()
        keptjobs.on_written(self.board, batch)
        self._process_output()

    async def job_state(self, job: str) -> str:
        """Returns a job's state by its coordinator; empty when it has none."""
        self._update_time()
        is_known, state = keptjobs.state(self.board, job)
        if is_known:
            return state
        partition = jobrecord.partition_of(job, self.board.kept.partition_count)
        for address, (hello, received_s) in self.hellos.items():
            client = self.entry_clients.get(address)
            is_recent = self.board.now_s - received_s < MAX_HELLO_AGE_S
            if (
                partition in hello.parts
                and is_recent
                and client
                and client.peer
            ):
                return await self._ask(client.peer, job)
        return ""

    async def _ask(
        self, peer: link.Peer, job: str, cancels: bool = False
    ) -> str:
        """Asks another entry for the state of a kept job, or cancels a job."""
        self.last_question += 1
        number = self.last_question
        future = asyncio.get_running_loop().create_future()
        self.questions[number] = future
        peer.send(JobQuestion(number, job, cancels))
        try:
            async with asyncio.timeout(QUESTION_TIMEOUT_S):
                reply = await future
        except TimeoutError:
            logs.info("job_question_unanswered", job=job, peer=peer.node)
            return ""
        finally:
            del self.questions[number]
        return reply.state if reply.is_known else ""

    def pending_kept_jobs(self, route: str) -> int:
        """Returns the number of kept jobs of a route that wait at any entry."""
        self._update_time()
        hellos = [hello for hello, _ in self.hellos.values()]
        return pendingcounts.total(self.board, route, hellos)

    def is_ready(self) -> bool:
        """Whether this entry is ready to serve callers."""
        self._update_time()
        return entryengine.is_ready(self.board)

    def apply_operators(self, state: OperatorState, text: str) -> None:
        """Adopts a published operator state unless it is outdated.

        Args:
            state: The operator state.
            text: The operator state, encoded for other entries.
        """
        self._update_time()
        if state.offset >= self.board.operator_state.offset:
            self.encoded_state = text
        entryengine.on_operators(self.board, state)
        self._process_output()

    def add_entries(self, addresses) -> None:
        """Opens links to other entries that are not known yet."""
        for address in addresses:
            if address in self.board.entries:
                continue
            logs.info("entry_found", address=address)
            self.board.entries += (address,)
            client = link.LinkClient(
                address,
                self.entry_link_settings,
                self.board.node,
                "entry",
                self._on_messages,
                self._on_entry_open,
                self._on_entry_close,
            )
            self.entry_clients[address] = client
            self.unreachable_since_s[address] = clock.monotonic_s()
            client.start()

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _update_time(self) -> None:
        """Sets the time of the event that is handled next."""
        was_paused = entryengine.set_time(
            self.board, clock.monotonic_s(), clock.unix_s()
        )
        if was_paused:
            self._remove_left()

    def _process_output(self) -> None:
        """Sends the queued messages and answers."""
        outbox, self.board.outbox = self.board.outbox, []
        for node, outgoing in outbox:
            self.agent_links.send(node, outgoing)
        answers, self.board.answers = self.board.answers, []
        for answer in answers:
            for waiter in self.waiters.pop(answer.job, ()):
                if not waiter.answer.done():
                    waiter.answer.set_result(answer)
        relays, self.board.relays = self.board.relays, []
        for crash in relays:
            self._send_to_entries(crash)
        passed, self.board.forwarding.outbox = self.board.forwarding.outbox, []
        for node, outgoing in passed:
            self.entry_links.send(node, outgoing)
        if self.board.kept.dirty:
            self.has_progress.set()

    def _on_messages(self, peer: link.Peer, messages: tuple) -> None:
        self._update_time()
        for incoming in messages:
            if isinstance(incoming, EntryHello):
                self._on_hello(peer, incoming)
            elif isinstance(incoming, OperatorRecord):
                self._on_operator_record(peer, incoming)
            elif isinstance(incoming, JobQuestion):
                peer.send(self._reply(incoming))
            elif isinstance(incoming, JobReply):
                self._on_job_reply(incoming)
            elif isinstance(incoming, ServerCrash) and peer.role == "entry":
                entryengine.on_crash(self.board, incoming)
            elif isinstance(incoming, CrashSummary) and peer.role == "entry":
                isolation.adopt(self.board, incoming)
            elif (
                type(incoming) in forwardedjobs.HANDLERS
                and peer.role == "entry"
            ):
                forwardedjobs.on_message(self.board, peer.node, incoming)
            elif isinstance(
                incoming, LiveRuns
            ) and not self.agent_links.is_newest(peer):
                # It tells nothing of runs ordered since, over either link.
                logs.info("live_runs_outdated", agent=peer.node)
            else:
                entryengine.on_message(self.board, peer.node, incoming)
        self._process_output()

    def _on_hello(self, peer: link.Peer, hello: EntryHello) -> None:
        """Records a hello; sends an entry what it does not know yet."""
        self.add_entries((hello.address,))
        if peer.node not in self.known_entry_nodes:
            self.known_entry_nodes[peer.node] = self.board.now_s
            peer.send(isolation.summary(self.board))
        before, _ = self.hellos.get(hello.address, (None, 0.0))
        if before is not None:
            pendingcounts.on_hello(self.board, before, hello)
        self.hellos[hello.address] = (hello, self.board.now_s)
        self._update_coordinators()
        forwardedjobs.on_hello(self.board, peer.node, hello.accepts_jobs)
        if hello.kept_jobs:
            self.board.kept.others_have_jobs = True
        client = self.entry_clients.get(hello.address)
        is_behind = hello.operator_offset < self.board.operator_state.offset
        if is_behind and self.encoded_state and client and client.peer:
            offset = self.board.operator_state.offset
            client.peer.send(OperatorRecord(offset, self.encoded_state))

    def _reply(self, question: JobQuestion) -> JobReply:
        if question.cancels:
            is_known = self.cancel_open(question.job)
            state = JobState.CANCELLED.value if is_known else ""
        else:
            is_known, state = keptjobs.state(self.board, question.job)
        return JobReply(question.number, state, is_known)

    def _on_job_reply(self, reply: JobReply) -> None:
        future = self.questions.get(reply.number)
        if future is not None and not future.done():
            future.set_result(reply)

    def _on_operator_record(self, peer, record: OperatorRecord) -> None:
        if record.offset <= self.board.operator_state.offset:
            return
        try:
            state = self.decode_state(record.text)
        except util.EgretthreadError as error:
            logs.error(
                "operators_relay_malformed",
                offset=record.offset,
                peer=peer.node,
                error=error,
            )
            return
        logs.info("operators_relayed", offset=record.offset, peer=peer.node)
        self.apply_operators(state, record.text)

    def _on_open(self, peer: link.Peer) -> None:
        if peer.role != "agent":
            return
        self._update_time()
        self.agent_links.add(peer)
        entryengine.on_link_open(self.board, peer.node)
        self._process_output()

    def _on_close(self, peer: link.Peer) -> None:
        if peer.role == "agent" and self.agent_links.remove(peer):
            self._update_time()
            entryengine.on_link_closed(self.board, peer.node)

    def _on_entry_open(self, peer: link.Peer) -> None:
        self.unreachable_since_s.pop(peer.address, None)
        peer.send(self._make_hello())
        self._update_time()
        for job in self.cancelled.jobs(self.board.now_s):
            self.last_question += 1
            peer.send(JobQuestion(self.last_question, job, cancels=True))
        self.entry_links.add(peer)
        forwardedjobs.on_link_open(self.board, peer.node)

    def _on_entry_close(self, peer: link.Peer) -> None:
        if self.entry_links.remove(peer):
            forwardedjobs.on_link_closed(self.board, peer.node)
        self.unreachable_since_s[peer.address] = clock.monotonic_s()

    def _make_hello(self) -> EntryHello:
        """Returns the hello of this entry."""
        return EntryHello(
            self.settings.peer_address,
            self.board.operator_state.offset,
            pendingcounts.loaded_parts(self.board),
            keptjobs.pending(self.board),
            self.board.kept.has_jobs,
            self.board.load.forward_jobs,
            serverneeds.unmet(self.board),
        )

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._update_time()
            entryengine.on_tick(self.board)
            self._process_output()
            if self._has_new_parts():
                self._repeat_hello()

    def _has_new_parts(self) -> bool:
        """Whether it has loaded or lost partitions since its last hello."""
        hello = self.sent_hello
        return hello is not None and hello.parts != pendingcounts.loaded_parts(
            self.board
        )

    async def _hello_loop(self) -> None:
        while True:
            await asyncio.sleep(HELLO_INTERVAL_S)
            self._repeat_hello()
            self._drop_old_hellos()
            self._update_others_have_jobs()
            self._replicate_records()
            self._remove_unreachable()

    def _repeat_hello(self) -> None:
        """Sends the hello to the other entries if it has changed or is old."""
        hello = self._make_hello()
        now_s = clock.monotonic_s()
        is_recent = now_s - self.hello_sent_s < HELLO_REPEAT_S
        has_many_entries = len(self.entry_clients) > FEW_ENTRIES
        if hello == self.sent_hello and is_recent and has_many_entries:
            return
        self.sent_hello, self.hello_sent_s = hello, now_s
        self._send_to_entries(hello)

    def _send_to_entries(
        self, message: EntryHello | ServerCrash | JobQuestion
    ) -> None:
        """Sends a message to all other entries."""
        for client in self.entry_clients.values():
            if client.peer:
                client.peer.send(message)

    def _drop_old_hellos(self) -> None:
        """Drops the hellos of entries that have been silent for too long."""
        now_s = clock.monotonic_s()
        for address, (hello, received_s) in tuple(self.hellos.items()):
            if now_s - received_s >= MAX_HELLO_AGE_S:
                del self.hellos[address]
                gone = EntryHello(address, hello.operator_offset)
                pendingcounts.on_hello(self.board, hello, gone)
        hellos = [hello for hello, _ in self.hellos.values()]
        pendingcounts.drop_outdated(self.board, hellos)
        self._update_coordinators()

    def _update_coordinators(self) -> None:
        """Updates which other entries coordinate partitions."""
        hellos = sorted(self.hellos.values(), key=lambda row: row[1])
        keptjobs.on_hellos(self.board, [hello for hello, _ in hellos])

    def _update_others_have_jobs(self) -> None:
        """Updates whether other entries coordinate kept jobs."""
        now_s = clock.monotonic_s()
        self.board.kept.others_have_jobs = any(
            hello.kept_jobs and now_s - received_s < MAX_HELLO_AGE_S
            for hello, received_s in self.hellos.values()
        )

    def _replicate_records(self) -> None:
        """Sends the operators' records to the agents that hold copies."""
        if not self.encoded_state:
            return
        offset = self.board.operator_state.offset
        for node in entryengine.stale_record_replicas(self.board):
            self.agent_links.send(
                node, OperatorRecord(offset, self.encoded_state)
            )

    def _remove_unreachable(self) -> None:
        """Removes entries that have been unreachable for too long."""
        now_s = clock.monotonic_s()
        while len(self.known_entry_nodes) > MAX_KNOWN_NODES:
            del self.known_entry_nodes[next(iter(self.known_entry_nodes))]
        for address, since_s in tuple(self.unreachable_since_s.items()):
            if now_s - since_s > ENTRY_RETENTION_S:
                logs.info("entry_removed", address=address)
                del self.unreachable_since_s[address]
                self.hellos.pop(address, None)
                self._spawn(self.entry_clients.pop(address).close())
                self.board.entries = tuple(
                    known for known in self.board.entries if known != address
                )
