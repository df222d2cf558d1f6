//! What a router is told of its deployment.

use super::{Member, Time};

/// How far an attempt of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Any number of times.
    Safe,
    /// Within the group of caches that drops its repeats, while they remember it.
    Keyed(Group),
    /// Only when every earlier attempt is known not to have run.
    SingleShot,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

impl Class {
    /// Before when a repeat must begin of what was sent first at `sent`; 0: at any time.
    pub fn repeat_by(&self, sent: Time) -> Time {
        match self.repeat {
            Repeat::Keyed(_) => sent.saturating_add(self.repeat_window),
            Repeat::Safe | Repeat::SingleShot => 0,
        }
    }
}

impl Repeat {
    /// The number of a cache's group: within it, repeats of a keyed request are dropped.
    pub fn group_of(self, member: &Member) -> u32 {
        match self {
            Repeat::Keyed(Group::Zone) => 1 + member.zone as u32,
            Repeat::Keyed(Group::Cell) => 1 + member.cell as u32,
            _ => 0,
        }
    }

    /// Repeats at one of them are dropped as those at the other are.
    pub fn same_group(self, one: &Member, other: &Member) -> bool {
        self.group_of(one) == self.group_of(other)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time, plus `aim_stretch` times the sending time, has its full worth.
    pub aim: Time,
    pub aim_stretch: f64,
    /// How long a client waits, all its tries together.
    pub deadline: Time,
    pub worth: f64,
    /// The part of the worth that an answer after the aim still has.
    pub late_worth: f64,
    pub repeat: Repeat,
    /// For keyed classes: how long the caches remember a request.
    pub repeat_window: Time,
    /// Fresh time of a copy; 0 means no limit.
    pub fresh: Time,
    /// How much longer a copy may be served, at less worth.
    pub grace: Time,
    /// Never kept: it runs at the origin.
    pub pass_on: bool,
}

/// Which caches may supply a fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Siblings {
    None,
    OwnZone,
    Any,
}

/// What an answer tells of how it came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notes {
    None,
    HitOnly,
    All,
}

#[derive(Clone, Debug)]
pub struct Settings {
    /// This router's number among `routers`.
    pub index: u32,
    pub routers: u32,
    pub zone: usize,
    pub classes: Vec<Class>,
    /// By zone.
    pub routers_by_zone: Vec<u32>,
    /// By zone: the zone of its hub; hubs form a ring.
    pub hub_of: Vec<usize>,
    /// The kind of the parents, if there are any, and of the origin.
    pub parent_kind: Option<usize>,
    pub origin_kind: usize,
    pub siblings: Siblings,
    pub notes: Notes,
    pub can_join: bool,
    /// Parents and the origin take attempts too.
    pub direct: bool,
    /// Top pace of one answer, KB a second; 0 if it is not told.
    pub client_kb_per_s: f64,
    /// Members' weights are their links, in transfers at the top pace.
    pub weights_told: bool,
    /// The member list must be asked for.
    pub must_ask: bool,
    pub may_cancel: bool,
    pub may_duplicate: bool,
    pub max_attempts: u32,
    pub may_probe: bool,
    pub may_tell_peers: bool,
    /// Refusals may carry a wait; the longest that clients follow.
    pub retry_after: Option<Time>,
    pub answer_slack: Time,
    pub drain_grace: Time,
    pub cache_cold_from: f64,
    pub cache_cold_for: Time,
    pub cache_fall_multiple: f64,
    pub fall_window: Time,
    pub parent_cold_from: f64,
    pub parent_cold_for: Time,
    pub parent_fall_multiple: f64,
    pub purge_slack: Time,
    pub purge_done: Time,
    /// Overload at which the origin stops for a while; 0 for none.
    pub origin_fall_multiple: f64,
}

impl Settings {
    /// The least and the longest aim of the classes that are kept (us).
    pub fn aims(&self) -> [f64; 2] {
        let kept = || {
            self.classes
                .iter()
                .filter(|c| !c.pass_on)
                .map(|c| c.aim as f64)
        };
        [kept().fold(1e9, f64::min), kept().fold(0.0, f64::max)]
    }

    /// How long a cache or parent that started is cold at most.
    pub fn longest_cold(&self) -> Time {
        self.cache_cold_for.max(self.parent_cold_for)
    }

    /// Own caches, siblings, parents, the origin: 0 to 3.
    pub fn tier(&self, member: &Member) -> usize {
        match member.kind {
            kind if kind == self.origin_kind => 3,
            kind if Some(kind) == self.parent_kind => 2,
            _ => (member.zone != self.zone) as usize,
        }
    }

    /// Steps on the ring of hubs between this zone's hub and another's.
    pub fn hubs_apart(&self, zone: usize) -> usize {
        let hub = |zone: usize| self.hub_of.get(zone).copied().unwrap_or(0);
        let apart = hub(zone).abs_diff(hub(self.zone));
        apart.min(self.hub_of.iter().copied().max().unwrap_or(0) + 1 - apart)
    }

    /// Of parents or caches: the part of its capacity that one starts with, for how long it is cold, and the multiple of
    /// its present capacity that it bears.
    pub fn cold_budget(&self, parent: bool) -> (f64, Time, f64) {
        match parent {
            true => (
                self.parent_cold_from,
                self.parent_cold_for,
                self.parent_fall_multiple,
            ),
            false => (
                self.cache_cold_from,
                self.cache_cold_for,
                self.cache_fall_multiple,
            ),
        }
    }
}
