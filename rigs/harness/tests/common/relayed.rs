//! A fleet whose journal is relayed, and readers of what its processes serve.
#![allow(dead_code)]

use foldmux_harness::check::{read, Verdict};
use foldmux_harness::readers::Readers;
use foldmux_harness::streams::RELAYED;
use foldmux_harness::{Fleet, Plan};
use std::time::Duration;

pub const SOON: Duration = Duration::from_secs(20);
/// Of a reader's polls.
pub const WAIT: Duration = Duration::from_millis(1_000);

/// A relay counts as silent only after what a busy machine seldom takes: few read the source meanwhile.
pub const PATIENT: &str =
    "stream(\"journal\", slow = \"all\", patience_ms = 600, readers = 4000, serve = \"{serve}\")\n";

/// Running, with one stream at the source for each site.
pub fn relayed(processes: usize, sites: usize, operator: &str) -> Fleet {
    let seats = processes.min(5);
    let operator = if operator.is_empty() {
        RELAYED
    } else {
        operator
    }
    .to_string();
    let plan = Plan {
        processes,
        sites,
        seats,
        fleet: true,
        operator,
        ..Plan::default()
    };
    let fleet = Fleet::start(&plan).unwrap();
    settled(&fleet, sites);
    fleet
}

pub fn settled(fleet: &Fleet, sites: usize) -> Vec<usize> {
    let open = fleet.streams(sites, SOON);
    open.unwrap_or_else(|open| {
        panic!(
            "streams of {open:?}, not one for each of {sites} sites; {}",
            logs(fleet)
        )
    })
}

/// So many readers at each process, numbered by process.
pub fn readers(fleet: &Fleet, each: u64) -> Readers {
    let readers = fleet.readers(2).unwrap();
    for process in 0..fleet.size() {
        (0..each).for_each(|n| fleet.begin(&readers, process as u64 * 100 + n, process, WAIT));
    }
    heard(fleet, &readers, fleet.size() * each as usize);
    readers
}

/// The source tells a purge, and so many readers hear it or a later one.
pub fn heard(fleet: &Fleet, readers: &Readers, count: usize) {
    fleet.journal().purge();
    let last = fleet.journal().last();
    let last_of = || readers.look(|heard| heard.last.clone());
    assert!(
        readers.reached(count, last, SOON),
        "{last:?} of {:?}; {}",
        last_of(),
        logs(fleet)
    );
}

/// Purges one after the other, each as soon as it may be.
pub fn purges(fleet: &Fleet, count: usize) {
    for _ in 0..count {
        fleet.journal().purge();
        std::thread::sleep(Duration::from_millis(10));
    }
}

pub fn logs(fleet: &Fleet) -> String {
    (0..fleet.size())
        .map(|n| format!("n{n}:\n{}\n", fleet.log(n).join("\n")))
        .collect()
}

/// In order, no number twice, no gap untold.
pub fn sound(fleet: &Fleet) -> Verdict {
    let verdict = read(&fleet.record().lines().unwrap());
    assert!(
        verdict.sound() && verdict.heard > 0,
        "{verdict}\n{}",
        logs(fleet)
    );
    verdict
}
