//! The log file of this process's replica. The next process of the same name recovers from it what the replica promised,
//! and so votes without a new recovery delay.
//!
//! Entries are written, without `fsync`, before a reply leaves: they survive the death of the process, but not of the
//! machine. A reboot shows in the kernel's boot id, and then nothing is recovered. The file with the highest number is the
//! current one, and the process that holds its lock is the replica; another process of the same name waits for the lock.

use foldmux_takeover::{Key, PersistedEntry};
use nix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A file is compacted once it is longer than this, and than four times its length when it was opened or last compacted.
const MIN_COMPACTION_BYTES: u64 = 4 << 20;
/// Before each entry: its length (4 bytes), and the first 8 bytes of its hash.
const ENTRY_HEADER_BYTES: usize = 12;
/// How often [`Log::open`] tries: of processes that start at the same time, only one creates the next file.
const MAX_OPEN_ATTEMPTS: usize = 16;
/// Name of a file that exists while a process waits for the lock.
const WAITING_MARKER: &str = "waits";

/// The first entry of a file. It is encoded with postcard: the order of its fields is the format.
#[derive(Serialize, Deserialize, PartialEq)]
struct Header {
    /// The kernel's boot id.
    boot: String,
    /// Identifies the replica set, the lease and the recovery window. Promises made under others are not recovered.
    fingerprint: String,
    /// When the replica may vote, as [`time_since_boot`] (us).
    votes_at: u64,
}

/// An open log file, locked by this process.
pub struct Log {
    folder: PathBuf,
    number: u64,
    /// Locked until it is closed, so that no other process resumes it.
    file: File,
    header: Header,
    /// In bytes.
    length: u64,
    compact_above: u64,
}

/// What an earlier process left.
enum Existing {
    Resumed(Log, Recovered),
    /// Another process holds the lock.
    Locked,
    /// A file with a higher number exists by now.
    Superseded,
    /// No file, or one of another boot or with another fingerprint.
    None,
}

/// What a process starts with.
pub struct Recovered {
    /// How long the replica abstains from now on (us).
    pub votes_in: u64,
    pub entries: BTreeMap<Key, PersistedEntry>,
}

/// The time since the machine booted, including suspension (us). All its processes read the same clock.
pub fn time_since_boot() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    time.map_or(0, |time| {
        time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1_000
    })
}

fn log_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number}.seat"))
}

/// The numbers of all log files, in no order.
fn log_numbers(folder: &Path) -> io::Result<Vec<u64>> {
    let number = |entry: fs::DirEntry| {
        entry
            .file_name()
            .to_str()?
            .strip_suffix(".seat")?
            .parse()
            .ok()
    };
    Ok(fs::read_dir(folder)?
        .filter_map(|entry| number(entry.ok()?))
        .collect())
}

fn encode_entry<T: Serialize>(to: &mut Vec<u8>, entry: &T) -> io::Result<()> {
    let bytes = postcard::to_allocvec(entry).map_err(io::Error::other)?;
    to.extend((bytes.len() as u32).to_le_bytes());
    to.extend(&blake3::hash(&bytes).as_bytes()[..8]);
    to.extend(bytes);
    Ok(())
}

/// Decodes the next entry and advances `from` behind it. None at the end, or where the entry is incomplete or damaged.
fn decode_entry<'a, T: Deserialize<'a>>(from: &mut &'a [u8]) -> Option<T> {
    let length = u32::from_le_bytes(from.get(..4)?.try_into().ok()?) as usize;
    let bytes = from.get(ENTRY_HEADER_BYTES..ENTRY_HEADER_BYTES + length)?;
    if blake3::hash(bytes).as_bytes()[..8] != from[4..ENTRY_HEADER_BYTES] {
        return None;
    }
    *from = &from[ENTRY_HEADER_BYTES + length..];
    postcard::from_bytes(bytes).ok()
}

impl Log {
    /// Resumes the current file, or creates one where there is none to recover from. None while another process holds the
    /// lock. `window`: how long a replica abstains that lost its state (us).
    ///
    /// # Errors
    ///
    /// When the folder can't be used, or other processes kept creating newer files.
    pub fn open(
        folder: &Path,
        fingerprint: &str,
        window: u64,
    ) -> io::Result<Option<(Log, Recovered)>> {
        fs::create_dir_all(folder)?;
        let boot = fs::read_to_string("/proc/sys/kernel/random/boot_id")?;
        for _ in 0..MAX_OPEN_ATTEMPTS {
            let last = log_numbers(folder)?.into_iter().max().unwrap_or(0);
            match Log::resume(folder, last, &boot, fingerprint)? {
                Existing::Resumed(log, recovered) => {
                    let _ = fs::remove_file(folder.join(WAITING_MARKER));
                    return Ok(Some((log, recovered)));
                }
                Existing::Locked => {
                    fs::write(folder.join(WAITING_MARKER), "")?;
                    return Ok(None);
                }
                Existing::Superseded => {}
                Existing::None => {
                    if let Some(log) = Log::create_next(folder, last, fingerprint, window)? {
                        return Ok(Some((
                            log,
                            Recovered {
                                votes_in: window,
                                entries: BTreeMap::new(),
                            },
                        )));
                    }
                }
            }
        }
        Err(io::Error::other(
            "other processes keep creating newer log files",
        ))
    }

    /// Creates the next file although another process holds the current one. Safe only after this process has abstained
    /// for a whole recovery window. None where another process created the file first.
    pub fn supersede(folder: &Path, fingerprint: &str) -> io::Result<Option<Log>> {
        let last = log_numbers(folder)?.into_iter().max().unwrap_or(0);
        Log::create_next(folder, last, fingerprint, 0)
    }

