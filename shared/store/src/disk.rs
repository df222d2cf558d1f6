//! The file under a store, as redb reads and writes it.

use redb::backends::FileBackend;
use redb::StorageBackend;
use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Opens the file's bytes anew, each time that it must be opened.
pub type Opener = Box<dyn FnMut() -> io::Result<Disk> + Send>;

/// A store's file; made where there is none.
pub fn file(path: &Path) -> Opener {
    on(path, None)
}

/// One whose writes fail while `fails` is set, for tests of whoever keeps a store.
pub fn failing(path: &Path, fails: Arc<AtomicBool>) -> Opener {
    on(path, Some(fails))
}

fn on(path: &Path, fails: Option<Arc<AtomicBool>>) -> Opener {
    let path = path.to_path_buf();
    Box::new(move || {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)?;
        let file = FileBackend::new(file).map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Disk {
            file,
            fails: fails.clone(),
        })
    })
}

/// A store's file, as redb reads and writes it.
#[derive(Debug)]
pub struct Disk {
    file: FileBackend,
    /// For tests of whoever keeps a store: writes fail while it is set, as on a disk that is full.
    fails: Option<Arc<AtomicBool>>,
}

type Did<T> = io::Result<T>;
type Locked<T> = Result<T, redb::BackendError>;
type At = std::ops::Bound<u64>;

impl Disk {
    fn check(&self) -> Did<()> {
        match self
            .fails
            .as_ref()
            .is_some_and(|fails| fails.load(Ordering::SeqCst))
        {
            true => Err(io::Error::from(io::ErrorKind::StorageFull)),
            false => Ok(()),
        }
    }
}

/// All goes to the file. Its locks too: they guard against two processes that write one ledger.
impl StorageBackend for Disk {
    fn len(&self) -> Did<u64> {
        self.file.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Did<()> {
        self.file.read(offset, out)
    }
    fn set_len(&self, len: u64) -> Did<()> {
        self.check().and_then(|()| self.file.set_len(len))
    }
    fn sync_data(&self) -> Did<()> {
        self.check().and_then(|()| self.file.sync_data())
    }
    fn write(&self, offset: u64, data: &[u8]) -> Did<()> {
        self.check().and_then(|()| self.file.write(offset, data))
    }
    fn close(&self) -> Did<()> {
        self.file.close()
    }
    fn try_lock_range(&self, from: At, to: At) -> Locked<bool> {
        self.file.try_lock_range(from, to)
    }
    fn try_lock_shared_range(&self, from: At, to: At) -> Locked<bool> {
        self.file.try_lock_shared_range(from, to)
    }
    fn lock_range(&self, from: At, to: At) -> Locked<()> {
        self.file.lock_range(from, to)
    }
    fn lock_shared_range(&self, from: At, to: At) -> Locked<()> {
        self.file.lock_shared_range(from, to)
    }
    fn unlock_range(&self, from: At, to: At) -> Locked<()> {
        self.file.unlock_range(from, to)
    }
    fn query_lock_range(&self, from: At, to: At) -> Locked<bool> {
        self.file.query_lock_range(from, to)
    }
}
