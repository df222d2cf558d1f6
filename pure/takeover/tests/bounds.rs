//! Floods of requests: every table is bounded, and every ticket is answered.

mod common;

use common::{name, setup, Plan, MS};
use foldmux_replicas::{Effect, StateMachine};
use foldmux_takeover::*;
use std::collections::HashSet;
use std::sync::Arc;

/// The only live process of a fleet of three replicas. Messages to the other two are dropped.
struct SingleProcess {
    takeover: Takeover,
    now: u64,
    events: Vec<Event>,
}

impl SingleProcess {
    fn new(change: impl Fn(&mut Setup)) -> SingleProcess {
        let mut setup = setup(
            &Plan {
                processes: 1,
                ..Plan::new(1)
            },
            0,
            1,
            true,
        );
        change(&mut setup);
        SingleProcess {
            takeover: Takeover::new(0, setup),
            now: 0,
            events: Vec::new(),
        }
    }

    fn command(&mut self, command: Command) {
        let mut effects = Vec::new();
        self.takeover.on_command(self.now, command, &mut effects);
        self.run(effects);
    }

    fn run(&mut self, mut effects: Vec<Effect<Message, Event>>) {
        while let Some(effect) = (!effects.is_empty()).then(|| effects.remove(0)) {
            match effect {
                Effect::Emit(event) => self.events.push(event),
                Effect::Send { to, message } if to == name(0) => {
                    self.takeover
                        .on_message(self.now, &name(0), message, &mut effects)
                }
                Effect::Send { .. } => {}
            }
        }
    }

    fn wait(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(due) = self.takeover.next_tick().filter(|due| *due <= end) {
            self.now = due.max(self.now);
            let mut effects = Vec::new();
            self.takeover.on_tick(self.now, &mut effects);
            self.run(effects);
        }
        self.now = end;
    }
}

/// A client's request, with a body of this length.
fn acquire(ticket: u64, key: u128, time_left: u64, body: usize) -> Command {
    let body = Some(vec![7; body].into());
    let (class, token, got) = (Arc::from("keyed"), None, None);
    let request = Arc::new(Request {
        class,
        object: 1,
        part: 0,
        group: 0,
        size: 1,
        token,
        got,
        body,
    });
    Command::Acquire {
        ticket,
        key: Key(key),
        request,
        time_left,
        ownership_lost: false,
    }
}

#[test]
fn a_flood_exceeds_no_bound_and_everything_is_forgotten() {
    for bytes in [0, 100] {
        let mut process = SingleProcess::new(|setup| {
            (
                setup.max_records,
                setup.max_requests,
                setup.max_record_bytes,
            ) = (50, 80, 4_000)
        });
        for n in 0..10_000u64 {
            process.command(acquire(n, n.into(), 1_000 * MS, bytes));
            let (records, requests) = process.takeover.counts();
            assert!(
                records <= if bytes > 0 { 38 } else { 50 } && requests <= 80,
                "{records} records, {requests} requests"
            );
        }
        process.wait(60_000 * MS);
        assert_eq!(process.takeover.counts(), (0, 0));
        let tickets: HashSet<u64> = process
            .events
            .iter()
            .map(|event| match event {
                Event::Rejected { ticket } | Event::Failed { ticket } => *ticket,
                other => panic!("one replica of three decides nothing: {other:?}"),
            })
            .collect();
        assert_eq!((process.events.len(), tickets.len()), (10_000, 10_000));
    }
}

#[test]
fn the_clients_that_wait_for_one_key_are_bounded() {
    let mut process = SingleProcess::new(|setup| setup.max_waiters = 10);
    (0..100).for_each(|n| process.command(acquire(n, 7, 100 * MS, 0)));
    assert_eq!(process.events.len(), 90);
    process.wait(1_000 * MS);
    assert_eq!(process.events.len(), 100);
}

#[test]
fn a_class_without_a_policy_is_not_replicated() {
    let mut process = SingleProcess::new(|setup| setup.policies.clear());
    process.command(acquire(1, 1, MS, 0));
    assert_eq!(process.events, [Event::Unreplicated { ticket: 1 }]);
}
