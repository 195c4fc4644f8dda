"""Tests of the configuration as text and of its validation."""

import string

import hypothesis
import testtools
from hypothesis import strategies

from egretthread import config, configtext, util

HEX = "0123456789abcdef"
names = strategies.from_regex(configtext.NAME_PATTERN, fullmatch=True)
organisations = strategies.builds(
    config.Organisation,
    name=names,
    access_keys=strategies.lists(
        strategies.builds(
            config.AccessKey,
            name=names,
            salt=strategies.text(HEX, min_size=32, max_size=32),
            digest=strategies.text(HEX, min_size=64, max_size=64),
        ),
        max_size=2,
        unique_by=lambda key: key.name,
    ).map(tuple),
    starts_per_s=strategies.floats(0, 1e6),
    weight=strategies.floats(0.01, 1000),
    during_log_outage=strategies.sampled_from(configtext.OUTAGE_CHOICES),
)
zones = strategies.builds(
    config.AvailabilityZone,
    name=names,
    region=names,
    withdrawn=strategies.booleans(),
)


def distinct(resources):
    """Returns a strategy for tuples of resources with distinct names."""
    return strategies.lists(
        resources,
        min_size=1,
        max_size=4,
        unique_by=lambda resource: resource.name,
    ).map(tuple)


@strategies.composite
def configurations(draw):
    """Generates valid configurations."""
    drawn_organisations = draw(distinct(organisations))
    drawn_zones = draw(distinct(zones))
    services = strategies.builds(
        config.Service,
        name=names,
        organisations=strategies.sets(
            strategies.sampled_from([o.name for o in drawn_organisations])
        ).map(tuple),
        region=strategies.sampled_from([zone.region for zone in drawn_zones]),
        slots=strategies.integers(1, 64),
        eject_share=strategies.floats(0, 1),
    )
    return config.Configuration(
        organisations=drawn_organisations,
        services=draw(distinct(services)),
        zones=drawn_zones,
        draining_servers=tuple(draw(strategies.sets(names, max_size=3))),
        shards=draw(strategies.integers(1, 64)),
    )


FAULTY = """
shards = 0
retention_s = 100
max_deadline_s = 90
colour = "red"
draining_servers = ["a#1"]

[[organisations]]
name = "dublin"
weight = "heavy"
during_log_outage = "panic"
access_keys = [{name = "a"}, {name = "b"}, {name = "c"}]

[[organisations]]
name = "dublin"

[[services]]
name = "ledger-match"
organisations = ["dublin", "varna"]
region = "eire-west"
slots = 8
connections = 4
max_task_s = 95
eject_share = 1.5

[[zones]]
name = "eire-east-a"
withdrawn = 1
"""
FAULTY_KEYS = {
    "shards",
    "max_deadline_s",
    "colour",
    "draining_servers",
    "organisations",
    "organisations[0].weight",
    "organisations[0].during_log_outage",
    "organisations[0].access_keys",
    "services.ledger-match.organisations",
    "services.ledger-match.region",
    "services.ledger-match.connections",
    "services.ledger-match.max_task_s",
    "services[0].eject_share",
    "zones[0].region",
    "zones[0].withdrawn",
} | {
    f"organisations[0].access_keys[{i}].{key}"
    for i in range(3)
    for key in ("salt", "digest")
}


class ConfigTextTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
    @hypothesis.given(configurations())
    def test_round_trip(self, configuration):
        text = configtext.dumps(configuration)
        self.assertEqual(configuration, configtext.loads(text))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.floats()
            | strategies.integers()
            | strategies.text(string.printable, max_size=5),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from(
                        ["name", "organisations", "services", "zones", "shards"]
                    ),
                    inner,
                )
            ),
        )
    )
    def test_any_table_is_read_or_refused(self, value):
        table = value if isinstance(value, dict) else {"services": value}
        try:
            configuration = configtext.read_checked(table)
        except util.OptionError as error:
            self.assertTrue(error.faults)
        else:
            configtext.check(configuration)

    def test_every_fault_is_listed_at_once(self):
        error = self.assertRaises(util.OptionError, configtext.loads, FAULTY)
        self.assertEqual(FAULTY_KEYS, {fault.key for fault in error.faults})

    def test_check_finds_the_faults_that_loads_finds(self):
        zone = config.AvailabilityZone("a", "")
        configuration = config.Configuration(zones=(zone, zone))
        error = self.assertRaises(
            util.OptionError, configtext.check, configuration
        )
        self.assertEqual(
            ["zones[0].region", "zones[1].region", "zones"],
            [fault.key for fault in error.faults],
        )

    def test_empty_text_gives_the_default_configuration(self):
        self.assertEqual(config.Configuration(), configtext.loads(""))

    def test_text_that_is_not_toml_is_a_fault(self):
        error = self.assertRaises(util.OptionError, configtext.loads, "= 3")
        self.assertEqual("text", error.faults[0].key)
