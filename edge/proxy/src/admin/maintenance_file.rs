//! The maintenance set as the processes that serve one port share it: one file, always whole, changed by one process at
//! a time.
//!
//! A change reads the stored set, changes it and replaces the file by a rename, all under a lock on a file beside it, so
//! that of two concurrent changes neither is lost. Reading takes no lock.

use foldmux_operations::maintenance::MaintenanceSet;
use std::fs::{File, TryLockError};
use std::io;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for the lock. A holder reads and writes one small file.
const LOCK_TIMEOUT: Duration = Duration::from_millis(1_000);
const LOCK_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Where the maintenance set is stored.
pub struct MaintenanceFile {
    path: PathBuf,
}

impl MaintenanceFile {
    /// At `path`; the lock is beside it.
    pub fn new(path: PathBuf) -> MaintenanceFile {
        MaintenanceFile { path }
    }

    /// The stored set; `None` where there is none, or it can't be read.
    pub fn read(&self) -> Option<MaintenanceSet> {
        let text = std::fs::read_to_string(&self.path).ok()?;
        Some(MaintenanceSet::parse(&text))
    }

    /// Changes the stored set, or `own` where none is stored. Returns the set as it is then, and what `change` returned.
    /// Where it can't be stored the log says so, and the change holds in this process alone.
    pub fn change<T>(
        &self,
        own: &MaintenanceSet,
        change: impl FnOnce(&mut MaintenanceSet) -> T,
    ) -> (MaintenanceSet, T) {
        let locked = self.lock();
        let stored = self.read();
        let mut set = stored.clone().unwrap_or_else(|| own.clone());
        let changed = change(&mut set);
        let written = match stored.as_ref() == Some(&set) {
            true => Ok(()),
            false => self.write(&set),
        };
        let path = self.path.display();
        if let Err(error) = written {
            tracing::warn!("maintenance: not kept in {path}: {error}");
        }
        // Written all the same: mostly there is no other process.
        if let Err(error) = locked {
            tracing::warn!("maintenance: {path} changed without its lock: {error}");
        }
        (set, changed)
    }

    fn write(&self, set: &MaintenanceSet) -> io::Result<()> {
        let process = std::process::id();
        let replacement = self.path.with_extension(format!("new{process}"));
        std::fs::write(&replacement, set.render())?;
        std::fs::rename(&replacement, &self.path)
    }

    /// The lock, released when the file is closed, also where the process dies.
    fn lock(&self) -> io::Result<File> {
        let deadline = Instant::now() + LOCK_TIMEOUT;
        let file = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(self.path.with_extension("lock"))?;
        loop {
            match file.try_lock() {
                Ok(()) => return Ok(file),
                Err(TryLockError::Error(error)) => return Err(error),
                Err(TryLockError::WouldBlock) if Instant::now() < deadline => {
                    thread::sleep(LOCK_POLL_INTERVAL)
                }
                Err(TryLockError::WouldBlock) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }
}

#[cfg(test)]
mod tests;
