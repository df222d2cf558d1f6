//! Durability, disk errors and unusable files.

use super::*;
use crossbeam_channel::{unbounded, Receiver};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const LONG: Duration = Duration::from_secs(30);

fn put(store: &Store, key: &[u8], value: &[u8]) -> Result<(), Fault> {
    let (told, heard) = bounded(1);
    store.put(key, value, Box::new(move |result| drop(told.send(result))));
    heard.recv_timeout(LONG).expect("an end")
}

fn start(opener: Opener, commit: Commit) -> (Result<Store, String>, Receiver<Held>) {
    let (told, heard) = unbounded();
    (
        Store::start(opener, commit, move |held| {
            told.send(held).map_err(|e| e.to_string())
        }),
        heard,
    )
}

#[test]
fn what_was_told_to_be_written_is_there_after_the_file_is_opened_again() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("ledger");
    for commit in [Commit::Each, Commit::Group] {
        let (store, held) = start(file(&path), commit);
        let (store, before) = (store.unwrap(), held.recv_timeout(LONG).unwrap().len());
        let (told, heard) = unbounded();
        for n in 0..500u32 {
            let told = told.clone();
            let key = [&[commit as u8][..], &n.to_be_bytes()].concat();
            store.put(
                &key,
                b"value",
                Box::new(move |result| drop(told.send(result))),
            );
        }
        (0..500).for_each(|_| heard.recv_timeout(LONG).unwrap().unwrap());
        store.remove(&[&[commit as u8][..], &7u32.to_be_bytes()].concat());
        let commits = store.counts.commits.load(Ordering::SeqCst);
        assert!(
            if commit == Commit::Each {
                commits >= 500
            } else {
                commits < 500
            },
            "{commits}"
        );
        drop(store);
        let (again, held) = start(file(&path), commit);
        assert_eq!(held.recv_timeout(LONG).unwrap().len(), before + 499);
        drop(again);
    }
}

#[test]
fn a_disk_that_is_full_refuses_each_write_with_its_reason_until_there_is_room() {
    let folder = tempfile::tempdir().unwrap();
    let fails = Arc::new(AtomicBool::new(false));
    let opener = || failing(&folder.path().join("ledger"), fails.clone());
    let (store, held) = start(opener(), Commit::Group);
    let store = store.unwrap();
    assert!(held.recv_timeout(LONG).unwrap().is_empty());
    put(&store, b"one", b"1").unwrap();
    fails.store(true, Ordering::SeqCst);
    for _ in 0..3 {
        assert!(matches!(put(&store, b"two", b"2"), Err(Fault::Disk(_))));
    }
    fails.store(false, Ordering::SeqCst);
    assert_eq!(put(&store, b"three", b"3"), Ok(()));
    drop(store);
    let (_store, held) = start(opener(), Commit::Group);
    let held = held.recv_timeout(LONG).unwrap();
    let keys: Vec<&[u8]> = held.iter().map(|(k, _)| k.as_slice()).collect();
    assert!(
        keys.contains(&&b"one"[..]) && keys.contains(&&b"three"[..]),
        "{keys:?}"
    );
}

#[test]
fn a_store_that_opens_late_tells_what_it_held_then() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("ledger");
    let (store, _held) = start(file(&path), Commit::Each);
    put(store.as_ref().unwrap(), b"one", b"1").unwrap();
    drop(store);
    let fails = Arc::new(AtomicBool::new(true));
    let (store, held) = start(failing(&path, fails.clone()), Commit::Each);
    let store = store.unwrap();
    assert!(held.is_empty() && matches!(put(&store, b"two", b"2"), Err(Fault::Disk(_))));
    fails.store(false, Ordering::SeqCst);
    assert_eq!(
        held.recv_timeout(LONG).unwrap(),
        vec![(b"one".to_vec(), b"1".to_vec())]
    );
    put(&store, b"two", b"2").unwrap();
}

#[test]
fn a_file_that_is_no_store_is_refused_and_left_as_it_was() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("ledger");
    std::fs::write(&path, vec![7u8; 10_000]).unwrap();
    let (store, _held) = start(file(&path), Commit::Group);
    assert!(store.is_err());
    assert_eq!(std::fs::read(&path).unwrap(), vec![7u8; 10_000]);
}
