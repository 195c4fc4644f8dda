"""Tests of resource amounts on a backend server."""

import testtools

from egretthread.scheduling.room import Room


class TestRoom(testtools.TestCase):
    def test_every_resource_must_fit(self):
        room = Room(1000, 64, 1)
        self.assertTrue(room.holds(Room(1000, 64, 1)))
        self.assertFalse(room.holds(Room(1001, 1, 0)))
        self.assertFalse(room.holds(Room(1, 65, 0)))
        self.assertFalse(room.holds(Room(1, 1, 2)))

    def test_adding_reverts_subtracting(self):
        room, part = Room(1000, 64, 1), Room(300, 16, 1)
        self.assertEqual(room, room - part + part)
