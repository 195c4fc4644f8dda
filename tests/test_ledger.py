"""Tests of the generated ledger."""

import testtools

from egretthread_standins import ledger


class LedgerTest(testtools.TestCase):
    def test_lines_match_the_accounts_they_were_made_from(self):
        accounts = ledger.make_ledger(7)
        for number in range(0, ledger.ACCOUNTS, 97):
            line = ledger.make_line(7, number)
            match = ledger.match_line(7, line)
            self.assertEqual(accounts[number].reference, match.account)

    def test_line_without_a_known_account_matches_nothing(self):
        match = ledger.match_line(7, "CARD 1234 PARKING")
        self.assertEqual(ledger.Match("", 0), match)
