//! What this process's seat promised, on a file that outlives the process: its next start reads it back and speaks at once.
//! Written to the kernel before a reply leaves, which a killed process does not undo. A machine that starts anew is told
//! by its boot's id, and nothing is read back then. The file of the greatest number counts, and the process
//! that holds it locked is the seat: one beside it waits.

use foldmux_takeover::{Key, PersistedEntry};
use nix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A file is written anew, with what holds alone, once it is so long and four times as long as then.
const MIN_COMPACTION_BYTES: u64 = 4 << 20;
/// A length and the start of the bytes' hash come before each entry.
const ENTRY_HEADER_BYTES: usize = 12;
/// Starts at one moment that may each take the next number.
const MAX_OPEN_ATTEMPTS: usize = 16;
/// There while a process waits for the one that holds the file.
const WAITING_MARKER: &str = "waits";

#[derive(Serialize, Deserialize, PartialEq)]
struct Header {
    boot: String,
    /// What the promises are about; another list of seats or other windows begin anew.
    fingerprint: String,
    /// From when it speaks, on the machine's clock (us).
    votes_at: u64,
}

pub struct Log {
    folder: PathBuf,
    number: u64,
    /// Held locked: no other process goes on with it.
    file: File,
    first: Header,
    length: u64,
    compact_above: u64,
}

/// What there is of a process before this one.
enum Existing {
    Resumed(Log, Recovered),
    Locked,
    /// It went on to another file.
    Superseded,
    None,
}

/// What a start finds: from when it speaks (us from now), and what was kept.
pub struct Recovered {
    pub votes_in: u64,
    pub kept: BTreeMap<Key, PersistedEntry>,
}

/// The machine's time since its start, asleep too (us): the same for all its processes.
pub fn time_since_boot() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    time.map_or(0, |time| {
        time.tv_sec() as u64 * 1_000_000 + time.tv_nsec() as u64 / 1_000
    })
}

fn named(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number}.seat"))
}

