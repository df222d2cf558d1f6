//! Shares the machine's memory among the processes that serve one address.
//!
//! In an upgrade the old and the new process count as one edge proxy, with one limit on memory. Each has a file in the directory
//! that they share, holds a lock on it for as long as it lives, and publishes in it how many bytes its buffers may take, with
//! what it needs beside them beyond its even part. A process takes what the others leave, up to an equal share; one that finds
//! itself over its share lets responses wait until it is not.
//!
//! How much that is decides [`budget`].

use crate::shared_directory::shared_directory;
use budget::Share;
use foldmux_core::buffers::BufferPool;
use foldmux_fronts::listen::named;
use std::fs::{File, TryLockError};
use std::io::{self, Seek, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub use budget::MemoryBudget;

mod budget;

/// Stack of the thread (bytes).
const STACK_SIZE: usize = 64 * 1024;
/// How often a process looks for others.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// The line of `/proc/self/status` with the memory that is this process's alone, in KiB.
const PRIVATE_MEMORY: &str = "RssAnon:";

/// Starts the thread that shares the memory with the other processes that listen on `address`, through the directory that they
/// have in common.
/// Without one, the process has the memory for itself. The first share is taken before this returns, if it can be.
///
/// # Errors
///
/// Returns an error if no thread can be created.
pub fn start(
    address: SocketAddr,
    buffers: Arc<BufferPool>,
    budget: MemoryBudget,
) -> Result<(), String> {
    let mut sharing = Sharing::new(shared_directory(), address, buffers.clone(), budget);
    let mut sync = move || sharing.sync();
    sync();
    named("memory-share", STACK_SIZE, move || loop {
        thread::sleep(SYNC_INTERVAL);
        buffers.release_unused(Instant::now());
        sync();
    })?;
    Ok(())
}

/// Joins the processes that share the memory, and follows them.
struct Sharing {
    /// `None`: the process has nobody to share with.
    directory: Option<PathBuf>,
    address: SocketAddr,
    own: OwnMemory,
    /// `None` until it could join the others.
    share: Option<MemoryShare>,
    /// The last look failed, which is logged once.
    fails: bool,
}

impl Sharing {
    fn new(
        directory: Option<PathBuf>,
        address: SocketAddr,
        buffers: Arc<BufferPool>,
        budget: MemoryBudget,
    ) -> Sharing {
        Sharing {
            directory,
            address,
            own: OwnMemory { buffers, budget },
            share: None,
            fails: false,
        }
    }

    /// Takes the share that the others leave. Where that fails, the share stays as it is until the next look.
    fn sync(&mut self) {
        let result = self.try_sync();
        let failed_before = std::mem::replace(&mut self.fails, result.is_err());
        match result {
            Err(error) if !failed_before => {
                tracing::warn!("memory: the share stays as it is: {error}");
            }
            Ok(()) if failed_before => tracing::info!("memory: shared again"),
            _ => {}
        }
    }

    fn try_sync(&mut self) -> io::Result<()> {
        if let Some(share) = &mut self.share {
            return share.sync();
        }
        let Some(directory) = &self.directory else {
            self.own.take_share(&[]);
            return Ok(());
        };
        let share = MemoryShare::join(directory, self.address, self.own.clone())?;
        self.share = Some(share);
        Ok(())
    }
}

/// The memory of this process.
#[derive(Clone)]
struct OwnMemory {
    buffers: Arc<BufferPool>,
    budget: MemoryBudget,
}

impl OwnMemory {
    /// Has the buffers take what the other processes leave. Returns what this one takes: its buffers, and what it needs
    /// beside them beyond its even part.
    fn take_share(&self, others: &[usize]) -> usize {
        let taken = self.buffers.taken_bytes();
        let overhead = private_bytes().unwrap_or(0).saturating_sub(taken);
        let Share { buffers, excess } = self.budget.share(overhead, others);
        self.buffers.set_limit(buffers);
        buffers.max(taken) + excess
    }
}

/// Memory that is this process's alone: no file's pages, and nothing that is shared.
fn private_bytes() -> Option<usize> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(PRIVATE_MEMORY))?;
    let kilobytes: usize = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}

