//! A crash-safe table of small values on redb, which commits whole transactions or none and checks what it reads.
//!
//! Owns: the file, the one thread that writes it, the queue to that thread (bounded), and how writes are gathered into
//! one commit ([`Commit`]). Whoever writes is told when the value is on the disk, or why it is not.
//!
//! May not: know what the values mean, keep them in memory, read a clock for a decision, or start anew over a file that
//! it can't read. A file that fails in service is opened again until it works; until then each write is refused.

mod database;
mod disk;
mod writer;

pub use disk::{failing, file, Disk, Opener};

use crossbeam_channel::{bounded, Sender, TrySendError};
use database::{open, Unopened};
use std::fmt;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::thread;
use writer::{Job, Loaded, Writer};

/// Jobs that wait for the writer; beyond that writes are refused at once.
const QUEUE: usize = 4_096;
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
    /// The disk refused it, for this reason.
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

/// Told once how a write ended.
pub type Done = Box<dyn FnOnce(Result<(), Fault>) + Send>;
/// All that a store held when it was opened.
pub type Held = Vec<(Vec<u8>, Vec<u8>)>;

/// Counts, for the log.
#[derive(Debug, Default)]
pub struct Counts {
    /// Values written and removed, in commits that succeeded.
    pub written: AtomicU64,
    /// Commits that were tried.
    pub commits: AtomicU64,
    /// Values in commits that failed.
    pub failed: AtomicU64,
}

/// A store that is open; dropped, it writes what waits and closes the file.
pub struct Store {
    jobs: Option<Sender<Job>>,
    writer: Option<thread::JoinHandle<()>>,
    commit: Commit,
    /// Counted by the writing thread.
    pub counts: Arc<Counts>,
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
                tracing::warn!(
                    "store: {why}; opened again until it works, and each write refused meanwhile"
                );
                Err(why)
            }
            Err(Unopened::Unusable(why)) => return Err(why),
        };
        let (sender, jobs) = bounded(QUEUE);
        let counts = Arc::new(Counts::default());
        let loaded = first.is_err().then(|| Box::new(loaded) as Loaded);
        let writer = Writer {
            opener,
            loaded,
            database: first,
            jobs,
            commit,
            counts: counts.clone(),
        };
        let thread = thread::Builder::new()
            .name("store".into())
            .stack_size(STACK);
        let writer = thread
            .spawn(move || writer.run())
            .map_err(|e| format!("thread store: {e}"))?;
        Ok(Store {
            jobs: Some(sender),
            writer: Some(writer),
            commit,
            counts,
        })
    }

    /// Writes a value. `done` is called once: on this thread where the queue is full, else on the writer's.
    pub fn put(&self, key: &[u8], value: &[u8], done: Done) {
        let Some(jobs) = &self.jobs else {
            return done(Err(Fault::Full));
        };
        let behind = self.commit == Commit::Behind;
        let (now, then): (Option<Done>, Done) = if behind {
            (Some(done), Box::new(|_| ()))
        } else {
            (None, done)
        };
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
        self.jobs
            .iter()
            .for_each(|jobs| drop(jobs.try_send(Job::Remove(key.to_vec()))));
    }
}

impl Drop for Store {
    /// Writes what waits, and closes the file.
    fn drop(&mut self) {
        self.jobs = None;
        self.writer
            .take()
            .into_iter()
            .for_each(|writer| drop(writer.join()));
    }
}

#[cfg(test)]
mod tests;
