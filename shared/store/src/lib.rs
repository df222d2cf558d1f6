//! A crash-safe table of small values on redb, which commits whole transactions or none and checks what it reads.
//!
//! Owns: the file, the one thread that writes it, the queue to that thread (bounded), and how writes are gathered into
//! one commit ([`Commit`]). Whoever writes is told when the value is on the disk, or why it is not.
//!
//! May not: know what the values mean, keep them in memory, read a clock for a decision, or start anew over a file that
//! it can't read. A file that fails in service is opened again until it works; until then each write is refused.

use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender, TrySendError};
use redb::backends::FileBackend;
use redb::{Builder, Database, DatabaseError, Durability, ReadableDatabase, ReadableTable, StorageBackend};
use redb::{StorageError, TableDefinition};
use std::fmt;
use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("attempts");
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Of the tables in the file; another one is not read.
const VERSION: u64 = 1;
/// Jobs that wait for the writer; beyond that writes are refused at once.
const QUEUE: usize = 4_096;
/// Most jobs in one commit.
const GROUP: usize = 1_024;
/// Memory for the file's pages.
const CACHE: usize = 8 * 1024 * 1024;
/// How long a file that failed is left alone.
const PAUSE: Duration = Duration::from_millis(200);
const STACK: usize = 512 * 1024;

/// When a write is told to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Commit {
    /// At once, and written behind: a crash may lose it. For measuring what the others cost.
    Behind,
    /// Each by itself, once it is on the disk.
    Each,
    /// All that wait when the disk is free, together, once they are on it.
    Group,
}

/// Why a write was not made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// More writes wait than the queue holds.
    Full,
    Disk(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Full => f.write_str("too many writes wait for the disk"),
            Fault::Disk(why) => write!(f, "the disk: {why}"),
        }
    }
}

pub type Done = Box<dyn FnOnce(Result<(), Fault>) + Send>;
/// Opens the file's bytes anew, each time that it must be opened.
pub type Opener = Box<dyn FnMut() -> io::Result<Disk> + Send>;
/// Takes what a store held, or says why it can't be used.
type Loaded = Box<dyn FnMut(Held) -> Result<(), String> + Send>;
/// All that a store held when it was opened.
pub type Held = Vec<(Vec<u8>, Vec<u8>)>;

enum Job {
    Put(Vec<u8>, Vec<u8>, Done),
    Remove(Vec<u8>),
}

/// Counts, for the log.
#[derive(Debug, Default)]
pub struct Counts {
    pub written: AtomicU64,
    pub commits: AtomicU64,
    pub failed: AtomicU64,
}

