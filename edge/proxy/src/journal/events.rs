//! Decodes the journal's events. An endpoint or purge that this version can't read is logged and ignored: requested again
//! it would come the same, and hold up all that follows.

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

/// The names by which the journal refers to zones and kinds, in the order in which the settings number them.
#[derive(Clone)]
pub struct Names {
    /// Names of zones.
    pub zones: Vec<String>,
    /// Names of kinds.
    pub kinds: Vec<String>,
}

/// What the endpoint lists of several events come to: the last state of each member that can be read.
pub(super) struct EndpointUpdate {
    /// One of the lists is whole: a member that is missing is gone.
    pub(super) full: bool,
    /// The greatest index, from the last whole list on.
    pub(super) index: u64,
    pub(super) listed: Vec<Server>,
}

/// Turns the journal's words into the event loop's types.
#[derive(Clone)]
pub(super) struct EventDecoder {
    names: Names,
    clock: Clock,
    start_times: StartTimes,
}

impl EventDecoder {
    pub(super) fn new(names: Names, clock: Clock) -> EventDecoder {
        EventDecoder {
            names,
            clock,
            start_times: StartTimes::default(),
        }
    }

    /// The endpoint lists of these events as one; `None` where no event has a list.
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

    /// A purge. `position` is the number of its event.
    pub(super) fn purge(&self, position: u64, expire: &Expire) -> Option<Command> {
        let Expire { name, set, stamp } = expire;
        let now = self.clock.now();
        let ago = now.saturating_sub(self.clock.from_unix_ms((*stamp).max(1)));
        let object = name
            .as_deref()
            .map(|name| u64::from_str_radix(name, 16).map(ObjectId));
        match (object, set) {
            (Some(Ok(object)), _) => Some(Command::Invalidate {
                object: Some(object),
                group: NO_GROUP,
                age: ago,
            }),
            (None, Some(group)) => Some(Command::Invalidate {
                object: None,
                group: *group,
                age: ago,
            }),
            _ => {
                tracing::warn!(
                    "journal service: event {position} names nothing that can be purged"
                );
                None
            }
        }
    }

    fn endpoint(&self, endpoint: &Endpoint) -> Option<Server> {
        let state = match endpoint.status.as_str() {
            "ready" => MemberState::Ready,
            "gone" => MemberState::Gone,
            // A status that is unknown here: what is not said to be ready gets no new requests.
            _ => MemberState::Draining,
        };
        let index_of = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let zone = index_of(&self.names.zones, &endpoint.zone);
        let kind = index_of(&self.names.kinds, &endpoint.kind);
        // What is gone may come without its zone, kind and address.
        let gone = state == MemberState::Gone;
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        let (Some(zone), Some(kind), Some(address)) = (
            zone.or(gone.then_some(0)),
            kind.or(gone.then_some(0)),
            endpoint.address.or(gone.then_some(unspecified)),
        ) else {
            tracing::warn!(
                "journal service: {} has an unknown zone or type, or no address",
                endpoint.name
            );
            return None;
        };
        let cache = cache_id(&endpoint.name);
        let boot = self.start_times.of(cache, endpoint.since_ms, || {
            self.clock.from_unix_ms(endpoint.since_ms)
        });
        let member = Member {
            cache,
            zone,
            kind,
            cell: endpoint.group,
            state,
            weight: endpoint.weight,
            started_at: boot,
        };
        Some(Server {
            member,
            name: endpoint.name.as_str().into(),
            address,
        })
    }
}
