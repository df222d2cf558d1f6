//! One kind of fault each, in virtual time: whether the requests are answered, and how soon.

mod common;

use common::simulation::Simulation;
use common::{Action, Plan, MS};

/// Runs a plan, which must breach no invariant and leave no request behind.
fn run_sound(plan: Plan) -> common::Summary {
    let summary = Simulation::run(plan.clone());
    assert!(summary.is_sound(), "{summary:?} of {plan:?}");
    assert_eq!(summary.requests_left, 0, "{summary:?} of {plan:?}");
    summary
}

/// Runs the plans of 200 seeds.
fn run_seeds(plan: impl Fn(u64) -> Plan) -> Vec<common::Summary> {
    (0..200).map(|seed| run_sound(plan(seed))).collect()
}

fn assert_none(all: &[common::Summary], bad: impl Fn(&common::Summary) -> bool) {
    let first = all.iter().enumerate().find(|(_, summary)| bad(summary));
    assert!(first.is_none(), "{first:?}");
}

#[test]
fn without_faults_all_requests_are_answered_and_none_is_taken_over() {
    let all = run_seeds(|seed| {
        (0..8).fold(Plan::new(seed), |plan, key| {
            plan.at(10, Action::ClientRequest { key, at: key })
        })
    });
    assert_none(&all, |v| v.unanswered > 0 || v.took_over > 0);
}

#[test]
fn a_killed_owners_request_is_taken_over_soon_after_its_lease() {
    // The owner dies at different stages: before and after the record is written, while the attempt is in flight, before
    // and after the answer is stored.
    let all = run_seeds(|seed| {
        let plan = (0..4).fold(Plan::new(seed), |plan, i| {
            plan.at(
                10,
                Action::ClientRequest {
                    key: [0, 1, 3, 4][i],
                    at: 1,
                },
            )
        });
        plan.at(
            10 + seed / 4,
            Action::Kill {
                target: 1,
                restart: 0,
            },
        )
    });
    let longest = all.iter().map(|v| v.longest_takeover).max().unwrap();
    assert_none(&all, |v| v.unanswered > 0);
    assert!(
        all.iter().any(|v| v.took_over > 0) && longest <= 700 * MS,
        "{longest}"
    );
}

#[test]
fn a_process_that_shuts_down_hands_its_requests_over_at_once() {
    let all = run_seeds(|seed| {
        Plan::new(seed)
            .at(10, Action::ClientRequest { key: 0, at: 1 })
            .at(12 + seed / 8, Action::ShutDown { target: 1 })
    });
    let longest = all.iter().map(|v| v.longest_takeover).max().unwrap();
    assert_none(&all, |v| v.unanswered > 0);
    assert!(
        all.iter().any(|v| v.took_over > 0) && longest <= 100 * MS,
        "{longest}"
    );
}

#[test]
fn two_clients_with_one_key_at_two_processes_get_one_answer() {
    let all = run_seeds(|seed| {
        let plan = Plan::new(seed)
            .at(10, Action::ClientRequest { key: 1, at: 0 })
            .at(10 + seed % 30, Action::ClientRequest { key: 1, at: 2 });
        plan.at(11, Action::ClientRequest { key: 1, at: 0 })
    });
    assert_none(&all, |v| v.unanswered > 0 || v.ran > 1);
}

#[test]
fn an_owner_that_is_paused_for_longer_than_its_lease_sends_nothing_afterwards() {
    let all = run_seeds(|seed| {
        let plan = Plan {
            terms: seed % 2 == 0,
            ..Plan::new(seed)
        }
        .at(10, Action::ClientRequest { key: 1, at: 3 });
        plan.at(
            11 + seed / 20,
            Action::Pause {
                target: 3,
                span: (510 + 13 * seed) * MS,
            },
        )
    });
    assert_none(&all, |v| v.unanswered > 0);
    assert!(all.iter().any(|v| v.took_over > 0));
}

#[test]
fn an_owner_cut_off_from_its_replicas_stops_and_its_client_is_answered() {
    let all = run_seeds(|seed| {
        let action = match seed % 3 {
            0 => Action::Isolate {
                target: 3,
                span: 2_000 * MS,
            },
            1 => Action::Cut {
                from: 3,
                to: seed as u8,
                both: false,
                span: 2_000 * MS,
            },
            _ => Action::Cut {
                from: seed as u8,
                to: 3,
                both: false,
                span: 2_000 * MS,
            },
        };
        Plan::new(seed)
            .at(10, Action::ClientRequest { key: 1, at: 3 })
            .at(11 + seed / 10, action)
    });
    assert_none(&all, |v| v.unanswered > 0);
}

#[test]
fn successors_that_die_are_succeeded_in_turn() {
    let all = run_seeds(|seed| {
        let plan = Plan {
            processes: 9,
            ..Plan::new(seed)
        }
        .at(10, Action::ClientRequest { key: 1, at: 0 });
        // The owner dies, and process 1 once the owner's lease has expired.
        let kill = |plan: Plan, target: u8| {
            plan.at(
                14 + 560 * target as u64,
                Action::Kill { target, restart: 0 },
            )
        };
        (0..2).fold(plan, kill)
    });
    assert_none(&all, |v| v.unanswered > 0);
}

#[test]
fn half_of_the_fleet_dies_at_once() {
    let all = run_seeds(|seed| {
        let plan = (0..8).fold(
            Plan {
                processes: 8,
                ..Plan::new(seed)
            },
            |plan, key| plan.at(10, Action::ClientRequest { key, at: key }),
        );
        (0..4).fold(plan, |plan, target| {
            plan.at(
                12 + seed / 10,
                Action::Kill {
                    target: 2 * target,
                    restart: 100 * MS,
                },
            )
        })
    });
    // A request that lost two of its replicas gets no answer, and does not run again.
    assert!(all.iter().all(|v| v.answered > 0) && all.iter().any(|v| v.took_over > 0));
}

#[test]
fn replicas_that_all_restart_without_their_state_abstain() {
    let all = run_seeds(|seed| {
        let plan = Plan::new(seed).at(10, Action::ClientRequest { key: 1, at: 0 });
        let plan = (0..5).fold(plan, |plan, target| {
            plan.at(
                12 + seed / 10,
                Action::Kill {
                    target,
                    restart: 50 * MS,
                },
            )
        });
        plan.at(900, Action::ClientRequest { key: 1, at: 2 })
            .at(20_000, Action::ClientRequest { key: 5, at: 2 })
    });
    // The request that comes after the recovery window is answered.
    assert_none(&all, |v| v.answered == 0);
}
