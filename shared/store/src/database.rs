//! The tables in the file: opened and checked, read whole, written in one transaction.

use crate::disk::Opener;
use crate::writer::Job;
use crate::Held;
use redb::{Builder, Database, DatabaseError, Durability, ReadableDatabase, ReadableTable};
use redb::{StorageError, TableDefinition};
use std::fmt;
use std::io;

const TABLE: TableDefinition<&[u8], &[u8]> = TableDefinition::new("attempts");
const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Of the tables in the file; another one is not read.
const VERSION: u64 = 1;
/// Memory for the file's pages.
const CACHE: usize = 8 * 1024 * 1024;

/// Why a file could not be opened.
pub(crate) enum Unopened {
    /// Of the disk: it may pass.
    Disk(String),
    /// What is there can't be used, and must not be written over.
    Unusable(String),
}

/// Opens the file and reads all that it holds.
pub(crate) fn open(opener: &mut Opener) -> Result<(Database, Held), Unopened> {
    let disk = |e: &dyn fmt::Display| Unopened::Disk(e.to_string());
    let backend = opener().map_err(|e| disk(&e))?;
    let database = Builder::new()
        .set_cache_size(CACHE)
        .create_with_backend(backend);
    let database = database.map_err(|error| match &error {
        DatabaseError::Storage(StorageError::Io(e)) if e.kind() != io::ErrorKind::InvalidData => {
            disk(&error)
        }
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
                let why =
                    format!("its version is {other}, and {VERSION} is what this program reads");
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

/// Writes all jobs in one transaction, and returns once it is on the disk.
pub(crate) fn write(database: &Database, jobs: &[Job]) -> Result<(), redb::Error> {
    let mut write = database.begin_write()?;
    write
        .set_durability(Durability::Immediate)
        .map_err(|e| redb::Error::Corrupted(e.to_string()))?;
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
