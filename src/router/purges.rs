//! Purges: which copies are invalid, and how old a copy may be after a purge.
//!
//! Input: purges of an object or of a group (cache tag). Unit: the earliest time at which a valid copy can
//! have left the origin. Caches drop invalid copies within `purge_complete`; until then the router bounds
//! the age of the copies that it accepts.

use super::requests::{ObjectKey, PartKey};
use super::Router;
use crate::interface::{ObjectId, Time};
use std::collections::BTreeMap;

/// Maximum number of purges that are recorded individually; beyond it, everything counts as purged.
const MAX_PURGES: usize = 4_096;
/// The group number that stands for all groups.
const ALL_GROUPS: u32 = u32::MAX;

/// What a purge invalidates.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PurgeScope {
    Object(ObjectKey),
    Group(u32),
    Everything,
}

impl PurgeScope {
    fn of_group(group: u32) -> PurgeScope {
        match group {
            ALL_GROUPS => PurgeScope::Everything,
            group => PurgeScope::Group(group),
        }
    }
}

#[derive(Clone, Copy)]
struct Purge {
    /// Copies that left the origin before this time are invalid.
    valid_from: Time,
    /// When the purge is complete everywhere; its entry is then dropped.
    expires_at: Time,
}

/// The purges that are not complete yet.
#[derive(Default)]
pub(super) struct PurgeLog(BTreeMap<PurgeScope, Purge>);

impl PurgeLog {
    fn record(&mut self, now: Time, scope: PurgeScope, purge: Purge) {
        self.0.retain(|_, known| known.expires_at > now);
        if self.0.len() >= MAX_PURGES {
            self.0.clear();
            let everything = Purge {
                valid_from: now,
                ..purge
            };
            self.0.insert(PurgeScope::Everything, everything);
        }
        let known = self.0.entry(scope).or_insert(purge);
        known.valid_from = known.valid_from.max(purge.valid_from);
        known.expires_at = known.expires_at.max(purge.expires_at);
    }

    /// The earliest time at which a valid copy can have left the origin, if a purge applies.
    pub(super) fn valid_from(&self, now: Time, key: PartKey, group: u32) -> Option<Time> {
        let scopes = [
            PurgeScope::Object(key.object()),
            PurgeScope::of_group(group),
            PurgeScope::Everything,
        ];
        scopes
            .iter()
            .filter_map(|scope| self.0.get(scope))
            .filter(|purge| purge.expires_at > now)
            .map(|purge| purge.valid_from)
            .max()
    }
}

impl Router {
    /// Removes an object or a group from the object table, and bounds the age of its copies.
    pub(super) fn on_purge(&mut self, now: Time, object: Option<ObjectId>, group: u32, age: Time) {
        let object = object.map(ObjectKey::of);
        let purge = Purge {
            valid_from: now.saturating_sub(age),
            // Twice the time that the caches take, as the event may be delayed.
            expires_at: now + 2 * self.settings.purge_complete,
        };
        let scope = object.map_or(PurgeScope::of_group(group), PurgeScope::Object);
        self.purges.record(now, scope, purge);
        match object {
            Some(object) => self.object_table.remove_object(object),
            None => self.object_table.remove_group(group),
        }
    }
}
