//! One fault each, in virtual time: what becomes of the work, and how soon.

mod common;

use common::world::World;
use common::{Act, Plan, MS};

fn sound(plan: Plan) -> common::Verdict {
    let verdict = World::run(plan.clone());
    assert!(verdict.sound(), "{verdict:?} of {plan:?}");
    assert_eq!(verdict.left, 0, "{verdict:?} of {plan:?}");
    verdict
}

fn seeds(plan: impl Fn(u64) -> Plan) -> Vec<common::Verdict> {
    (0..200).map(|seed| sound(plan(seed))).collect()
}

fn none(all: &[common::Verdict], bad: impl Fn(&common::Verdict) -> bool) {
    let first = all.iter().enumerate().find(|(_, verdict)| bad(verdict));
    assert!(first.is_none(), "{first:?}");
}

#[test]
fn a_quiet_fleet_answers_all_and_takes_nothing_over() {
    let all = seeds(|seed| {
        (0..8).fold(Plan::new(seed), |plan, key| {
            plan.at(10, Act::Command { key, at: key })
        })
    });
    none(&all, |v| v.unanswered > 0 || v.took_over > 0);
}

#[test]
fn a_killed_owners_work_is_taken_over_within_its_lease_and_a_little() {
    // At every moment of the work: before the record, after it, with the attempt out, before and after the answer.
    let all = seeds(|seed| {
        let plan = (0..4).fold(Plan::new(seed), |plan, i| {
            plan.at(
                10,
                Act::Command {
                    key: [0, 1, 3, 4][i],
                    at: 1,
                },
            )
        });
        plan.at(10 + seed / 4, Act::Kill { who: 1, restart: 0 })
    });
    let longest = all.iter().map(|v| v.longest).max().unwrap();
    none(&all, |v| v.unanswered > 0);
    assert!(
        all.iter().any(|v| v.took_over > 0) && longest <= 700 * MS,
        "{longest}"
    );
}

#[test]
fn leaving_hands_over_at_once() {
    let all = seeds(|seed| {
        Plan::new(seed)
            .at(10, Act::Command { key: 0, at: 1 })
            .at(12 + seed / 8, Act::Leave { who: 1 })
    });
    let longest = all.iter().map(|v| v.longest).max().unwrap();
    none(&all, |v| v.unanswered > 0);
    assert!(
        all.iter().any(|v| v.took_over > 0) && longest <= 100 * MS,
        "{longest}"
    );
}

#[test]
fn two_clients_with_one_key_at_two_instances_hear_one_answer() {
    let all = seeds(|seed| {
        let plan = Plan::new(seed)
            .at(10, Act::Command { key: 1, at: 0 })
            .at(10 + seed % 30, Act::Command { key: 1, at: 2 });
        plan.at(11, Act::Command { key: 1, at: 0 })
    });
    none(&all, |v| v.unanswered > 0 || v.ran > 1);
}

#[test]
fn an_owner_that_sleeps_longer_than_its_lease_sends_nothing_when_it_wakes() {
    let all = seeds(|seed| {
        let plan = Plan {
            terms: seed % 2 == 0,
            ..Plan::new(seed)
        }
        .at(10, Act::Command { key: 1, at: 3 });
        plan.at(
            11 + seed / 20,
            Act::Pause {
                who: 3,
                span: (510 + 13 * seed) * MS,
            },
        )
    });
    none(&all, |v| v.unanswered > 0);
    assert!(all.iter().any(|v| v.took_over > 0));
}

#[test]
fn an_owner_cut_off_from_its_seats_stops_and_its_client_is_answered() {
    let all = seeds(|seed| {
        let act = match seed % 3 {
            0 => Act::Alone {
                who: 3,
                span: 2_000 * MS,
            },
            1 => Act::Cut {
                from: 3,
                to: seed as u8,
                both: false,
                span: 2_000 * MS,
            },
            _ => Act::Cut {
                from: seed as u8,
                to: 3,
                both: false,
                span: 2_000 * MS,
            },
        };
        Plan::new(seed)
            .at(10, Act::Command { key: 1, at: 3 })
            .at(11 + seed / 10, act)
    });
    none(&all, |v| v.unanswered > 0);
}

#[test]
fn a_successor_dies_and_its_successor_too() {
    let all = seeds(|seed| {
        let plan = Plan {
            processes: 9,
            ..Plan::new(seed)
        }
        .at(10, Act::Command { key: 1, at: 0 });
        // Asked again by its client too: whoever goes on is killed in turn, and comes back without memory.
        let dies =
            |plan: Plan, who: u8| plan.at(14 + 560 * who as u64, Act::Kill { who, restart: 0 });
        (0..2).fold(plan, dies)
    });
    none(&all, |v| v.unanswered > 0);
}

#[test]
fn half_of_the_fleet_dies_at_once() {
    let all = seeds(|seed| {
        let plan = (0..8).fold(
            Plan {
                processes: 8,
                ..Plan::new(seed)
            },
            |plan, key| plan.at(10, Act::Command { key, at: key }),
        );
        (0..4).fold(plan, |plan, who| {
            plan.at(
                12 + seed / 10,
                Act::Kill {
                    who: 2 * who,
                    restart: 100 * MS,
                },
            )
        })
    });
    // A key that lost two of its seats is answered by none; nothing of it is run again.
    assert!(all.iter().all(|v| v.answered > 0) && all.iter().any(|v| v.took_over > 0));
}

#[test]
fn seats_that_all_restart_at_once_say_nothing_of_what_they_forgot() {
    let all = seeds(|seed| {
        let plan = Plan::new(seed).at(10, Act::Command { key: 1, at: 0 });
        let plan = (0..5).fold(plan, |plan, who| {
            plan.at(
                12 + seed / 10,
                Act::Kill {
                    who,
                    restart: 50 * MS,
                },
            )
        });
        plan.at(900, Act::Command { key: 1, at: 2 })
            .at(20_000, Act::Command { key: 5, at: 2 })
    });
    // The one that comes after the longest window is served.
    none(&all, |v| v.answered == 0);
}
