//! Who is listed, in which tier, and which copies are out of date.

use super::*;

/// Most purges remembered one by one; beyond it everything counts as purged.
const PURGES_MAX: usize = 4_096;

impl Router {
    pub(super) fn on_members(&mut self, full: bool, members: Vec<Member>) {
        let missing = |c: &CacheId| full && !members.iter().any(|m| m.cache == *c);
        let gone: Vec<CacheId> = self.servers.keys().copied().filter(missing).collect();
        gone.into_iter().for_each(|cache| self.forget(cache));
        for member in members {
            let cache = member.cache;
            let same = self
                .servers
                .get(&cache)
                .is_some_and(|s| s.member.started_at == member.started_at);
            if member.state == MemberState::Gone || !same {
                // What was known of the former process is void, and the new one came back empty.
                self.forget(cache);
            }
            if member.state != MemberState::Gone {
                self.servers.entry(cache).or_default().member = member;
            }
        }
        // Kept by tier on list changes, so that a request's work does not grow with the fleet.
        let apart = |s: &Server| self.settings.hub_distance(s.member.zone);
        let siblings = || {
            self.servers
                .values()
                .filter(|s| self.settings.tier(&s.member) == 1)
        };
        let nearest = siblings().map(apart).min();
        let wired = |s: &Server| {
            self.wired
                .as_ref()
                .is_none_or(|hubs| hubs.contains(&s.member.zone))
        };
        let near =
            |t: usize, s: &Server| (t != 1 || Some(apart(s)) == nearest) && (t != 2 || wired(s));
        self.tiers = std::array::from_fn(|tier| {
            let all = self
                .servers
                .iter()
                .filter(|(_, s)| self.settings.tier(&s.member) == tier);
            all.filter(|(_, s)| near(tier, s))
                .map(|(&c, _)| c)
                .collect()
        });
        let ready = self.ready();
        self.usual = std::array::from_fn(|n| self.usual[n].max(ready[n]));
    }

    /// Own caches and parents that serve; one that drains is no one's usual share.
    pub(super) fn ready(&self) -> [f64; 2] {
        [0, 2].map(|tier| {
            self.tiers[tier]
                .iter()
                .filter(|c| self.servers[c].ready())
                .count() as f64
        })
    }

    pub(super) fn tier_of(&self, cache: CacheId) -> usize {
        self.servers
            .get(&cache)
            .map_or(0, |s| self.settings.tier(&s.member))
    }

    pub(super) fn forget(&mut self, cache: CacheId) {
        self.servers.remove(&cache);
        self.local.retain(|_, e| e.cache != cache);
    }

    pub(super) fn on_purge(&mut self, now: Time, object: Option<ObjectId>, group: u32, ago: Time) {
        // Held for twice the time in which older copies vanish, for a front's own delays.
        let (at, until) = (
            now.saturating_sub(ago),
            now + 2 * self.settings.purge_complete,
        );
        let key = object.map_or(u64::MAX, |o| o.0 & OBJECT_BITS);
        self.purges.retain(|_, p| p.1 > now);
        if self.purges.len() >= PURGES_MAX {
            // Bounded memory: beyond the limit all groups count as purged.
            self.purges.clear();
            self.purges.insert((u64::MAX, u32::MAX), (now, until));
        }
        let held = self
            .purges
            .entry((key, if object.is_some() { 0 } else { group }))
            .or_insert((at, until));
        *held = (held.0.max(at), held.1.max(until));
        let of_group = |e: &Entry| object.is_none() && e.group == group;
        self.local
            .retain(|k, e| !(of_group(e) || (object.is_some() && k & OBJECT_BITS == key)));
    }

    /// When a copy of this must have left the origin at the earliest, if a purge binds.
    pub(super) fn purged_at(&self, now: Time, key: u64, group: u32) -> Option<Time> {
        let keys = [
            (key & OBJECT_BITS, 0),
            (u64::MAX, group),
            (u64::MAX, u32::MAX),
        ];
        keys.iter()
            .filter_map(|k| self.purges.get(k).filter(|p| p.1 > now).map(|p| p.0))
            .max()
    }
}
