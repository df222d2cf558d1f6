//! Floods: every table is bounded, and each ticket is answered all the same.

mod common;

use common::{name, setup, Plan, MS};
use foldmux_replicas::{Effect, StateMachine};
use foldmux_takeover::*;
use std::collections::HashSet;
use std::sync::Arc;

/// A fleet of one process that sits on all its seats, with messages to itself alone.
struct Alone {
    part: Takeover,
    now: u64,
    told: Vec<Event>,
}

impl Alone {
    fn new(change: impl Fn(&mut Setup)) -> Alone {
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
        Alone {
            part: Takeover::new(0, setup),
            now: 0,
            told: Vec::new(),
        }
    }

    /// All three seats are this one process's.
    fn ask(&mut self, ask: Command) {
        let mut out = Vec::new();
        self.part.on_command(self.now, ask, &mut out);
        self.run(out);
    }

    fn run(&mut self, mut out: Vec<Effect<Message, Event>>) {
        while let Some(wish) = (!out.is_empty()).then(|| out.remove(0)) {
            match wish {
                Effect::Emit(told) => self.told.push(told),
                // The two other seats are silent.
                Effect::Send { to, message } if to == name(0) => {
                    self.part.on_message(self.now, &name(0), message, &mut out)
                }
                Effect::Send { .. } => {}
            }
        }
    }

    fn wait(&mut self, span: u64) {
        let end = self.now + span;
        while let Some(due) = self.part.next_tick().filter(|due| *due <= end) {
            self.now = due.max(self.now);
            let mut out = Vec::new();
            self.part.on_tick(self.now, &mut out);
            self.run(out);
        }
        self.now = end;
    }
}

fn claim(ticket: u64, key: u128, left: u64, body: usize) -> Command {
    let body = Some(vec![7; body].into());
    let (class, token, got) = (Arc::from("keyed"), None, None);
    let work = Arc::new(Request {
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
        request: work,
        time_left: left,
        ownership_lost: false,
    }
}

#[test]
fn a_flood_fills_no_table_beyond_its_bound_and_all_is_forgotten() {
    for bytes in [0, 100] {
        let mut alone = Alone::new(|setup| {
            (
                setup.max_records,
                setup.max_requests,
                setup.max_record_bytes,
            ) = (50, 80, 4_000)
        });
        for n in 0..10_000u64 {
            alone.ask(claim(n, n.into(), 1_000 * MS, bytes));
            let (records, works) = alone.part.counts();
            assert!(
                records <= if bytes > 0 { 38 } else { 50 } && works <= 80,
                "{records} {works}"
            );
        }
        alone.wait(60_000 * MS);
        assert_eq!(alone.part.counts(), (0, 0));
        let tickets: HashSet<u64> = alone
            .told
            .iter()
            .map(|told| match told {
                Event::Rejected { ticket } | Event::Failed { ticket } => *ticket,
                other => panic!("one seat of three decides nothing: {other:?}"),
            })
            .collect();
        assert_eq!((alone.told.len(), tickets.len()), (10_000, 10_000));
    }
}

#[test]
fn clients_of_one_key_are_bounded_too() {
    let mut alone = Alone::new(|setup| setup.max_waiters = 10);
    (0..100).for_each(|n| alone.ask(claim(n, 7, 100 * MS, 0)));
    assert_eq!(alone.told.len(), 90);
    alone.wait(1_000 * MS);
    assert_eq!(alone.told.len(), 100);
}

#[test]
fn a_class_with_no_rule_is_not_covered() {
    let mut alone = Alone::new(|setup| setup.policies.clear());
    alone.ask(claim(1, 1, MS, 0));
    assert_eq!(alone.told, [Event::Unreplicated { ticket: 1 }]);
}