    fn create_next(
        folder: &Path,
        last: u64,
        fingerprint: &str,
        abstains_for: u64,
    ) -> io::Result<Option<Log>> {
        let boot = fs::read_to_string("/proc/sys/kernel/random/boot_id")?;
        let header = Header {
            boot,
            fingerprint: fingerprint.to_string(),
            votes_at: time_since_boot() + abstains_for,
        };
        Log::create(folder, last + 1, header, &[])
    }

    /// Whether another process waits for the lock.
    pub fn successor_waits(&self) -> bool {
        self.folder.join(WAITING_MARKER).exists()
    }

    fn resume(folder: &Path, number: u64, boot: &str, fingerprint: &str) -> io::Result<Existing> {
        let Ok(mut file) = OpenOptions::new()
            .read(true)
            .append(true)
            .open(log_path(folder, number))
        else {
            return Ok(Existing::None);
        };
        if file.try_lock().is_err() {
            return Ok(Existing::Locked);
        }
        // Checked after locking: the former holder may have created the next file in the meantime.
        if log_numbers(folder)?.into_iter().any(|other| other > number) {
            return Ok(Existing::Superseded);
        }
        let mut bytes = Vec::new();
        io::Read::read_to_end(&mut file, &mut bytes)?;
        let (mut from, now) = (&bytes[..], time_since_boot());
        let Some(header) = decode_entry::<Header>(&mut from)
            .filter(|header| header.boot == boot && header.fingerprint == fingerprint)
        else {
            return Ok(Existing::None);
        };
        let mut entries = BTreeMap::new();
        while let Some((written_at, key, entry)) =
            decode_entry::<(u64, Key, PersistedEntry)>(&mut from)
        {
            entries.insert(key, (written_at, entry));
        }
        // Nothing written behind an incomplete entry could be read, so the file is cut off before it.
        let length = (bytes.len() - from.len()) as u64;
        file.set_len(length)?;
        let aged = |(key, (written_at, entry)): (Key, (u64, PersistedEntry))| {
            Some((key, entry.aged(now.saturating_sub(written_at))?))
        };
        let recovered = Recovered {
            votes_in: header.votes_at.saturating_sub(now),
            entries: entries.into_iter().filter_map(aged).collect(),
        };
        let compact_above = MIN_COMPACTION_BYTES.max(4 * length);
        Ok(Existing::Resumed(
            Log {
                folder: folder.to_path_buf(),
                number,
                file,
                header,
                length,
                compact_above,
            },
            recovered,
        ))
    }

    /// Creates the file with this number and removes those with lower ones. None where another process created it first.
    fn create(
        folder: &Path,
        number: u64,
        header: Header,
        entries: &[(Key, PersistedEntry)],
    ) -> io::Result<Option<Log>> {
        let temporary = folder.join(format!("{number}.{}", std::process::id()));
        let mut file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&temporary)?;
        file.set_len(0)?;
        let mut bytes = Vec::new();
        encode_entry(&mut bytes, &header)?;
        let written_at = time_since_boot();
        entries
            .iter()
            .try_for_each(|(key, entry)| encode_entry(&mut bytes, &(written_at, key, entry)))?;
        file.write_all(&bytes)?;
        file.lock()?;
        // The file gets its name once it is complete and locked. A link, unlike a rename, replaces no existing file.
        let exists = fs::hard_link(&temporary, log_path(folder, number)).is_err();
        fs::remove_file(&temporary)?;
        if exists {
            return Ok(None);
        }
        log_numbers(folder)?
            .into_iter()
            .filter(|n| *n < number)
            .for_each(|n| drop(fs::remove_file(log_path(folder, n))));
        let length = bytes.len() as u64;
        let compact_above = MIN_COMPACTION_BYTES.max(4 * length);
        Ok(Some(Log {
            folder: folder.to_path_buf(),
            number,
            file,
            header,
            length,
            compact_above,
        }))
    }

    /// Whether another process has replaced this one as the replica.
    pub fn is_superseded(&self) -> bool {
        let later = log_numbers(&self.folder)
            .is_ok_and(|all| all.into_iter().any(|other| other > self.number));
        later || !log_path(&self.folder, self.number).exists()
    }

    /// Whether the file is so long that it should be rewritten.
    pub fn needs_compaction(&self) -> bool {
        self.length > self.compact_above
    }

    /// Appends entries; the last one of a key is the one that is recovered.
    pub fn append(&mut self, changed: &[(Key, PersistedEntry)]) -> io::Result<()> {
        let (written_at, mut bytes) = (time_since_boot(), Vec::new());
        changed
            .iter()
            .try_for_each(|(key, entry)| encode_entry(&mut bytes, &(written_at, key, entry)))?;
        self.length += bytes.len() as u64;
        self.file.write_all(&bytes)
    }

    /// Continues in the next file, which begins with these entries alone.
    ///
    /// # Errors
    ///
    /// When the file can't be written, or another process has replaced this one as the replica.
    pub fn rewrite(&mut self, entries: &[(Key, PersistedEntry)]) -> io::Result<()> {
        if self.is_superseded() {
            return Err(io::Error::other(
                "another process has created a newer log file",
            ));
        }
        let Header {
            boot,
            fingerprint,
            votes_at,
        } = &self.header;
        let header = Header {
            boot: boot.clone(),
            fingerprint: fingerprint.clone(),
            votes_at: *votes_at,
        };
        let log = Log::create(&self.folder, self.number + 1, header, entries)?;
        *self =
            log.ok_or_else(|| io::Error::other("another process has created a newer log file"))?;
        Ok(())
    }

    /// Empties the file, which lacks some of what was promised, so that nothing is recovered from it.
    pub fn invalidate(&mut self) {
        let _ = self.file.set_len(0);
    }
}

#[cfg(test)]
#[path = "log_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "log_format_tests.rs"]
mod format_tests;
