"""Tests that docs/openapi.json agrees with the client library."""

import json
import pathlib
import re

import testtools

from egretthread import apierror, callerjob, jobform, jobkey
from egretthread.callerjob import Job, SingleRequest, Task

PATH = pathlib.Path(__file__).parent.parent / "docs" / "openapi.json"


class OpenApiTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.schemas = json.loads(PATH.read_text())["components"]["schemas"]

    def test_error_kinds(self):
        documented = set(self.schemas["Error"]["properties"]["kind"]["enum"])
        known = set(apierror.ERRORS) - {apierror.ConnectionLostError.kind}
        self.assertEqual(known, documented)

    def test_job_states_and_body(self):
        states = set(self.schemas["Status"]["properties"]["state"]["enum"])
        self.assertEqual({s.value for s in callerjob.JobState}, states)
        body = callerjob.job_body(Job("k", "s", (Task(1),)))
        self.assertEqual(set(self.schemas["Job"]["properties"]), set(body))
        self.assertEqual(
            set(self.schemas["Task"]["properties"]), set(body["tasks"][0])
        )

    def test_single_request_body(self):
        body = callerjob.request_body(SingleRequest("s", 1))
        documented = self.schemas["SingleRequest"]["properties"]
        self.assertEqual(set(documented), set(body))
        self.assertEqual(set(jobform.REQUEST_KEYS), set(body))

    def test_job_key_pattern(self):
        pattern = re.compile(self.schemas["JobKey"]["pattern"])
        good = jobkey.make_key(1.0, "a.b_c-9")
        for key in (good, "1-a", good + "x" * 64, good[:14], good + " "):
            self.assertEqual(
                bool(jobkey.KEY_PATTERN.fullmatch(key)),
                bool(pattern.search(key)),
            )
