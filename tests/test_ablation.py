"""Tests of switching mechanisms off in a copy of the source."""

import pathlib
import tempfile

import testtools

from egretthread_bench import ablation
from egretthread_bench.ablation import Edit, Mechanism

ROOT = pathlib.Path(__file__).parent.parent


class AblationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        (self.folder / "a.py").write_text("LIMIT = 3\nREST = 4\n")

    def switch_off(self, old):
        edits = (Edit("a.py", old, "LIMIT = 0"),)
        ablation.switch_off(self.folder, Mechanism("limit", edits))
        return (self.folder / "a.py").read_text()

    def test_an_edit_replaces_its_text(self):
        self.assertEqual("LIMIT = 0\nREST = 4\n", self.switch_off("LIMIT = 3"))

    def test_an_edit_that_no_longer_applies_is_refused(self):
        for old in ("LIMIT = 5", " = "):
            self.assertRaises(ablation.AblationError, self.switch_off, old)

    def test_a_file_without_mechanisms_is_refused(self):
        path = self.folder / "a.toml"
        path.write_text('[[limit]]\nfile = "a.py"\n')
        self.assertRaises(ablation.AblationError, ablation.load, path)

    def test_every_mechanism_of_the_repository_applies(self):
        for mechanism in ablation.load(ROOT / "experiments/ablation.toml"):
            for edit in mechanism.edits:
                text = (ROOT / edit.path).read_text()
                self.assertEqual(1, text.count(edit.old), mechanism.name)
