//! Purges: which copies are invalid, and how old a copy may be after a purge.
//!
//! Input: purges of an object or of a group (cache tag). Unit: the earliest time at which a valid copy can
//! have left the origin. Caches drop invalid copies within `purge_complete`; until then the router bounds
//! the age of the copies that it accepts.

use super::requests::ObjectKey;
use super::Router;
use crate::interface::{ObjectId, Time};
use std::collections::BTreeMap;

/// Maximum number of purges that are recorded individually; beyond it, everything counts as purged.
const MAX_PURGES: usize = 4_096;
/// Subtracted from the age that a copy may have after a purge (us): purges are delivered in batches of this length.
const PURGE_AGE_MARGIN_US: Time = 5_000;
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

/// The maximum age of a copy that left the origin no earlier than `valid_from`; at least 1, as 0 sets no bound.
pub(super) fn max_age_since(now: Time, valid_from: Time) -> Time {
    now.saturating_sub(valid_from + PURGE_AGE_MARGIN_US).max(1)
}

/// The purges that are not complete yet.
#[derive(Default)]
pub struct PurgeLog(BTreeMap<PurgeScope, Purge>);

impl PurgeLog {
    /// Records a purge of an object, or with `None` of all objects of the group, that a host was told of at `now`. Copies
    /// older than `age` are invalid. The purge is forgotten after `retention`.
    pub fn record(
        &mut self,
        now: Time,
        object: Option<ObjectId>,
        group: u32,
        age: Time,
        retention: Time,
    ) {
        let scope = match object {
            Some(object) => PurgeScope::Object(ObjectKey::of(object)),
            None => PurgeScope::of_group(group),
        };
        let purge = Purge {
            valid_from: now.saturating_sub(age),
            expires_at: now + retention,
        };
        self.insert(now, scope, purge);
    }

    /// The maximum age that a copy of the object may have at `now`, if a purge applies; at least 1.
    pub fn max_age(&self, now: Time, object: ObjectId, group: u32) -> Option<Time> {
        let valid_from = self.valid_from(now, ObjectKey::of(object), group)?;
        Some(max_age_since(now, valid_from))
    }

    fn insert(&mut self, now: Time, scope: PurgeScope, purge: Purge) {
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
    pub(super) fn valid_from(&self, now: Time, object: ObjectKey, group: u32) -> Option<Time> {
        let scopes = [
            PurgeScope::Object(object),
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
        self.purges
            .record(now, object, group, age, self.purge_retention());
        match object {
            Some(object) => self.object_table.remove_object(ObjectKey::of(object)),
            None => self.object_table.remove_group(group),
        }
    }

    /// How long a purge bounds the age of copies: twice the time that the caches take, as its event may be delayed.
    pub fn purge_retention(&self) -> Time {
        2 * self.settings.purge_complete
    }
}
