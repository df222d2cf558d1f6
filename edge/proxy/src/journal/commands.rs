//! What events say, in the desk's words. A line or purge that this version has no word for is passed over and told of in
//! the log: asked for again it would come the same, and hold up all that follows.

use super::JournalClient;
use foldmux::interface::{Member, ObjectId, State};
use foldmux_core::desk::Notice;
use foldmux_core::members::{cache_id, Listed};
use foldmux_event_stream::words::{Endpoint, Entry, Expire};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What the lists of several events come to: the last line of each member that can be read.
pub struct List {
    /// One of them is whole: what is missing has gone.
    pub full: bool,
    /// The greatest index, from the last whole list on.
    pub index: u64,
    pub listed: Vec<Listed>,
}

impl JournalClient {
    /// The lists of these events as one, each start at the time at which it was first told; none where no event has one.
    pub(super) fn list(&self, entries: &[&Entry]) -> Option<List> {
        let (mut full, mut index, mut lines) = (false, None, BTreeMap::new());
        for hosts in entries.iter().filter_map(|entry| entry.hosts.as_ref()) {
            if hosts.snapshot {
                (full, index) = (true, None);
                lines.clear();
            }
            index = index.max(Some(hosts.index));
            let listed = hosts
                .endpoints
                .iter()
                .filter_map(|line| self.listed_line(line));
            lines.extend(listed.map(|line| (line.name.clone(), line)));
        }
        let (index, listed) = (index?, Vec::from_iter(lines.into_values()));
        self.boots.retain(full, &listed);
        Some(List {
            full,
            index,
            listed,
        })
    }

    /// A purge; `pos` is the number of its event.
    pub(super) fn purged(&self, pos: u64, Expire { name, set, stamp }: &Expire) -> Option<Notice> {
        let ago = self
            .clock
            .now()
            .saturating_sub(self.clock.of_unix_ms((*stamp).max(1)));
        let object = name
            .as_deref()
            .map(|name| u64::from_str_radix(name, 16).map(ObjectId));
        match (object, set) {
            (Some(Ok(object)), _) => Some(Notice::Purged {
                object: Some(object),
                group: 0,
                ago,
            }),
            (None, Some(group)) => Some(Notice::Purged {
                object: None,
                group: *group,
                ago,
            }),
            _ => {
                tracing::warn!("journal service: event {pos} names nothing that can be purged");
                None
            }
        }
    }

    fn listed_line(&self, line: &Endpoint) -> Option<Listed> {
        let state = match line.status.as_str() {
            "ready" => State::Ready,
            "gone" => State::Gone,
            // Guards against a state not known here: what is not said to be ready gets nothing new.
            _ => State::Draining,
        };
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let (zone, kind) = (
            place(&self.names.zones, &line.zone),
            place(&self.names.kinds, &line.kind),
        );
        let gone = state == State::Gone;
        // What has gone may come without its particulars.
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let (zone, kind) = (zone.or(gone.then_some(0)), kind.or(gone.then_some(0)));
        let (Some(zone), Some(kind), Some(address)) =
            (zone, kind, line.address.or(gone.then_some(nowhere)))
        else {
            tracing::warn!(
                "journal service: {} has an unknown zone or type, or no address",
                line.name
            );
            return None;
        };
        let cache = cache_id(&line.name);
        let boot = self.boots.of(cache, line.since_ms, || {
            self.clock.of_unix_ms(line.since_ms)
        });
        let member = Member {
            cache,
            zone,
            kind,
            cell: line.group,
            state,
            weight: line.weight,
            boot,
        };
        Some(Listed {
            member,
            name: line.name.as_str().into(),
            address,
        })
    }
}
