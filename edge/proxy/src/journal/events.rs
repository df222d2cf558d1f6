//! Decodes the journal's events. An endpoint or a purge that this version can't decode is logged and skipped:
//! requesting it again would return the same bytes, and would block every later event.

use super::start_times::StartTimes;
use foldmux::interface::{Member, MemberState, ObjectId};
use foldmux_core::clock::Clock;
use foldmux_core::messages::Command;
use foldmux_core::servers::{cache_id, Server};
use foldmux_event_stream::journal::{Endpoint, Entry, Expire};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The group of a purge that names a single object.
const NO_GROUP: u32 = 0;

/// The names of zones and kinds in the journal's events. The index of a name is its number in the settings.
#[derive(Clone)]
pub struct ZoneAndKindNames {
    /// Names of zones.
    pub zones: Vec<String>,
    /// Names of kinds.
    pub kinds: Vec<String>,
}

/// The endpoint lists of several events, merged: the last state of each member that can be decoded.
pub(super) struct EndpointUpdate {
    /// One of the lists is complete, so a member that it doesn't contain is gone.
    pub(super) full: bool,
    /// The greatest index of the lists, counted from the last complete one on.
    pub(super) index: u64,
    pub(super) listed: Vec<Server>,
}

/// Converts the journal's events to the event loop's types.
#[derive(Clone)]
pub(super) struct EventDecoder {
    names: ZoneAndKindNames,
    clock: Clock,
    start_times: StartTimes,
}

impl EventDecoder {
    pub(super) fn new(names: ZoneAndKindNames, clock: Clock) -> EventDecoder {
        EventDecoder {
            names,
            clock,
            start_times: StartTimes::default(),
        }
    }

    /// Merges the endpoint lists of these events; `None` if no event has a list.
    pub(super) fn endpoints(&self, entries: &[&Entry]) -> Option<EndpointUpdate> {
        let (mut full, mut index, mut members) = (false, None, BTreeMap::new());
        for list in entries.iter().filter_map(|entry| entry.hosts.as_ref()) {
            if list.snapshot {
                (full, index) = (true, None);
                members.clear();
            }
            index = index.max(Some(list.index));
            let listed = list.endpoints.iter();
            let listed = listed.filter_map(|endpoint| self.endpoint(endpoint));
            members.extend(listed.map(|member| (member.name.clone(), member)));
        }
        let (index, listed) = (index?, Vec::from_iter(members.into_values()));
        self.start_times.retain(full, &listed);
        Some(EndpointUpdate {
            full,
            index,
            listed,
        })
    }

    /// Decodes a purge; `None` if it names neither an object nor a group. `position` is the number of its event.
    pub(super) fn purge(&self, position: u64, expire: &Expire) -> Option<Command> {
        let Expire { name, set, stamp } = expire;
        let now = self.clock.now();
        let age = now.saturating_sub(self.clock.from_unix_ms((*stamp).max(1)));
        let object = name
            .as_deref()
            .map(|name| u64::from_str_radix(name, 16).map(ObjectId));
        match (object, set) {
            (Some(Ok(object)), _) => Some(Command::Invalidate {
                object: Some(object),
                group: NO_GROUP,
                age,
            }),
            (None, Some(group)) => Some(Command::Invalidate {
                object: None,
                group: *group,
                age,
            }),
            _ => {
                tracing::warn!(
                    "journal service: event {position} names no object or group to purge"
                );
                None
            }
        }
    }

    fn endpoint(&self, endpoint: &Endpoint) -> Option<Server> {
        let state = match endpoint.status.as_str() {
            "ready" => MemberState::Ready,
            "gone" => MemberState::Gone,
            // An unknown status counts as draining: only a ready member gets new requests.
            _ => MemberState::Draining,
        };
        let index_of = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let zone = index_of(&self.names.zones, &endpoint.zone);
        let kind = index_of(&self.names.kinds, &endpoint.kind);
        // A member that is gone may be listed without its zone, kind and address.
        let gone = state == MemberState::Gone;
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        let (Some(zone), Some(kind), Some(address)) = (
            zone.or(gone.then_some(0)),
            kind.or(gone.then_some(0)),
            endpoint.address.or(gone.then_some(unspecified)),
        ) else {
            tracing::warn!(
                "journal service: {} has an unknown zone or type, or no address; it is skipped",
                endpoint.name
            );
            return None;
        };
        let cache = cache_id(&endpoint.name);
        let started_at = self
            .start_times
            .get_or_insert_with(cache, endpoint.since_ms, || {
                self.clock.from_unix_ms(endpoint.since_ms)
            });
        let member = Member {
            cache,
            zone,
            kind,
            cell: endpoint.group,
            state,
            weight: endpoint.weight,
            started_at,
        };
        Some(Server {
            member,
            name: endpoint.name.as_str().into(),
            address,
        })
    }
}
