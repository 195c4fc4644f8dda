"""A crowd whose peak of memory is too near to its bound."""

from tests.platform import test_crowds


class TestLargeChunks(test_crowds.CrowdCase):
    # Guards against the end of an entry: it kept all unfinished bodies.
    def test_bodies_in_large_chunks_that_stop_short(self):
        self.check(400, self.chunked(16_384, 15))
