//! The names and the version of the tables in a store's file, written out: a file of the present program is read by
//! any other of this version.

use foldmux_store::{file, Commit, Store};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::Path;
use std::sync::mpsc;

const ATTEMPTS: TableDefinition<&[u8], &[u8]> = TableDefinition::new("attempts");
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");

fn entries(path: &Path) -> Vec<(Vec<u8>, Vec<u8>)> {
    let (sender, held) = mpsc::channel();
    let loaded = move |entries| sender.send(entries).map_err(|e| e.to_string());
    drop(Store::start(file(path), Commit::Each, loaded).unwrap());
    held.recv().unwrap()
}

#[test]
fn the_tables_that_a_store_writes_keep_their_names_and_version() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("store");
    let store = Store::start(file(&path), Commit::Each, |_| Ok(())).unwrap();
    store.put(b"key", b"value", Box::new(|done| done.unwrap()));
    drop(store);
    let database = Database::open(&path).unwrap();
    let read = database.begin_read().unwrap();
    let names: Vec<String> = read
        .list_tables()
        .unwrap()
        .map(|table| redb::TableHandle::name(&table).to_string())
        .collect();
    assert_eq!(names, ["attempts", "meta"]);
    let meta = read.open_table(META).unwrap();
    let meta: Vec<_> = meta.iter().unwrap().map(Result::unwrap).collect();
    assert_eq!(meta.len(), 1);
    assert_eq!((meta[0].0.value(), meta[0].1.value()), ("version", 1));
    let attempts = read.open_table(ATTEMPTS).unwrap();
    let value = attempts.get(&b"key"[..]).unwrap().unwrap();
    assert_eq!(value.value(), b"value");
}

#[test]
fn tables_of_these_names_are_read() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("store");
    let database = Database::create(&path).unwrap();
    let write = database.begin_write().unwrap();
    write
        .open_table(META)
        .unwrap()
        .insert("version", 1)
        .unwrap();
    write
        .open_table(ATTEMPTS)
        .unwrap()
        .insert(&b"key"[..], &b"value"[..])
        .unwrap();
    write.commit().unwrap();
    drop(database);
    assert_eq!(entries(&path), [(b"key".to_vec(), b"value".to_vec())]);
}
