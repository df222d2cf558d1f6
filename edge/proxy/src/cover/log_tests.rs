//! The replica's log file through restarts, incomplete entries, and two processes of one name.

use super::*;
use foldmux_takeover::{Ballot, PersistedEntry};

fn entry(term: u64) -> PersistedEntry {
    let promised = Ballot {
        term,
        ..Ballot::none()
    };
    PersistedEntry {
        promised,
        released: false,
        abandoned: false,
        record: None,
        time_left: 60_000_000,
    }
}

fn open(folder: &Path, fingerprint: &str) -> (Log, Recovered) {
    Log::open(folder, fingerprint, 5_000_000)
        .unwrap()
        .expect("no process holds the lock")
}

fn terms(recovered: &Recovered) -> Vec<u64> {
    recovered
        .entries
        .values()
        .map(|entry| entry.promised.term)
        .collect()
}

#[test]
fn the_next_process_recovers_the_last_entry_of_each_key_and_abstains_for_the_time_left() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, recovered) = open(folder.path(), "a");
    assert_eq!(
        (recovered.votes_in, recovered.entries.len()),
        (5_000_000, 0)
    );
    log.append(&[(Key(1), entry(1)), (Key(2), entry(2))])
        .unwrap();
    log.append(&[(Key(1), entry(3))]).unwrap();
    drop(log);
    let (_log, recovered) = open(folder.path(), "a");
    assert_eq!(terms(&recovered), [3, 2]);
    assert!(recovered.votes_in > 0 && recovered.votes_in <= 5_000_000);
    assert!(recovered.entries[&Key(1)].time_left <= 60_000_000);
}

#[test]
fn an_incomplete_last_entry_is_ignored_and_overwritten() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = open(folder.path(), "a");
    log.append(&[(Key(1), entry(1))]).unwrap();
    let complete_length = log.length;
    log.append(&[(Key(2), entry(2))]).unwrap();
    log.file.set_len(complete_length + 20).unwrap();
    drop(log);
    let (mut log, recovered) = open(folder.path(), "a");
    assert_eq!(terms(&recovered), [1]);
    log.append(&[(Key(3), entry(3))]).unwrap();
    drop(log);
    assert_eq!(terms(&open(folder.path(), "a").1), [1, 3]);
}

#[test]
fn an_entry_of_another_replica_set_or_of_an_invalidated_file_is_not_recovered() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = open(folder.path(), "a");
    log.append(&[(Key(1), entry(1))]).unwrap();
    drop(log);
    let (mut log, recovered) = open(folder.path(), "b");
    assert_eq!(
        (recovered.votes_in, recovered.entries.len()),
        (5_000_000, 0)
    );
    log.append(&[(Key(1), entry(1))]).unwrap();
    log.invalidate();
    drop(log);
    assert_eq!(open(folder.path(), "b").1.entries.len(), 0);
}

#[test]
fn a_second_process_waits_for_the_lock_and_recovers_all_entries() {
    let folder = tempfile::tempdir().unwrap();
    let (mut old, _) = open(folder.path(), "a");
    assert!(!old.successor_waits());
    assert!(Log::open(folder.path(), "a", 5_000_000).unwrap().is_none());
    assert!(old.successor_waits() && !old.is_superseded());
    old.append(&[(Key(1), entry(1))]).unwrap();
    drop(old);
    let (new, recovered) = open(folder.path(), "a");
    assert!(!new.successor_waits());
    assert_eq!(terms(&recovered), [1]);
}

#[test]
fn a_superseded_process_notices_it_and_creates_no_more_files() {
    let folder = tempfile::tempdir().unwrap();
    let (mut old, _) = open(folder.path(), "a");
    old.append(&[(Key(1), entry(1))]).unwrap();
    let mut new = Log::supersede(folder.path(), "a").unwrap().unwrap();
    assert!(old.is_superseded() && !new.is_superseded());
    assert!(old.rewrite(&[(Key(1), entry(1))]).is_err());
    new.append(&[(Key(2), entry(2))]).unwrap();
    drop((old, new));
    assert_eq!(terms(&open(folder.path(), "a").1), [2]);
}

#[test]
fn a_rewritten_file_holds_the_given_entries_alone() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = open(folder.path(), "a");
    log.append(&[(Key(1), entry(1)), (Key(2), entry(2))])
        .unwrap();
    log.rewrite(&[(Key(2), entry(2))]).unwrap();
    log.append(&[(Key(3), entry(3))]).unwrap();
    assert!(!log.is_superseded());
    drop(log);
    assert_eq!(terms(&open(folder.path(), "a").1), [2, 3]);
}
