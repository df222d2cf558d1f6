//! The store: what was told as written is there after each opening anew, as a plain map has it; a spoilt file is refused or
//! read, and never more than that.

use arbitrary::{Arbitrary, Unstructured};
use foldmux_store::{file, Commit, Held, Store};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

#[derive(Arbitrary, Debug)]
enum Step {
    Put(u8, Vec<u8>),
    Remove(u8),
    Anew,
}

/// Most steps of one input: each commit is on the disk.
const STEPS: usize = 24;

type Table = BTreeMap<Vec<u8>, Vec<u8>>;

fn open(path: &Path) -> Result<(Store, Table), String> {
    let loaded: Arc<Mutex<Option<Held>>> = Arc::default();
    let own = loaded.clone();
    let store = Store::start(file(path), Commit::Group, move |held| {
        *own.lock().map_err(|e| e.to_string())? = Some(held);
        Ok(())
    })?;
    let held = loaded.lock().map_err(|e| e.to_string())?.take();
    Ok((
        store,
        held.ok_or("opened, and nothing was told")?
            .into_iter()
            .collect(),
    ))
}

pub fn kept(bytes: &[u8]) -> Result<(), String> {
    let folder = tempfile::tempdir().map_err(|e| e.to_string())?;
    let path = folder.path().join("store");
    let mut draw = Unstructured::new(bytes);
    let steps: Vec<Step> = draw
        .arbitrary_iter()
        .map_err(|e| e.to_string())?
        .flatten()
        .take(STEPS)
        .collect();
    let (mut store, mut table) = (open(&path)?.0, Table::new());
    let (told, heard) = channel();
    for step in steps {
        match step {
            Step::Put(key, value) => {
                let told = told.clone();
                store.put(&[key], &value, Box::new(move |done| drop(told.send(done))));
                heard
                    .recv()
                    .map_err(|e| e.to_string())?
                    .map_err(|fault| fault.to_string())?;
                table.insert(vec![key], value);
            }
            Step::Remove(key) => {
                store.remove(&[key]);
                table.remove(&vec![key]);
            }
            Step::Anew => {
                drop(store);
                let (next, held) = open(&path)?;
                store = next;
                if held != table {
                    return Err(format!("{held:?} in place of {table:?}"));
                }
            }
        }
    }
    drop(store);
    // One byte of the file is another: it is refused, or opens. The library ends the thread on some of these
    // ("Malformed allocator state"), which ends a start as a refusal does, though not in one plain line: known, and open.
    let mut whole = std::fs::read(&path).map_err(|e| e.to_string())?;
    let at = bytes
        .iter()
        .fold(17usize, |n, b| n.wrapping_mul(31) + *b as usize)
        % whole.len().max(1);
    whole[at] ^= 1 << (bytes.len() & 7);
    std::fs::write(&path, whole).map_err(|e| e.to_string())?;
    drop(std::panic::catch_unwind(|| drop(open(&path))));
    Ok(())
}
