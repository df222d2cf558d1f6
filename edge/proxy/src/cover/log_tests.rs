//! The seat's file through starts, tears and a process beside another.

use super::*;
use foldmux_takeover::{Ballot, PersistedEntry};

fn kept(term: u64) -> PersistedEntry {
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
        .expect("nobody holds it")
}

fn terms(found: &Recovered) -> Vec<u64> {
    found.kept.values().map(|one| one.promised.term).collect()
}

#[test]
fn the_next_process_reads_the_last_of_each_key_and_goes_on_being_silent() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, found) = open(folder.path(), "a");
    assert_eq!((found.votes_in, found.kept.len()), (5_000_000, 0));
    log.append(&[(Key(1), kept(1)), (Key(2), kept(2))]).unwrap();
    log.append(&[(Key(1), kept(3))]).unwrap();
    drop(log);
    let (_log, found) = open(folder.path(), "a");
    assert_eq!(terms(&found), [3, 2]);
    assert!(found.votes_in > 0 && found.votes_in <= 5_000_000);
    assert!(found.kept[&Key(1)].time_left <= 60_000_000);
}

#[test]
fn a_torn_end_is_passed_over_and_written_over() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = open(folder.path(), "a");
    log.append(&[(Key(1), kept(1))]).unwrap();
    let whole = log.length;
    log.append(&[(Key(2), kept(2))]).unwrap();
    log.file.set_len(whole + 20).unwrap();
    drop(log);
    let (mut log, found) = open(folder.path(), "a");
    assert_eq!(terms(&found), [1]);
    log.append(&[(Key(3), kept(3))]).unwrap();
    drop(log);
    assert_eq!(terms(&open(folder.path(), "a").1), [1, 3]);
}

#[test]
fn what_is_about_other_seats_or_was_spoilt_is_not_read_back() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = open(folder.path(), "a");
    log.append(&[(Key(1), kept(1))]).unwrap();
    drop(log);
    let (mut log, found) = open(folder.path(), "b");
    assert_eq!((found.votes_in, found.kept.len()), (5_000_000, 0));
    log.append(&[(Key(1), kept(1))]).unwrap();
    log.invalidate();
    drop(log);
    assert_eq!(open(folder.path(), "b").1.kept.len(), 0);
}

#[test]
fn one_beside_another_waits_for_it_and_goes_on_with_all_that_it_kept() {
    let folder = tempfile::tempdir().unwrap();
    let (mut old, _) = open(folder.path(), "a");
    assert!(!old.successor_waits());
    assert!(Log::open(folder.path(), "a", 5_000_000).unwrap().is_none());
    assert!(old.successor_waits() && !old.is_superseded());
    old.append(&[(Key(1), kept(1))]).unwrap();
    drop(old);
    let (new, found) = open(folder.path(), "a");
    assert!(!new.successor_waits());
    assert_eq!(terms(&found), [1]);
}

#[test]
fn one_that_is_passed_over_learns_of_it_and_writes_no_more_files() {
    let folder = tempfile::tempdir().unwrap();
    let (mut old, _) = open(folder.path(), "a");
    old.append(&[(Key(1), kept(1))]).unwrap();
    let mut new = Log::supersede(folder.path(), "a").unwrap().unwrap();
    assert!(old.is_superseded() && !new.is_superseded());
    assert!(old.rewrite(&[(Key(1), kept(1))]).is_err());
    new.append(&[(Key(2), kept(2))]).unwrap();
    drop((old, new));
    assert_eq!(terms(&open(folder.path(), "a").1), [2]);
}

#[test]
fn written_anew_it_holds_what_it_is_given_alone() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = open(folder.path(), "a");
    log.append(&[(Key(1), kept(1)), (Key(2), kept(2))]).unwrap();
    log.rewrite(&[(Key(2), kept(2))]).unwrap();
    log.append(&[(Key(3), kept(3))]).unwrap();
    assert!(!log.is_superseded());
    drop(log);
    assert_eq!(terms(&open(folder.path(), "a").1), [2, 3]);
}
