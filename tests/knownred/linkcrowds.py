"""Connections to the port for links that take all descriptors."""

import resource

from tests.platform import test_linkcrowds as crowds


class SilentCrowdTest(crowds.LinkCrowdCase):
    # Guards against a lack of descriptors: the number of connections without a
    # complete handshake had no bound, and callers could not connect.
    def test_silent_connections_leave_descriptors_for_callers(self):
        async def scenario(site, crowd):
            resource.prlimit(
                site.pid,
                resource.RLIMIT_NOFILE,
                (crowds.LOW_DESCRIPTORS, crowds.LOW_DESCRIPTORS),
            )
            await crowd.join(crowds.CROWD)
            most = await crowds.most_descriptors(site.pid, crowds.SETTLE_S)
            self.assertLess(most, crowds.LOW_DESCRIPTORS)
            self.assertEqual(200, await crowds.run_job(site, 3))
            log = site.log_path(site.entry).read_text()
            self.assertNotIn("Too many open files", log)

        self.play(scenario, max_handshakes=crowds.LOW_HANDSHAKES)
