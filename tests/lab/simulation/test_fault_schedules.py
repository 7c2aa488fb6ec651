"""The control plane's real shell in simulated time under fault schedules, and wrong versions to find.

A schedule that finds none of the wrong versions proves nothing.
"""

import logging
import unittest

from lapisgrade.lab.explore.defects import switched
from lapisgrade.lab.simulation import mutants
from lapisgrade.lab.simulation.courses import COURSES

SEEDS = 8  # of each course


MUTANT_SEEDS = 30  # in which a wrong version must be found


class Quiet(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)


class Courses(Quiet):
    def play(self, course: str, seeds: int = SEEDS) -> None:
        acknowledged = 0
        for seed in range(seeds):
            with self.subTest(course=course, seed=seed):
                play = COURSES[course](seed)
                self.assertEqual(play.wrong, [], "\n".join(play.transcript()))
                acknowledged += play.acknowledged()
        self.assertGreater(acknowledged, 5 * seeds)

    def test_a_leader_that_is_cut_off_serves_and_confirms_nothing(self) -> None:
        self.play("leader-cut")

    def test_orders_sent_again_are_answered_alike_and_no_two_on_one_base_are_taken(self) -> None:
        self.play("orders-resent")

    def test_a_second_loss_after_a_repair_or_replacement_costs_nothing(self) -> None:
        self.play("second-loss", 15)

    def test_one_that_holds_an_acknowledgement_is_emptied_and_all_lose_power(self) -> None:
        self.play("wiped-after-ack")

    def test_changes_of_voters_under_late_answers(self) -> None:
        self.play("slow-changes")

    def test_two_newcomers_on_the_cut_off_leader_s_side(self) -> None:
        self.play("newcomers")

    def test_a_member_that_missed_hundreds_of_changes_catches_up_while_they_go_on(self) -> None:
        self.play("hundreds-of-changes", 12)

    def test_what_was_not_synced_counts_for_nothing(self) -> None:
        self.play("unsynced")

    def test_leaders_with_entries_of_several_terms(self) -> None:
        self.play("churn")

    def test_drawn_troubles(self) -> None:
        self.play("drawn", 20)

    def test_a_seed_replays_exactly(self) -> None:
        first, second = COURSES["drawn"](3), COURSES["drawn"](3)
        self.assertEqual(first.cluster.said, second.cluster.said)
        self.assertEqual(first.history, second.history)


class Mutants(Quiet):
    def test_each_wrong_version_is_found(self) -> None:
        for group, course in mutants.COURSES_OF:
            for name in group:
                with self.subTest(name=name, course=course), switched(mutants.MUTANTS, name):
                    found = next((seed for seed in range(MUTANT_SEEDS) if COURSES[course](seed).wrong), None)
                    self.assertIsNotNone(found, f"{name} survived {MUTANT_SEEDS} seeds of {course}")
