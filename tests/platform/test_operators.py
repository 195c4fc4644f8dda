"""Tests of following and decoding the records of operators."""

import asyncio
import collections
import json

import testtools

from egretthread.platform import bodies, operators
from egretthread.platform.store import Store
from tests.platform import fakes

CONFIG = json.dumps(fakes.CONFIG).encode()
# Time after a disruption of the store within which a configuration that was
# published before its end has to be in force.
CONTACT_S = 3.0


class TestDecode(testtools.TestCase):
    def test_routes_and_limits_are_decoded(self):
        state = operators.decode({"config": CONFIG}, 5)
        self.assertEqual(7, state.version)
        (route,) = state.routes
        self.assertEqual(0.06, route.objective_s)
        self.assertEqual(1.5, route.timeout_s)
        self.assertEqual(10_000, state.limits.max_body_bytes)

    def test_services_of_the_configuration_and_of_its_routes_are_named(self):
        table = {**fakes.CONFIG, "services": [{"name": "spare"}]}
        state = operators.decode({"config": json.dumps(table).encode()}, 5)
        self.assertEqual(("match", "spare"), state.services)

    def test_services_that_can_not_be_read_are_not_known(self):
        for services in ({}, "match", [3], [{}], [{"name": ""}], [None]):
            table = {**fakes.CONFIG, "services": services}
            state = operators.decode({"config": json.dumps(table).encode()}, 5)
            self.assertEqual((), state.services)
            self.assertEqual(1, len(state.routes))

    def test_withdrawn_zones_need_no_configuration(self):
        state = operators.decode({"evacuate/a": b"{}"}, 1)
        self.assertFalse(state.is_configured)
        self.assertEqual({"a"}, state.withdrawn)

    def test_a_malformed_configuration_is_an_error(self):
        for body in (
            b"[]",
            b"{",
            b'{"version": "7", "routes": []}',
            b'{"version": 7, "routes": [3]}',
            b'{"version": 7, "routes": [null]}',
            b'{"version": 7, "routes": ["r"]}',
            b'{"version": 7, "routes": [], "limits": []}',
        ):
            with self.assertRaises(bodies.BodyError):
                operators.decode({"config": body}, 1)

    def test_relayed_records_decode_to_the_same_state(self):
        values = {"config": CONFIG, "evacuate/b": b"{}"}
        text = operators.encode_relay(values, 9)
        self.assertEqual(
            operators.decode(values, 9), operators.decode_relay(text)
        )

    def test_a_malformed_relay_is_an_error(self):
        for text in (
            "",
            "[]",
            '{"offset": 3}',
            '{"offset": 3, "values": []}',
            '{"offset": 3, "values": {"config": 5}}',
            '{"offset": 3, "values": {"config": "x"}}',
            '{"offset": "3", "values": {}}',
            operators.encode_relay({"config": b"{"}, 3),
        ):
            with self.assertRaises(bodies.BodyError):
                operators.decode_relay(text)


async def until(condition, limit_s=5.0):
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


class FeedFixture:
    """A feed of a fake store that records the states it reports."""

    async def __aenter__(self):
        self.fake = fakes.FakeStore()
        self.fake.put(operators.TOPIC, "config", fakes.CONFIG)
        self.store = Store(self.fake.address, collections.deque())
        self.states = []
        self.feed = operators.OperatorFeed(
            self.store, lambda state, text: self.states.append(state)
        )
        self.feed.start()
        return self

    async def __aexit__(self, *exception):
        await self.feed.close()
        self.store.close()
        await self.fake.close()


class TestStart(testtools.TestCase):
    def delay_after_outage(self, mode):
        """Returns how long a new feed takes once the store is back."""

        async def scenario():
            fake = fakes.FakeStore()
            fake.put(operators.TOPIC, "config", fakes.CONFIG)
            fake.mode = mode
            store = Store(fake.address, collections.deque())
            states = []
            feed = operators.OperatorFeed(
                store, lambda state, text: states.append(state)
            )
            feed.start()
            # Long enough for the backoff of later failures to be reached.
            await asyncio.sleep(2.9)
            fake.mode = ""
            loop = asyncio.get_running_loop()
            back_s = loop.time()
            await until(lambda: states)
            delay_s = loop.time() - back_s
            await feed.close()
            store.close()
            await fake.close()
            return delay_s

        return asyncio.run(scenario())

    def test_the_configuration_is_read_soon_after_a_refusing_store_is_back(
        self,
    ):
        self.assertLess(self.delay_after_outage("busy"), 0.3)

    def test_the_configuration_is_read_soon_after_a_silent_store_is_back(self):
        self.assertLess(self.delay_after_outage("silent"), 1.0)


