//! Events of the source as items of a relayed stream, numbered from 1 by whoever reads the source; and items as events, in a
//! reader's own numbers. A line of the list has its host as key, so that the last of each is the list; a purge has none.

use crate::journal::{Entry, Expire, Hosts, Lost};
use foldmux_relay::{Event, Item};
use serde::Serialize;
use std::hash::{BuildHasher, Hasher, RandomState};

/// Items that wait to be given to the part.
const WAITING: usize = 16_384;

/// Counts what this process reads at the source.
pub struct Counter {
    epoch: u64,
    number: u64,
    listed: bool,
    waiting: Vec<Item>,
}

impl Default for Counter {
    fn default() -> Counter {
        // No other process, and no other life of this one, has the same.
        Counter {
            epoch: RandomState::new().build_hasher().finish(),
            number: 0,
            listed: false,
            waiting: Vec::new(),
        }
    }
}

fn bytes(value: &impl Serialize) -> Option<std::sync::Arc<[u8]>> {
    simd_json::serde::to_vec(value).ok().map(Into::into)
}

impl Counter {
    pub fn count(&mut self, entry: &Entry) {
        if let Some(hosts) = &entry.hosts {
            if hosts.snapshot && std::mem::replace(&mut self.listed, true) {
                // What it leaves out is gone: all begins anew.
                (self.epoch, self.number) = (self.epoch.wrapping_add(1), 0);
                self.waiting.clear();
            }
            for line in &hosts.endpoints {
                let (key, gone) = (Some(line.name.as_str().into()), line.status == "gone");
                let one = Hosts {
                    index: hosts.index,
                    snapshot: false,
                    endpoints: vec![line.clone()],
                };
                self.add(key, gone, bytes(&one));
            }
        }
        if let Some(expire) = &entry.expire {
            self.add(None, false, bytes(expire));
        }
    }

    fn add(
        &mut self,
        key: Option<std::sync::Arc<str>>,
        gone: bool,
        bytes: Option<std::sync::Arc<[u8]>>,
    ) {
        let Some(bytes) = bytes else { return };
        self.number += 1;
        if self.waiting.len() < WAITING {
            self.waiting.push(Item {
                number: self.number,
                key,
                gone,
                bytes,
                age: 0,
            });
        }
    }

    /// What was counted since; it is the caller's to give.
    pub fn take(&mut self) -> (u64, Vec<Item>) {
        (self.epoch, std::mem::take(&mut self.waiting))
    }

    /// It could not be given: it waits, before what is counted next.
    pub fn back(&mut self, epoch: u64, mut items: Vec<Item>) {
        if epoch == self.epoch {
            items.append(&mut self.waiting);
            items.truncate(WAITING);
            self.waiting = items;
        }
    }
}

fn read<T: serde::de::DeserializeOwned>(item: &Item) -> Option<T> {
    simd_json::serde::from_slice(&mut item.bytes.to_vec()).ok()
}

fn purge(pos: u64, item: &Item) -> Entry {
    Entry {
        pos,
        expire: read::<Expire>(item),
        ..Entry::default()
    }
}

/// The events as the journal tells them; the first has the number `pos`.
pub fn entries(mut pos: u64, events: &[Event]) -> Vec<Entry> {
    let mut entries = Vec::new();
    for event in events {
        let span = event.span();
        match event {
            Event::From { .. } => {}
            Event::Lost { from, to, .. } => {
                entries.push(Entry {
                    pos,
                    lost: Some(Lost {
                        from: *from,
                        to: *to,
                    }),
                    ..Entry::default()
                });
            }
            Event::Item { item, .. } if item.key.is_none() => entries.push(purge(pos, item)),
            Event::Item { item, .. } => entries.push(Entry {
                pos,
                hosts: read::<Hosts>(item),
                ..Entry::default()
            }),
            Event::Whole { keyed, recent, .. } => {
                let mut whole = Hosts {
                    index: 0,
                    snapshot: true,
                    endpoints: Vec::new(),
                };
                for hosts in keyed.iter().filter_map(read::<Hosts>) {
                    whole.index = whole.index.max(hosts.index);
                    whole.endpoints.extend(hosts.endpoints);
                }
                entries.push(Entry {
                    pos,
                    hosts: Some(whole),
                    ..Entry::default()
                });
                entries.extend(
                    recent
                        .iter()
                        .zip(pos + 1..)
                        .map(|(item, pos)| purge(pos, item)),
                );
            }
        }
        pos += span;
    }
    entries
}

#[cfg(test)]
mod tests;