pub struct Store {
    jobs: Option<Sender<Job>>,
    writer: Option<thread::JoinHandle<()>>,
    commit: Commit,
    pub counts: Arc<Counts>,
}

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
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path)?;
        let file = FileBackend::new(file).map_err(|e| io::Error::other(e.to_string()))?;
        Ok(Disk { file, fails: fails.clone() })
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
        match self.fails.as_ref().is_some_and(|fails| fails.load(Ordering::SeqCst)) {
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

enum Unopened {
    /// Of the disk: it may pass.
    Disk(String),
    /// What is there can't be used, and must not be written over.
    Unusable(String),
}

fn open(opener: &mut Opener) -> Result<(Database, Held), Unopened> {
    let disk = |e: &dyn fmt::Display| Unopened::Disk(e.to_string());
    let backend = opener().map_err(|e| disk(&e))?;
    let database = Builder::new().set_cache_size(CACHE).create_with_backend(backend);
    let database = database.map_err(|error| match &error {
        DatabaseError::Storage(StorageError::Io(e)) if e.kind() != io::ErrorKind::InvalidData => disk(&error),
        DatabaseError::Storage(StorageError::PreviousIo) => disk(&error),
        _ => Unopened::Unusable(error.to_string()),
    })?;
    let held = read(&database).map_err(|error| match error {
        redb::Error::Io(_) | redb::Error::PreviousIo => disk(&error),
        _ => Unopened::Unusable(error.to_string()),
    })?;
    Ok((database, held))
}

fn read(database: &Database) -> Result<Held, redb::Error> {
    let write = database.begin_write()?;
    {
        let mut meta = write.open_table(META)?;
        let version = meta.get("version")?.map(|v| v.value());
        match version {
            None => drop(meta.insert("version", VERSION)?),
            Some(VERSION) => {}
            Some(other) => {
                let why = format!("its version is {other}, and {VERSION} is what this program reads");
                return Err(redb::Error::Corrupted(why));
            }
        }
        write.open_table(TABLE)?;
    }
    write.commit()?;
    let read = database.begin_read()?;
    let table = read.open_table(TABLE)?;
    table
        .iter()?
        .map(|entry| entry.map(|(k, v)| (k.value().to_vec(), v.value().to_vec())))
        .collect::<Result<_, _>>()
        .map_err(Into::into)
}

impl Store {
    /// Opens a store. `loaded` takes all that it held, once: before this returns, or, where the disk fails now, when it
    /// has been opened; until then each write is refused. An error where what is there can't be used, or where `loaded`
    /// refuses it: found late, that leaves the store closed.
    pub fn start(
        mut opener: Opener,
        commit: Commit,
        mut loaded: impl FnMut(Held) -> Result<(), String> + Send + 'static,
    ) -> Result<Store, String> {
        let first = match open(&mut opener) {
            Ok((database, held)) => {
                loaded(held)?;
                Ok(database)
            }
            Err(Unopened::Disk(why)) => {
                tracing::warn!("store: {why}; opened again until it works, and each write refused meanwhile");
                Err(why)
            }
            Err(Unopened::Unusable(why)) => return Err(why),
        };
        let (sender, jobs) = bounded(QUEUE);
        let counts = Arc::new(Counts::default());
        let loaded = first.is_err().then(|| Box::new(loaded) as Loaded);
        let writer = Writer { opener, loaded, database: first, jobs, commit, counts: counts.clone() };
        let thread = thread::Builder::new().name("store".into()).stack_size(STACK);
        let writer = thread.spawn(move || writer.run()).map_err(|e| format!("thread store: {e}"))?;
        Ok(Store { jobs: Some(sender), writer: Some(writer), commit, counts })
    }

    /// Writes a value. `done` is called once: on this thread where the queue is full, else on the writer's.
    pub fn put(&self, key: &[u8], value: &[u8], done: Done) {
        let Some(jobs) = &self.jobs else { return done(Err(Fault::Full)) };
        let behind = self.commit == Commit::Behind;
        let (now, then): (Option<Done>, Done) =
            if behind { (Some(done), Box::new(|_| ())) } else { (None, done) };
        match jobs.try_send(Job::Put(key.to_vec(), value.to_vec(), then)) {
            Ok(()) => now.into_iter().for_each(|done| done(Ok(()))),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => {
                let Job::Put(_, _, then) = job else { return };
                now.unwrap_or(then)(Err(Fault::Full));
            }
        }
    }

    /// Removes a value, some time. Where the queue is full it stays, and is found again at the next start.
    pub fn remove(&self, key: &[u8]) {
        self.jobs.iter().for_each(|jobs| drop(jobs.try_send(Job::Remove(key.to_vec()))));
    }
}

impl Drop for Store {
    /// Writes what waits, and closes the file.
    fn drop(&mut self) {
        self.jobs = None;
        self.writer.take().into_iter().for_each(|writer| drop(writer.join()));
    }
}

struct Writer {
    opener: Opener,
    loaded: Option<Loaded>,
    database: Result<Database, String>,
    jobs: Receiver<Job>,
    commit: Commit,
    counts: Arc<Counts>,
}

impl Writer {
    fn run(mut self) {
        let most = if self.commit == Commit::Each { 1 } else { GROUP };
        loop {
            let heard = match &self.database {
                Ok(_) => self.jobs.recv().map_err(|_| RecvTimeoutError::Disconnected),
                // Opened again now and then, also where nobody writes.
                Err(_) => self.jobs.recv_timeout(PAUSE),
            };
            let first = match heard {
                Ok(job) => Some(job),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if self.database.is_err() {
                self.reopen();
            }
            let group: Vec<Job> = first.into_iter().chain(self.jobs.try_iter()).take(most).collect();
            if group.is_empty() {
                continue;
            }
            let wrote = match &self.database {
                Ok(database) => write(database, &group).map_err(|e| e.to_string()),
                Err(why) => Err(why.clone()),
            };
            self.counts.commits.fetch_add(1, Ordering::Relaxed);
            let count = if wrote.is_ok() { &self.counts.written } else { &self.counts.failed };
            count.fetch_add(group.len() as u64, Ordering::Relaxed);
            if let (Err(why), true) = (&wrote, self.database.is_ok()) {
                // Guards against a database that refuses all after one failed write: it is opened anew.
                tracing::warn!("store: {why}");
                self.database = Err(why.clone());
            }
            for job in group {
                if let Job::Put(_, _, done) = job {
                    done(wrote.clone().map_err(Fault::Disk));
                }
            }
        }
    }

    fn reopen(&mut self) {
        match open(&mut self.opener) {
            Ok((database, held)) => {
                let taken = self.loaded.as_mut().map_or(Ok(()), |take| take(held));
                if taken.is_ok() {
                    self.loaded = None;
                }
                self.database = taken.map(|()| database);
            }
            Err(Unopened::Disk(why) | Unopened::Unusable(why)) => self.database = Err(why),
        }
    }
}

fn write(database: &Database, jobs: &[Job]) -> Result<(), redb::Error> {
    let mut write = database.begin_write()?;
    write.set_durability(Durability::Immediate).map_err(|e| redb::Error::Corrupted(e.to_string()))?;
    {
        let mut table = write.open_table(TABLE)?;
        for job in jobs {
            match job {
                Job::Put(key, value, _) => drop(table.insert(key.as_slice(), value.as_slice())?),
                Job::Remove(key) => drop(table.remove(key.as_slice())?),
            }
        }
    }
    write.commit()?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crossbeam_channel::unbounded;

    const LONG: Duration = Duration::from_secs(30);

    fn put(store: &Store, key: &[u8], value: &[u8]) -> Result<(), Fault> {
        let (told, heard) = bounded(1);
        store.put(key, value, Box::new(move |result| drop(told.send(result))));
        heard.recv_timeout(LONG).expect("an end")
    }

    fn start(opener: Opener, commit: Commit) -> (Result<Store, String>, Receiver<Held>) {
        let (told, heard) = unbounded();
        (Store::start(opener, commit, move |held| told.send(held).map_err(|e| e.to_string())), heard)
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
                store.put(&key, b"value", Box::new(move |result| drop(told.send(result))));
            }
            (0..500).for_each(|_| heard.recv_timeout(LONG).unwrap().unwrap());
            store.remove(&[&[commit as u8][..], &7u32.to_be_bytes()].concat());
            let commits = store.counts.commits.load(Ordering::SeqCst);
            assert!(if commit == Commit::Each { commits >= 500 } else { commits < 500 }, "{commits}");
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
        assert!(keys.contains(&&b"one"[..]) && keys.contains(&&b"three"[..]), "{keys:?}");
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
        assert_eq!(held.recv_timeout(LONG).unwrap(), vec![(b"one".to_vec(), b"1".to_vec())]);
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
}
