//! The responses of the journal's long poll.
//!
//! An endpoint of a list or an event's content that can't be decoded is skipped by itself: requested again it
//! would be the same, and would hold up everything behind it. The number of an event is required, as the
//! numbers of later events depend on it.

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
    /// The number of the last event, or 0 without events.
    pub fn last_position(&self) -> u64 {
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
        deserialize_with = "lenient",
        skip_serializing_if = "Option::is_none"
    )]
    pub hosts: Option<Hosts>,
    #[serde(
        default,
        deserialize_with = "lenient",
        skip_serializing_if = "Option::is_none"
    )]
    pub expire: Option<Expire>,
    /// Set only by relays: events that may be missing before the next one. The source itself misses none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lost: Option<Lost>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hosts {
    /// The version of the list; a later one has a greater index.
    #[serde(default)]
    pub index: u64,
    #[serde(default)]
    pub snapshot: bool,
    #[serde(default, deserialize_with = "lenient_list")]
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

/// A value that may fail to decode without failing the whole response.
#[derive(Deserialize)]
#[serde(untagged)]
enum Lenient<T> {
    Valid(T),
    Null(()),
    Invalid(IgnoredAny),
}

impl<T> Lenient<T> {
    fn valid(self, what: &str) -> Option<T> {
        if matches!(self, Lenient::Invalid(_)) {
            tracing::warn!("journal service: skipped {what} that can't be decoded");
        }
        match self {
            Lenient::Valid(value) => Some(value),
            _ => None,
        }
    }
}

fn lenient<'de, D: Deserializer<'de>, T: Deserialize<'de>>(from: D) -> Result<Option<T>, D::Error> {
    Ok(Lenient::deserialize(from)?.valid("an event"))
}

fn lenient_list<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    from: D,
) -> Result<Vec<T>, D::Error> {
    let all = Vec::<Lenient<T>>::deserialize(from)?.into_iter();
    Ok(all
        .filter_map(|endpoint| endpoint.valid("an endpoint of a list"))
        .collect())
}

#[cfg(test)]
mod tests;
