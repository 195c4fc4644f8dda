"""Tests of what operators publish, decoded and followed."""

import asyncio
import collections
import json

import testtools

from egretthread.platform import bodies, operators
from egretthread.platform.store import Store
from tests.platform import fakes

CONFIG = json.dumps(fakes.CONFIG).encode()


class TestDecode(testtools.TestCase):
    def test_routes_say_what_they_hold(self):
        state = operators.decode({"config": CONFIG}, 5)
        self.assertEqual(7, state.version)
        (route,) = state.routes
        self.assertEqual(0.06, route.objective_s)
        self.assertEqual(1.5, route.timeout_s)
        self.assertEqual(10_000, state.limits.max_body_bytes)

    def test_withdrawn_zones_are_told_without_a_configuration(self):
        state = operators.decode({"evacuate/a": b"{}"}, 1)
        self.assertFalse(state.is_configured)
        self.assertEqual({"a"}, state.withdrawn)

    def test_a_configuration_of_another_form_is_an_error(self):
        for body in (b"[]", b"{", b'{"version": "7", "routes": []}'):
            with self.assertRaises(bodies.BodyError):
                operators.decode({"config": body}, 1)

    def test_another_entry_decodes_the_same(self):
        values = {"config": CONFIG, "evacuate/b": b"{}"}
        text = operators.encode_relay(values, 9)
        self.assertEqual(
            operators.decode(values, 9), operators.decode_relay(text)
        )


async def until(condition, limit_s=5.0):
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


class Followed:
    """A feed of a fake store, and the states that it passed on."""

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


class TestFeed(testtools.TestCase):
    def play(self, scene):
        async def run():
            async with Followed() as followed:
                await until(lambda: followed.states)
                await scene(followed)

        asyncio.run(run())

    def test_a_change_comes_at_once_and_an_end_of_a_withdrawal_too(self):
        async def scene(followed):
            followed.fake.put(operators.TOPIC, "evacuate/a", {})
            await until(lambda: followed.states[-1].withdrawn, 1.0)
            followed.fake.put(operators.TOPIC, "evacuate/a", None)
            await until(lambda: not followed.states[-1].withdrawn, 1.0)

        self.play(scene)

    def test_deleted_history_brings_the_newest_records(self):
        async def scene(followed):
            # Not noticed until the next read: two records, then deletion.
            await followed.feed.close()
            followed.fake.put(operators.TOPIC, "evacuate/a", {})
            followed.fake.put(operators.TOPIC, "evacuate/b", {})
            followed.fake.forget(operators.TOPIC)
            followed.feed.start()
            await until(lambda: followed.states[-1].withdrawn == {"a", "b"})

        self.play(scene)

    def test_an_outage_is_outlived(self):
        async def scene(followed):
            followed.fake.mode = "busy"
            followed.fake.put(operators.TOPIC, "evacuate/a", {})
            await asyncio.sleep(0.3)
            followed.fake.mode = ""
            await until(lambda: followed.states[-1].withdrawn)

        self.play(scene)

    def test_an_unreadable_configuration_changes_nothing(self):
        async def scene(followed):
            before = followed.states[-1]
            followed.fake.put(operators.TOPIC, "config", ["nonsense"])
            followed.fake.put(operators.TOPIC, "config", fakes.CONFIG)
            await until(lambda: followed.states[-1].offset == 3)
            versions = {state.version for state in followed.states}
            self.assertEqual({before.version}, versions)

        self.play(scene)
