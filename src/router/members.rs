//! Membership: which servers are listed, and the tier of each.

use super::server::Server;
use super::tiers::ByTier;
use super::Router;
use crate::interface::{CacheId, Member, MemberState, Tier};

impl Router {
    /// Applies the member list, or changes to it.
    pub(super) fn on_members(&mut self, full: bool, members: Vec<Member>) {
        if full {
            self.remove_unlisted(&members);
        }
        for member in members {
            self.update_member(member);
        }
        self.rebuild_tiers();
        self.raise_usual_ready();
    }

    /// Applies a new topology of the hierarchy.
    pub(super) fn on_topology(&mut self, parent_zones: Vec<usize>, hub_by_zone: Vec<usize>) {
        self.parent_zones = Some(parent_zones);
        self.settings.hub_by_zone = hub_by_zone;
        self.rebuild_tiers();
        self.raise_usual_ready();
    }

    fn remove_unlisted(&mut self, listed: &[Member]) {
        let is_listed = |cache: &CacheId| listed.iter().any(|member| member.cache == *cache);
        let unlisted: Vec<CacheId> = self
            .servers
            .keys()
            .copied()
            .filter(|cache| !is_listed(cache))
            .collect();
        for cache in unlisted {
            self.remove_server(cache);
        }
    }

    fn update_member(&mut self, member: Member) {
        let cache = member.cache;
        let is_gone = member.state == MemberState::Gone;
        let is_same_process = self
            .servers
            .get(&cache)
            .is_some_and(|server| server.member.started_at == member.started_at);
        if is_gone || !is_same_process {
            // A new process starts with an empty cache, and no estimate of the former one applies to it.
            self.remove_server(cache);
        }
        if !is_gone {
            self.servers.entry(cache).or_default().member = member;
        }
    }

    fn remove_server(&mut self, cache: CacheId) {
        self.servers.remove(&cache);
        self.object_table.remove_cache(cache);
    }

    /// Sorts the servers into tiers. Done when the list or the topology changes, so that the cost of a request does not
    /// grow with the fleet.
    fn rebuild_tiers(&mut self) {
        let settings = &self.settings;
        let nearest_hub = self
            .servers
            .values()
            .filter(|server| settings.tier(&server.member) == Tier::Sibling)
            .map(|server| settings.hub_distance(server.member.zone))
            .min();
        let is_selectable = |tier: Tier, server: &Server| match tier {
            Tier::Sibling => Some(settings.hub_distance(server.member.zone)) == nearest_hub,
            Tier::Parent => self
                .parent_zones
                .as_ref()
                .is_none_or(|zones| zones.contains(&server.member.zone)),
            Tier::OwnCache | Tier::Origin => true,
        };
        self.tiers = ByTier::from_fn(|tier| {
            self.servers
                .iter()
                .filter(|(_, server)| settings.tier(&server.member) == tier)
                .filter(|(_, server)| is_selectable(tier, server))
                .map(|(&cache, _)| cache)
                .collect()
        });
    }

    /// The tier of a server; [`Tier::OwnCache`] for a server that is no longer listed.
    pub(super) fn tier_of(&self, cache: CacheId) -> Tier {
        self.servers
            .get(&cache)
            .map_or(Tier::OwnCache, |server| self.settings.tier(&server.member))
    }
}
