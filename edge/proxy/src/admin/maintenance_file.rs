//! The set of pop caches out by hand, as the processes of one place share it: one file, always whole, changed by one
//! process at a time.
//!
//! A change reads what is kept, changes that and puts the whole in its place by a rename, all under a lock on a file beside
//! it: of two changes at one moment both hold. Reading takes no lock.

use foldmux_operations::maintenance::Maintenance;
use std::fs::{File, TryLockError};
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Longest wait for the lock: a holder has it for the reading and writing of one small file.
const LOCK_FOR: Duration = Duration::from_millis(1_000);
const LOOK_EVERY: Duration = Duration::from_millis(1);

pub struct MaintenanceFile {
    file: PathBuf,
}

impl MaintenanceFile {
    pub fn new(file: PathBuf) -> MaintenanceFile {
        MaintenanceFile { file }
    }

    /// What is kept; none where nothing is, or it can't be read.
    pub fn read(&self) -> Option<Maintenance> {
        std::fs::read_to_string(&self.file)
            .ok()
            .as_deref()
            .map(Maintenance::parse)
    }

    /// Changes what is kept, or `own` where nothing is: the set as it is then, and what `change` gives. Where it can't be
    /// kept the log says so, and it holds in this process alone.
    pub fn change<T>(
        &self,
        own: &Maintenance,
        change: impl FnOnce(&mut Maintenance) -> T,
    ) -> (Maintenance, T) {
        let locked = self.lock();
        let before = self.read();
        let mut set = before.clone().unwrap_or_else(|| own.clone());
        let came = change(&mut set);
        let written = if before.as_ref() == Some(&set) {
            Ok(())
        } else {
            self.write(&set)
        };
        let file = self.file.display();
        written
            .err()
            .iter()
            .for_each(|e| tracing::warn!("maintenance: not kept in {file}: {e}"));
        // Kept all the same, as where no other process is there.
        locked
            .err()
            .iter()
            .for_each(|e| tracing::warn!("maintenance: {file} changed without its lock: {e}"));
        (set, came)
    }

    fn write(&self, set: &Maintenance) -> io::Result<()> {
        let fresh = self
            .file
            .with_extension(format!("new{}", std::process::id()));
        std::fs::write(&fresh, set.render())?;
        std::fs::rename(&fresh, &self.file)
    }

    /// The lock, given back when the file is dropped, also by a process that dies.
    fn lock(&self) -> io::Result<File> {
        let until = Instant::now() + LOCK_FOR;
        let file = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(self.file.with_extension("lock"))?;
        loop {
            match file.try_lock() {
                Ok(()) => return Ok(file),
                Err(TryLockError::Error(e)) => return Err(e),
                Err(TryLockError::WouldBlock) if Instant::now() < until => {
                    std::thread::sleep(LOOK_EVERY)
                }
                Err(TryLockError::WouldBlock) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn of_changes_at_one_moment_all_hold() {
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("kept");
        let start = std::sync::Barrier::new(4);
        std::thread::scope(|scope| {
            for n in 0..4 {
                let (file, start) = (file.clone(), &start);
                scope.spawn(move || {
                    // Each as a process of its own would: the file is all that they share.
                    let kept = MaintenanceFile::new(file);
                    start.wait();
                    for k in 0..20 {
                        let (set, _) = kept.change(&Maintenance::default(), |set| {
                            set.on(&format!("s-{n}-{k}"), true)
                        });
                        assert!(set.holds(&format!("s-{n}-{k}")));
                        if k % 2 == 1 {
                            kept.change(&set, |set| set.off(&format!("s-{n}-{}", k - 1), true))
                                .1
                                .unwrap();
                        }
                    }
                });
            }
        });
        let set = MaintenanceFile::new(file).read().unwrap();
        assert_eq!(set.len(), 4 * 10);
        assert!((0..4).all(|n| set.holds(&format!("s-{n}-19")) && !set.holds(&format!("s-{n}-18"))));
    }

    #[test]
    fn a_set_that_cannot_be_kept_holds_in_this_process() {
        let kept = MaintenanceFile::new("/nowhere/at/all/kept".into());
        let (set, changed) = kept.change(&Maintenance::default(), |set| set.on("s-1", true));
        assert!(set.holds("s-1") && changed == Ok(true) && kept.read().is_none());
        let (set, _) = kept.change(&set, |set| set.on("s-2", true));
        assert!(set.holds("s-1") && set.holds("s-2"));
    }
}
