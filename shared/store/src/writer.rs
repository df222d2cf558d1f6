//! The one thread that writes the file: it gathers jobs into commits, and opens the file again after a fault.

use crate::database::{open, write, Unopened};
use crate::disk::Opener;
use crate::{Commit, Counts, Done, Fault, Held};
use crossbeam_channel::{Receiver, RecvTimeoutError};
use redb::Database;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Most jobs in one commit.
const GROUP: usize = 1_024;
/// How long a file that failed is left alone.
const PAUSE: Duration = Duration::from_millis(200);

/// Takes what a store held, or says why it can't be used.
pub(crate) type Loaded = Box<dyn FnMut(Held) -> Result<(), String> + Send>;

/// What the writer is asked to do.
pub(crate) enum Job {
    Put(Vec<u8>, Vec<u8>, Done),
    Remove(Vec<u8>),
}

/// The state of the writing thread.
pub(crate) struct Writer {
    pub(crate) opener: Opener,
    pub(crate) loaded: Option<Loaded>,
    pub(crate) database: Result<Database, String>,
    pub(crate) jobs: Receiver<Job>,
    pub(crate) commit: Commit,
    pub(crate) counts: Arc<Counts>,
}

impl Writer {
    /// Serves jobs until the store is dropped.
    pub(crate) fn run(mut self) {
        let most = if self.commit == Commit::Each {
            1
        } else {
            GROUP
        };
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
            let group: Vec<Job> = first
                .into_iter()
                .chain(self.jobs.try_iter())
                .take(most)
                .collect();
            if group.is_empty() {
                continue;
            }
            let wrote = match &self.database {
                Ok(database) => write(database, &group).map_err(|e| e.to_string()),
                Err(why) => Err(why.clone()),
            };
            self.counts.commits.fetch_add(1, Ordering::Relaxed);
            let count = if wrote.is_ok() {
                &self.counts.written
            } else {
                &self.counts.failed
            };
            count.fetch_add(group.len() as u64, Ordering::Relaxed);
            if let (Err(why), true) = (&wrote, self.database.is_ok()) {
                // Guards against a database that refuses all after one failed write: it is opened anew.
                tracing::warn!(target: "foldmux_store", "store: {why}");
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
