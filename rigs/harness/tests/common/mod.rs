//! A fleet whose class of records is covered, once its seats speak; and what every hard case must show in the end.
#![allow(dead_code)]

use foldmux_harness::archive::Policy;
use foldmux_harness::check::{read, Verdict};
use foldmux_harness::customer::{key, Customer, Manner};
use foldmux_harness::record::{Event, Outcome};
use foldmux_harness::settings::KEYED;
use foldmux_harness::{wired, Fleet, Plan};
use std::time::{Duration, Instant};

pub const SHORT: Duration = Duration::from_millis(700);
pub const LONG: Duration = Duration::from_secs(15);

/// It asks elsewhere after `patience`, and goes on asking for long.
pub fn manner(patience: Duration) -> Manner {
    let deadline = Duration::from_secs(3);
    Manner {
        class: KEYED.into(),
        covered: true,
        patience,
        deadline,
        longest: LONG,
    }
}

/// Requests of a new fleet, whose seats are silent at first: any three of the seats are those of one.
pub const FIRST: u64 = 32;

const ROUNDS: u64 = 8;

/// Whether all first requests of a round are served.
fn speak(fleet: &Fleet, round: u64) -> bool {
    let one = |n: u64| {
        let mut customer = fleet.customer(LONG);
        customer.ask(0, &manner(LONG), n, &key(round << 32, n)) == Some(Outcome::Served)
    };
    std::thread::scope(|scope| {
        let asked: Vec<_> = (0..FIRST).map(|n| scope.spawn(move || one(n))).collect();
        asked.into_iter().all(|asked| asked.join().unwrap())
    })
}

/// Nothing of a new fleet is covered until its seats speak: first requests that are all served tell.
pub fn covered(processes: usize, window: Option<Duration>) -> Fleet {
    let archive = Policy {
        window,
        ..Policy::default()
    };
    let plan = Plan {
        processes,
        seats: processes,
        fleet: true,
        operator: wired::lines(Duration::from_secs(2)),
        archive,
        ..Plan::default()
    };
    let fleet = Fleet::start(&plan).unwrap();
    // On a busy machine some may be out of time; then once more, under other keys.
    let heard = (0..ROUNDS).any(|round| speak(&fleet, round));
    assert!(heard, "no round of first requests was served whole");
    fleet
}

/// Who brings a key to the archive next, beside those who did; waited for.
pub fn successor(fleet: &Fleet, name: &str, former: &[usize]) -> usize {
    let until = Instant::now() + LONG;
    while Instant::now() < until {
        let lines = fleet.record().lines().unwrap();
        let next = lines.iter().find_map(|line| match &line.event {
            Event::Reached {
                key, by: Some(by), ..
            } if key == name && !former.contains(by) => Some(*by),
            _ => None,
        });
        if let Some(next) = next {
            return next;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    panic!("nobody goes on with {name} after {former:?}");
}

/// How often a key was brought to the archive, and how often it ran.
pub fn brought(fleet: &Fleet, name: &str) -> (usize, u64) {
    let lines = fleet.record().lines().unwrap();
    let reached = |event: &Event| matches!(event, Event::Reached { key, .. } if key == name);
    (
        lines.iter().filter(|line| reached(&line.event)).count(),
        fleet.archive().runs(name),
    )
}

/// Run at most once, one answer for everyone, nothing lost.
pub fn sound(fleet: &Fleet) -> Verdict {
    let verdict = read(&fleet.record().lines().unwrap());
    if !verdict.sound() {
        (0..fleet.size()).for_each(|n| println!("n{n}:\n{}", fleet.log(n).join("\n")));
    }
    assert!(verdict.sound(), "{verdict}");
    verdict
}

pub fn served(customer: &mut Customer, process: usize, patience: Duration, name: &str) {
    assert_eq!(
        customer.ask(process, &manner(patience), 7, name),
        Some(Outcome::Served),
        "{name}"
    );
}
