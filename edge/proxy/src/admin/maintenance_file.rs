//! The file by which the processes that serve one port share the maintenance set. It is always complete, and one
//! process changes it at a time.
//!
//! A change reads the stored set, modifies it and replaces the file by a rename. It holds a lock on another file in the
//! same directory meanwhile, so that neither of two concurrent changes is lost. Reading takes no lock.

use foldmux_operations::maintenance::MaintenanceSet;
use std::fs::{File, TryLockError};
use std::io;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for the lock; its holder only reads and writes one small file.
const LOCK_TIMEOUT: Duration = Duration::from_millis(1_000);
const LOCK_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// The file with the maintenance set.
pub struct MaintenanceFile {
    path: PathBuf,
}

impl MaintenanceFile {
    /// A maintenance file at `path`. The lock file has the same name with the extension `lock`.
    pub fn new(path: PathBuf) -> MaintenanceFile {
        MaintenanceFile { path }
    }

    /// The stored set; `None` if there is none, or it can't be read.
    pub fn read(&self) -> Option<MaintenanceSet> {
        let text = std::fs::read_to_string(&self.path).ok()?;
        Some(MaintenanceSet::parse(&text))
    }

    /// Changes the stored set, or `own` if none is stored. Returns the changed set and the result of `change`. A set
    /// that can't be stored is logged, and the change applies to this process only.
    pub fn change<T>(
        &self,
        own: &MaintenanceSet,
        change: impl FnOnce(&mut MaintenanceSet) -> T,
    ) -> (MaintenanceSet, T) {
        let locked = self.lock();
        let stored = self.read();
        let mut set = stored.clone().unwrap_or_else(|| own.clone());
        let result = change(&mut set);
        let written = match stored.as_ref() == Some(&set) {
            true => Ok(()),
            false => self.write(&set),
        };
        let path = self.path.display();
        if let Err(error) = written {
            tracing::warn!("maintenance: not stored in {path}: {error}");
        }
        // The set was written without the lock: usually there is no other process.
        if let Err(error) = locked {
            tracing::warn!("maintenance: {path} changed without its lock: {error}");
        }
        (set, result)
    }

    fn write(&self, set: &MaintenanceSet) -> io::Result<()> {
        let process = std::process::id();
        let replacement = self.path.with_extension(format!("new{process}"));
        std::fs::write(&replacement, set.render())?;
        std::fs::rename(&replacement, &self.path)
    }

    /// Takes the lock. It is released when the file is closed, also when the process dies.
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