class TestFeed(testtools.TestCase):
    def run_scenario(self, scenario):
        async def run():
            async with FeedFixture() as fixture:
                await until(lambda: fixture.states)
                await scenario(fixture)

        asyncio.run(run())

    def test_changes_and_deletions_are_reported_at_once(self):
        async def scenario(fixture):
            fixture.fake.put(operators.TOPIC, "evacuate/a", {})
            await until(lambda: fixture.states[-1].withdrawn, 1.0)
            fixture.fake.put(operators.TOPIC, "evacuate/a", None)
            await until(lambda: not fixture.states[-1].withdrawn, 1.0)

        self.run_scenario(scenario)

    def test_after_deletion_the_newest_records_are_read(self):
        async def scenario(fixture):
            # Both records are deleted before the feed reads again.
            await fixture.feed.close()
            fixture.fake.put(operators.TOPIC, "evacuate/a", {})
            fixture.fake.put(operators.TOPIC, "evacuate/b", {})
            fixture.fake.delete_history(operators.TOPIC)
            fixture.feed.start()
            await until(lambda: fixture.states[-1].withdrawn == {"a", "b"})

        self.run_scenario(scenario)

    def test_following_continues_after_an_outage(self):
        async def scenario(fixture):
            fixture.fake.mode = "busy"
            fixture.fake.put(operators.TOPIC, "evacuate/a", {})
            await asyncio.sleep(0.3)
            fixture.fake.mode = ""
            await until(lambda: fixture.states[-1].withdrawn)

        self.run_scenario(scenario)

    def test_following_continues_after_malformed_responses(self):
        async def scenario(fixture):
            fixture.fake.mode = "garbage"
            fixture.fake.put(operators.TOPIC, "evacuate/a", {})
            await until(lambda: fixture.fake.garbage_count >= 4)
            fixture.fake.mode = ""
            await until(lambda: fixture.states[-1].withdrawn)

        self.run_scenario(scenario)

    def test_a_malformed_configuration_changes_nothing(self):
        async def scenario(fixture):
            before = fixture.states[-1]
            fixture.fake.put(operators.TOPIC, "config", ["nonsense"])
            fixture.fake.put(
                operators.TOPIC, "config", {"version": 8, "routes": [1]}
            )
            fixture.fake.put(operators.TOPIC, "config", fakes.CONFIG)
            await until(lambda: fixture.states[-1].offset == 4)
            versions = {state.version for state in fixture.states}
            self.assertEqual({before.version}, versions)

        self.run_scenario(scenario)


class TestSilence(testtools.TestCase):
    """A confirmed configuration that is not in force in time."""

    def delay_after(self, disrupt):
        """Returns how long a configuration takes after a disruption.

        Args:
            disrupt: Coroutine function that disrupts the store of a fixture
                and returns at the end of the disruption.
        """

        async def scenario():
            async with FeedFixture() as fixture:
                await until(lambda: fixture.states)
                await fixture.fake.fill(fixture.store)
                loop = asyncio.get_running_loop()
                await disrupt(fixture.fake)
                end_s = loop.time()
                fixture.fake.put(
                    operators.TOPIC, "config", {**fakes.CONFIG, "version": 8}
                )
                await until(lambda: fixture.states[-1].version == 8, 20.0)
                return loop.time() - end_s

        return asyncio.run(scenario())

    async def next_read(self, fake):
        """Waits until the next read arrives at the store."""
        count = fake.calls["/log-read"]
        await until(lambda: fake.calls["/log-read"] > count)

    # Guards against a read that is waited on for longer than the time in which
    # a configuration has to be in force.
    def test_a_configuration_is_in_force_after_all_connections_went_silent(
        self,
    ):
        async def disrupt(fake):
            await self.next_read(fake)
            fake.mute()

        self.assertLess(self.delay_after(disrupt), CONTACT_S)

    # Guards against a long poll of a store that is out, and a long wait after
    # it, which delay a configuration once the store is back.
    def test_a_configuration_is_in_force_after_a_silent_store_is_back(self):
        async def disrupt(fake):
            fake.mode = "silent"
            for _ in range(4):
                await self.next_read(fake)
            fake.mode = ""

        self.assertLess(self.delay_after(disrupt), CONTACT_S)

    # Guards against a second silence that is noticed later than the first.
    def test_a_configuration_is_in_force_after_repeated_silence(self):
        async def disrupt(fake):
            for _ in range(2):
                await self.next_read(fake)
                fake.mute()

        self.assertLess(self.delay_after(disrupt), CONTACT_S)
