//! The name of a process.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// A process of the fleet, by its name in the operator's file.
///
/// A restarted process keeps its name. Its incarnations are told apart by the session of the link and, where it
/// matters, by terms.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Peer(pub Arc<str>);

impl Peer {
    /// The process with this name.
    pub fn new(name: &str) -> Peer {
        Peer(name.into())
    }

    /// The name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
