//! The checker, on records made by hand: each invariant broken once, and the like of each unbroken.

mod keys;
mod pools_and_records;
mod streams;

use foldmux_harness::check::{percentile, read, Verdict};
use foldmux_harness::record::{self, Event, Line, Outcome, Record};

fn verdict(events: &[Event]) -> Verdict {
    let line = |(n, event): (usize, &Event)| Line {
        at: n as u64 * 1_000,
        event: event.clone(),
    };
    read(&events.iter().enumerate().map(line).collect::<Vec<_>>())
}

fn asked(key: &str, process: usize, again: bool) -> Event {
    Event::Asked {
        key: key.into(),
        process,
        covered: true,
        again,
    }
}

fn reached(key: &str, by: usize) -> Event {
    Event::Reached {
        key: key.into(),
        by: Some(by),
        term: None,
    }
}

fn ran(key: &str, by: usize) -> Event {
    Event::Ran {
        key: key.into(),
        by: Some(by),
        term: Some(1),
    }
}

fn served(key: &str, process: usize, result: &str) -> Event {
    Event::Answered {
        key: key.into(),
        process,
        outcome: Outcome::Served,
        result: result.into(),
    }
}

fn heard(reader: u64, epoch: u64, number: u64) -> Event {
    Event::Heard {
        stream: "news".into(),
        reader,
        epoch,
        number,
    }
}

fn sent(epoch: u64, number: u64) -> Event {
    Event::Sent {
        stream: "news".into(),
        epoch,
        number,
    }
}

/// The one invariant that is broken, by name.
fn broken(events: &[Event]) -> Vec<(&'static str, u64)> {
    verdict(events)
        .breaks()
        .into_iter()
        .filter(|(_, count)| *count > 0)
        .collect()
}
