//! The journal's words: what an answer of its long poll holds. A line of a list, or what an event says, that can't be read
//! costs itself alone: asked for again it would come the same, and hold up all that follows. The number of an event must
//! be there, for what comes after it.

use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer, Serialize};
use std::net::SocketAddr;

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EventBatch {
    #[serde(default)]
    pub pos: u64,
    #[serde(default)]
    pub entries: Vec<Entry>,
}

impl EventBatch {
    /// The number of the last event that there is, 0 where there is none.
    pub fn last(&self) -> u64 {
        self.entries
            .iter()
            .map(|entry| entry.pos)
            .fold(self.pos, u64::max)
    }
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Entry {
    pub pos: u64,
    #[serde(
        default,
        deserialize_with = "one",
        skip_serializing_if = "Option::is_none"
    )]
    pub hosts: Option<Hosts>,
    #[serde(
        default,
        deserialize_with = "one",
        skip_serializing_if = "Option::is_none"
    )]
    pub expire: Option<Expire>,
    /// Of relays alone: what may be missing before the next; the source itself knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lost: Option<Lost>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hosts {
    /// Which list it is of: a later one has a greater index.
    #[serde(default)]
    pub index: u64,
    #[serde(default)]
    pub snapshot: bool,
    #[serde(default, deserialize_with = "each")]
    pub endpoints: Vec<Endpoint>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Endpoint {
    pub name: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub address: Option<SocketAddr>,
    #[serde(default)]
    pub zone: String,
    #[serde(default, rename = "type")]
    pub kind: String,
    #[serde(default)]
    pub group: u16,
    pub status: String,
    #[serde(default)]
    pub weight: f64,
    #[serde(default)]
    pub since_ms: u64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Expire {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub set: Option<u32>,
    pub stamp: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Lost {
    pub from: u64,
    pub to: Option<u64>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Read<T> {
    Well(T),
    Nothing(()),
    Not(IgnoredAny),
}

impl<T> Read<T> {
    fn well(self, what: &str) -> Option<T> {
        if matches!(self, Read::Not(_)) {
            tracing::warn!("journal service: {what} that can't be read is passed over");
        }
        match self {
            Read::Well(read) => Some(read),
            _ => None,
        }
    }
}

fn one<'de, D: Deserializer<'de>, T: Deserialize<'de>>(from: D) -> Result<Option<T>, D::Error> {
    Ok(Read::deserialize(from)?.well("an event"))
}

fn each<'de, D: Deserializer<'de>, T: Deserialize<'de>>(from: D) -> Result<Vec<T>, D::Error> {
    let all = Vec::<Read<T>>::deserialize(from)?.into_iter();
    Ok(all
        .filter_map(|line| line.well("a line of the list"))
        .collect())
}

#[cfg(test)]
mod tests;