/// This process's part of the memory, and its file.
struct MemoryShare {
    own: OwnMemory,
    directory: PathBuf,
    /// What the names of the files of all processes of this address begin with.
    prefix: String,
    own_name: String,
    /// Locked for as long as the process lives.
    own_file: File,
    /// Bytes published last.
    published: Option<usize>,
}

impl MemoryShare {
    /// Joins the processes that listen on `address` and share `directory`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process's file can't be created and locked, or the first share can't be taken.
    fn join(directory: &Path, address: SocketAddr, own: OwnMemory) -> io::Result<MemoryShare> {
        let prefix = format!("foldmux-memory-{address}-");
        let id = unique_id()?;
        let own_name = format!("{prefix}{id}");
        let unlocked = directory.join(format!("foldmux-joins-{address}-{id}"));
        let own_file = create_locked(&unlocked, &directory.join(&own_name))?;
        let mut share = MemoryShare {
            own,
            directory: directory.to_path_buf(),
            prefix,
            own_name,
            own_file,
            published: None,
        };
        share.sync()?;
        Ok(share)
    }

    /// Takes the share that the others leave, and publishes it.
    fn sync(&mut self) -> io::Result<()> {
        let others = self.others()?;
        let taken = self.own.take_share(&others);
        self.publish(taken)
    }

    /// What the other live processes published. The files of those that have ended are removed.
    fn others(&self) -> io::Result<Vec<usize>> {
        let mut published = Vec::new();
        for entry in std::fs::read_dir(&self.directory)? {
            let name = entry?.file_name();
            let Some(name) = name.to_str().filter(|name| name.starts_with(&self.prefix)) else {
                continue;
            };
            if name == self.own_name {
                continue;
            }
            published.extend(read_published(&self.directory.join(name))?);
        }
        Ok(published)
    }

    fn publish(&mut self, bytes: usize) -> io::Result<()> {
        if self.published == Some(bytes) {
            return Ok(());
        }
        // One write of a fixed length, so that no reader sees a part of it.
        self.own_file.rewind()?;
        self.own_file
            .write_all(format!("{bytes:020}\n").as_bytes())?;
        self.published = Some(bytes);
        Ok(())
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(self.directory.join(&self.own_name));
    }
}

/// Creates a file and locks it before it has its name: under that it is locked from the first moment, so that no other process
/// takes it for that of one that has ended.
fn create_locked(unlocked: &Path, name: &Path) -> io::Result<File> {
    let file = File::create_new(unlocked)?;
    let locked = lock_and_rename(&file, unlocked, name);
    if locked.is_err() {
        let _ = std::fs::remove_file(unlocked);
    }
    locked.map(|()| file)
}

fn lock_and_rename(file: &File, unlocked: &Path, name: &Path) -> io::Result<()> {
    file.try_lock()?;
    std::fs::rename(unlocked, name)
}

/// Tells this process's file from those of all others: processes in different namespaces may have one process id.
fn unique_id() -> io::Result<String> {
    let mut random = [0; 8];
    getrandom::fill(&mut random).map_err(io::Error::from)?;
    let random = u64::from_le_bytes(random);
    Ok(format!("{}-{random:016x}", std::process::id()))
}

/// What the process with this file published; `None` if it has ended. One that has not published yet counts with 0: it waits for
/// what this process leaves.
fn read_published(path: &Path) -> io::Result<Option<usize>> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    match file.try_lock_shared() {
        Ok(()) => {
            let _ = std::fs::remove_file(path);
            return Ok(None);
        }
        Err(TryLockError::WouldBlock) => {}
        Err(TryLockError::Error(error)) => return Err(error),
    }
    let text = io::read_to_string(file)?;
    Ok(Some(text.trim().parse().unwrap_or(0)))
}

#[cfg(test)]
mod tests;
