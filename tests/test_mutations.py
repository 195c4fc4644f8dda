"""Tests that the mutations still fit the sources and are detected."""

import pathlib
import shutil
import tempfile

import testtools

from tests import mutations


class MutationsTest(testtools.TestCase):
    def test_every_break_fits_the_sources(self):
        for mutation in mutations.MUTATIONS:
            with tempfile.TemporaryDirectory() as scratch:
                root = pathlib.Path(scratch)
                shutil.copytree(
                    mutations.ROOT / "egretthread", root / "egretthread"
                )
                mutations.apply(mutation, root)

    def test_skipped_seal_is_caught(self):
        mutation = next(
            candidate
            for candidate in mutations.MUTATIONS
            if candidate.name == "skip the seal"
        )
        result = mutations.run(mutation, seed=0, histories=40, workers=2)
        self.assertIn("started twice", result.found)
