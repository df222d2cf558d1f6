//! Conversion between the journal's events and the items of a relayed stream. The process that reads the
//! source numbers the items from 1; a reader's events have the reader's own numbers. An endpoint's item has
//! the host as its key, so the last items of all keys are the endpoint list. A purge has no key.

use crate::journal::{Entry, Expire, Hosts, Lost};
use foldmux_relay::{Event, Item};
use serde::Serialize;
use std::hash::{BuildHasher, Hasher, RandomState};

/// The most items that wait to be passed to the relay.
const MAX_PENDING_ITEMS: usize = 16_384;

/// The items of the events that this process reads at the source.
pub struct ItemLog {
    epoch: u64,
    number: u64,
    has_list: bool,
    pending: Vec<Item>,
}

impl Default for ItemLog {
    fn default() -> ItemLog {
        // Random, so that no other process and no other run of this one has the same epoch.
        ItemLog {
            epoch: RandomState::new().build_hasher().finish(),
            number: 0,
            has_list: false,
            pending: Vec::new(),
        }
    }
}

fn encode(value: &impl Serialize) -> Option<std::sync::Arc<[u8]>> {
    simd_json::serde::to_vec(value).ok().map(Into::into)
}

impl ItemLog {
    pub fn add_entry(&mut self, entry: &Entry) {
        if let Some(hosts) = &entry.hosts {
            if hosts.snapshot && std::mem::replace(&mut self.has_list, true) {
                // A full list drops the hosts that it does not name: a new epoch begins.
                (self.epoch, self.number) = (self.epoch.wrapping_add(1), 0);
                self.pending.clear();
            }
            for endpoint in &hosts.endpoints {
                let (key, deleted) = (
                    Some(endpoint.name.as_str().into()),
                    endpoint.status == "gone",
                );
                let one = Hosts {
                    index: hosts.index,
                    snapshot: false,
                    endpoints: vec![endpoint.clone()],
                };
                self.push(key, deleted, encode(&one));
            }
        }
        if let Some(expire) = &entry.expire {
            self.push(None, false, encode(expire));
        }
    }

    fn push(
        &mut self,
        key: Option<std::sync::Arc<str>>,
        deleted: bool,
        bytes: Option<std::sync::Arc<[u8]>>,
    ) {
        let Some(bytes) = bytes else { return };
        self.number += 1;
        if self.pending.len() < MAX_PENDING_ITEMS {
            self.pending.push(Item {
                number: self.number,
                key,
                deleted,
                bytes,
                age: 0,
            });
        }
    }

    /// Takes the epoch and the items that were added since the last call.
    pub fn take_pending(&mut self) -> (u64, Vec<Item>) {
        (self.epoch, std::mem::take(&mut self.pending))
    }

    /// Returns items that could not be passed on. They come before those added since, unless the epoch has
    /// changed.
    pub fn put_back(&mut self, epoch: u64, mut items: Vec<Item>) {
        if epoch == self.epoch {
            items.append(&mut self.pending);
            items.truncate(MAX_PENDING_ITEMS);
            self.pending = items;
        }
    }
}

fn decode<T: serde::de::DeserializeOwned>(item: &Item) -> Option<T> {
    simd_json::serde::from_slice(&mut item.bytes.to_vec()).ok()
}

fn purge_entry(pos: u64, item: &Item) -> Entry {
    Entry {
        pos,
        expire: decode::<Expire>(item),
        ..Entry::default()
    }
}

/// The journal entries of a reader's events. The first event has the number `pos`.
pub fn entries_of(mut pos: u64, events: &[Event]) -> Vec<Entry> {
    let mut entries = Vec::new();
    for event in events {
        let span = event.span();
        match event {
            Event::Start { .. } => {}
            Event::Gap { from, to, .. } => {
                entries.push(Entry {
                    pos,
                    lost: Some(Lost {
                        from: *from,
                        to: *to,
                    }),
                    ..Entry::default()
                });
            }
            Event::Item { item, .. } if item.key.is_none() => entries.push(purge_entry(pos, item)),
            Event::Item { item, .. } => entries.push(Entry {
                pos,
                hosts: decode::<Hosts>(item),
                ..Entry::default()
            }),
            Event::Snapshot { keyed, recent, .. } => {
                let mut list = Hosts {
                    index: 0,
                    snapshot: true,
                    endpoints: Vec::new(),
                };
                for hosts in keyed.iter().filter_map(decode::<Hosts>) {
                    list.index = list.index.max(hosts.index);
                    list.endpoints.extend(hosts.endpoints);
                }
                entries.push(Entry {
                    pos,
                    hosts: Some(list),
                    ..Entry::default()
                });
                entries.extend(
                    recent
                        .iter()
                        .zip(pos + 1..)
                        .map(|(item, pos)| purge_entry(pos, item)),
                );
            }
        }
        pos += span;
    }
    entries
}

#[cfg(test)]
mod tests;