fn numbers(folder: &Path) -> io::Result<Vec<u64>> {
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

fn put<T: Serialize>(to: &mut Vec<u8>, entry: &T) -> io::Result<()> {
    let bytes = postcard::to_allocvec(entry).map_err(io::Error::other)?;
    to.extend((bytes.len() as u32).to_le_bytes());
    to.extend(&blake3::hash(&bytes).as_bytes()[..8]);
    to.extend(bytes);
    Ok(())
}

/// The next entry that is whole; one that was torn off is not there.
fn next<'a, T: Deserialize<'a>>(from: &mut &'a [u8]) -> Option<T> {
    let length = u32::from_le_bytes(from.get(..4)?.try_into().ok()?) as usize;
    let bytes = from.get(ENTRY_HEADER_BYTES..ENTRY_HEADER_BYTES + length)?;
    if blake3::hash(bytes).as_bytes()[..8] != from[4..ENTRY_HEADER_BYTES] {
        return None;
    }
    *from = &from[ENTRY_HEADER_BYTES + length..];
    postcard::from_bytes(bytes).ok()
}

impl Log {
    /// None while another process holds it. `window`: how long a seat with no memory is silent (us). Fails where the
    /// folder can't be used.
    pub fn open(
        folder: &Path,
        fingerprint: &str,
        window: u64,
    ) -> io::Result<Option<(Log, Recovered)>> {
        fs::create_dir_all(folder)?;
        let boot = fs::read_to_string("/proc/sys/kernel/random/boot_id")?;
        for _ in 0..MAX_OPEN_ATTEMPTS {
            let last = numbers(folder)?.into_iter().max().unwrap_or(0);
            match Log::resume(folder, last, &boot, fingerprint)? {
                Existing::Resumed(log, found) => {
                    let _ = fs::remove_file(folder.join(WAITING_MARKER));
                    return Ok(Some((log, found)));
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
                                kept: BTreeMap::new(),
                            },
                        )));
                    }
                }
            }
        }
        Err(io::Error::other("others start all the while"))
    }

    /// Behind one that is held and has not been given up while this process was silent for a window.
    pub fn supersede(folder: &Path, fingerprint: &str) -> io::Result<Option<Log>> {
        let last = numbers(folder)?.into_iter().max().unwrap_or(0);
        Log::create_next(folder, last, fingerprint, 0)
    }

    fn create_next(
        folder: &Path,
        last: u64,
        fingerprint: &str,
        silent: u64,
    ) -> io::Result<Option<Log>> {
        let boot = fs::read_to_string("/proc/sys/kernel/random/boot_id")?;
        let first = Header {
            boot,
            fingerprint: fingerprint.to_string(),
            votes_at: time_since_boot() + silent,
        };
        Log::create(folder, last + 1, first, &[])
    }

    /// Whether another process waits to be this seat.
    pub fn successor_waits(&self) -> bool {
        self.folder.join(WAITING_MARKER).exists()
    }

    fn resume(folder: &Path, number: u64, boot: &str, fingerprint: &str) -> io::Result<Existing> {
        let Ok(mut file) = OpenOptions::new()
            .read(true)
            .append(true)
            .open(named(folder, number))
        else {
            return Ok(Existing::None);
        };
        if file.try_lock().is_err() {
            return Ok(Existing::Locked);
        }
        // Looked at again once it is held: whoever held it may have gone on to the next.
        if numbers(folder)?.into_iter().any(|other| other > number) {
            return Ok(Existing::Superseded);
        }
        let mut bytes = Vec::new();
        io::Read::read_to_end(&mut file, &mut bytes)?;
        let (mut from, now) = (&bytes[..], time_since_boot());
        let Some(first) =
            next::<Header>(&mut from).filter(|f| f.boot == boot && f.fingerprint == fingerprint)
        else {
            return Ok(Existing::None);
        };
        let mut kept = BTreeMap::new();
        while let Some((stamp, key, one)) = next::<(u64, Key, PersistedEntry)>(&mut from) {
            kept.insert(key, (stamp, one));
        }
        // Behind what was torn off nothing could be read.
        let length = (bytes.len() - from.len()) as u64;
        file.set_len(length)?;
        let aged = |(key, (stamp, one)): (Key, (u64, PersistedEntry))| {
            Some((key, one.aged(now.saturating_sub(stamp))?))
        };
        let found = Recovered {
            votes_in: first.votes_at.saturating_sub(now),
            kept: kept.into_iter().filter_map(aged).collect(),
        };
        let compact_above = MIN_COMPACTION_BYTES.max(4 * length);
        Ok(Existing::Resumed(
            Log {
                folder: folder.to_path_buf(),
                number,
                file,
                first,
                length,
                compact_above,
            },
            found,
        ))
    }

    /// None where another has the number by now.
    fn create(
        folder: &Path,
        number: u64,
        first: Header,
        all: &[(Key, PersistedEntry)],
    ) -> io::Result<Option<Log>> {
        let own = folder.join(format!("{number}.{}", std::process::id()));
        let mut file = OpenOptions::new().create(true).append(true).open(&own)?;
        file.set_len(0)?;
        let mut bytes = Vec::new();
        put(&mut bytes, &first)?;
        let stamp = time_since_boot();
        all.iter()
            .try_for_each(|(key, kept)| put(&mut bytes, &(stamp, key, kept)))?;
        file.write_all(&bytes)?;
        file.lock()?;
        // Whole before it has its name; a name that is taken is not replaced.
        let taken = fs::hard_link(&own, named(folder, number)).is_err();
        fs::remove_file(&own)?;
        if taken {
            return Ok(None);
        }
        numbers(folder)?
            .into_iter()
            .filter(|n| *n < number)
            .for_each(|n| drop(fs::remove_file(named(folder, n))));
        let length = bytes.len() as u64;
        let compact_above = MIN_COMPACTION_BYTES.max(4 * length);
        Ok(Some(Log {
            folder: folder.to_path_buf(),
            number,
            file,
            first,
            length,
            compact_above,
        }))
    }

    /// Whether another process is this seat by now.
    pub fn is_superseded(&self) -> bool {
        let later =
            numbers(&self.folder).is_ok_and(|all| all.into_iter().any(|other| other > self.number));
        later || !named(&self.folder, self.number).exists()
    }

    /// Whether it is so long that it should be written anew.
    pub fn needs_compaction(&self) -> bool {
        self.length > self.compact_above
    }

    pub fn append(&mut self, changed: &[(Key, PersistedEntry)]) -> io::Result<()> {
        let (stamp, mut bytes) = (time_since_boot(), Vec::new());
        changed
            .iter()
            .try_for_each(|(key, kept)| put(&mut bytes, &(stamp, key, kept)))?;
        self.length += bytes.len() as u64;
        self.file.write_all(&bytes)
    }

    /// Anew, with all that holds. Fails where another process has gone on.
    pub fn rewrite(&mut self, all: &[(Key, PersistedEntry)]) -> io::Result<()> {
        if self.is_superseded() {
            return Err(io::Error::other("another process goes on"));
        }
        let Header {
            boot,
            fingerprint,
            votes_at,
        } = &self.first;
        let first = Header {
            boot: boot.clone(),
            fingerprint: fingerprint.clone(),
            votes_at: *votes_at,
        };
        let log = Log::create(&self.folder, self.number + 1, first, all)?;
        *self = log.ok_or_else(|| io::Error::other("another process goes on"))?;
        Ok(())
    }

    /// What it holds is not all that was promised: nobody reads it back.
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
