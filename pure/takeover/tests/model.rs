//! Explores orders of events of a small fleet: two proxies, three replicas, one key, one crash and one pause. Messages are
//! delivered in any order; one may be lost and one duplicated. Bounded by time and by the number of states, which is
//! printed.

mod common;
mod small;

use small::{takeover, RequestThread, State, Step, END};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// States that each exploration visits.
const MAX_STATES: usize = 30_000;
/// The most seeds of random exploration.
const MAX_SEEDS: u64 = 8;

struct Fleet {
    /// A replica's reply is delivered in one step with the message that it replies to.
    immediate_replies: bool,
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            immediate_replies: self.immediate_replies,
            now: 0,
            machines: (0..5).map(takeover).collect(),
            in_flight: Vec::new(),
            threads: [RequestThread::None, RequestThread::None],
            terms: [0; 2],
            requested: [false; 2],
            alive: [true; 2],
            paused: None,
            faults_left: [1, 1, 1, 1],
            runs: 0,
            answers: [None, None],
            both_may_send: false,
            owners: Vec::new(),
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        let [crash, pause, lose, duplicate] = state.faults_left;
        let runs = |at: usize| state.alive.get(at) != Some(&false) && state.paused != Some(at);
        steps.extend(
            (0..2)
                .filter(|at| !state.requested[*at] && runs(*at))
                .map(Step::ClientRequest),
        );
        for (index, (_, to, _)) in state.in_flight.iter().enumerate() {
            if runs(*to) {
                steps.push(Step::Deliver {
                    index,
                    lost: false,
                    duplicated: false,
                });
                steps.extend((duplicate > 0).then_some(Step::Deliver {
                    index,
                    lost: false,
                    duplicated: true,
                }));
            }
            steps.extend((lose > 0).then_some(Step::Deliver {
                index,
                lost: true,
                duplicated: false,
            }));
        }
        let can_run = |at: &usize| {
            runs(*at) && !matches!(state.threads[*at], RequestThread::None | RequestThread::Ran)
        };
        steps.extend((0..2).filter(can_run).map(Step::RunThread));
        let is_active = |at: &usize| state.alive[*at] && state.threads[*at] != RequestThread::None;
        steps.extend(
            (0..2)
                .filter(is_active)
                .filter(|_| crash > 0)
                .map(Step::Crash),
        );
        steps.extend(
            (0..2)
                .filter(is_active)
                .filter(|_| pause > 0)
                .map(Step::Pause),
        );
        steps.extend(state.paused.map(|_| Step::Resume));
        steps.extend((state.due() <= END).then_some(Step::AdvanceTime));
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut next = state.clone();
        next.step(&step);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let one_owner_per_term = |_: &Fleet, s: &State| {
            s.owners
                .iter()
                .all(|a| s.owners.iter().all(|b| a.0 != b.0 || a.1 == b.1))
        };
        vec![
            Property::always("at most one may send", |_, s: &State| !s.both_may_send),
            Property::always("a term has one owner", one_owner_per_term),
            Property::always(
                "one answer",
                |_, s: &State| !matches!(&s.answers, [Some(a), Some(b)] if a != b),
            ),
            Property::sometimes("a second owner", |_, s: &State| {
                s.owners.iter().any(|(term, _)| *term > 1)
            }),
            Property::sometimes("both are answered", |_, s: &State| {
                s.answers.iter().all(Option::is_some)
            }),
        ]
    }
}

/// Properties that must hold in some state.
const REACHABLE: [&str; 2] = ["a second owner", "both are answered"];

/// Breadth first up to a number of states: all orders of events up to some depth.
#[test]
fn all_orders_of_events_up_to_a_depth() {
    for immediate_replies in [true, false] {
        let run = Fleet { immediate_replies }
            .checker()
            .target_state_count(MAX_STATES)
            .threads(2)
            .spawn_bfs()
            .join();
        let (states, unique, depth) =
            (run.state_count(), run.unique_state_count(), run.max_depth());
        println!("immediate replies {immediate_replies}: {states} states, {unique} unique, depth {depth}");
        let violated: Vec<_> = run
            .discoveries()
            .into_iter()
            .filter(|d| !REACHABLE.contains(&d.0))
            .collect();
        assert!(violated.is_empty(), "{violated:?}");
    }
}

/// At random, each run to its end, from one seed after another until every reachable property was seen.
#[test]
fn random_orders_of_events_to_the_end() {
    let mut found: BTreeSet<&str> = BTreeSet::new();
    for seed in 1..=MAX_SEEDS {
        let run = Fleet {
            immediate_replies: false,
        }
        .checker()
        .target_state_count(MAX_STATES);
        let run = run
            .spawn_simulation(seed, stateright::UniformChooser)
            .join();
        println!(
            "at random, seed {seed}: {} states, depth {}",
            run.state_count(),
            run.max_depth()
        );
        found.extend(run.discoveries().into_keys());
        if found.len() >= REACHABLE.len() {
            break;
        }
    }
    assert_eq!(found, BTreeSet::from(REACHABLE));
}
