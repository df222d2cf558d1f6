//! The journal's words: what an answer of its long poll holds.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Feed {
    pub pos: u64,
    #[serde(default)]
    pub entries: Vec<Entry>,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Entry {
    pub pos: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hosts: Option<Hosts>,
    #[serde(skip_serializing_if = "Option::is_none")]
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
    #[serde(default)]
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
