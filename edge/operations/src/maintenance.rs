//! The pop caches that operators took out of service by hand. A set: a second `maint-on` changes nothing, and one
//! `maint-off` brings the pop cache back. It is stored as text, one id a line, so that a new version of the process
//! begins with it.

use std::collections::BTreeSet;
use std::fmt;

/// Most ids in a set, so that a caller can't grow it without bound: far beyond any list of pop caches.
pub const MAX_IDS: usize = 4096;

/// The ids of the pop caches that are out of service by hand.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MaintenanceSet {
    ids: BTreeSet<String>,
}

/// Why the set can't be changed as asked.
#[derive(Debug, PartialEq, Eq)]
pub enum MaintenanceError {
    /// No pop cache has this id.
    UnknownCache,
    /// The set has [`MAX_IDS`] ids.
    Full,
}

impl fmt::Display for MaintenanceError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MaintenanceError::UnknownCache => write!(out, "no such pop cache"),
            MaintenanceError::Full => write!(out, "too many pop caches out"),
        }
    }
}

impl std::error::Error for MaintenanceError {}

impl MaintenanceSet {
    /// Takes `id` out of service. `listed`: whether a pop cache has this id. Returns whether the set changed.
    ///
    /// # Errors
    ///
    /// Where the id is neither listed nor in the set, or the set is full.
    pub fn add(&mut self, id: &str, listed: bool) -> Result<bool, MaintenanceError> {
        if self.ids.contains(id) {
            return Ok(false);
        }
        if !listed {
            return Err(MaintenanceError::UnknownCache);
        }
        if self.ids.len() >= MAX_IDS {
            return Err(MaintenanceError::Full);
        }
        Ok(self.ids.insert(id.to_string()))
    }

    /// Brings `id` back, also where it is no longer listed. Returns whether the set changed.
    ///
    /// # Errors
    ///
    /// Where the id is neither listed nor in the set.
    pub fn remove(&mut self, id: &str, listed: bool) -> Result<bool, MaintenanceError> {
        match self.ids.remove(id) {
            true => Ok(true),
            false if listed => Ok(false),
            false => Err(MaintenanceError::UnknownCache),
        }
    }

    /// Whether `id` is out of service.
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// How many are out of service.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether none is out of service.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// The ids, in order.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.ids.iter().map(String::as_str)
    }

    /// The stored form.
    pub fn render(&self) -> String {
        self.ids.iter().map(|id| format!("{id}\n")).collect()
    }

    /// Reads the stored form. A file that was cut off loses its last line alone; blank lines are ignored, and so is what
    /// is beyond [`MAX_IDS`].
    pub fn parse(text: &str) -> MaintenanceSet {
        let ids = text
            .lines()
            .map(str::trim)
            .filter(|id| !id.is_empty() && !id.contains(char::is_whitespace));
        MaintenanceSet {
            ids: ids.take(MAX_IDS).map(str::to_string).collect(),
        }
    }
}

#[cfg(test)]
mod tests;
