//! Source selection: which server a miss is filled from.
//!
//! Inputs: the object table, each server's state and fill latency (us). In order of preference: the cache
//! of the zone that holds the object, a sibling (by a query), a parent, the origin.

use super::requests::{Plan, Request};
use super::Router;
use crate::interface::{CacheId, RequestId, SiblingFills, Tier, Time};
use foldmux_stats::{mean, rendezvous_rank};

/// Fill latency that is assumed before any is observed, as a ratio of the shortest latency objective.
const INITIAL_LATENCY_RATIO: f64 = 0.2;
/// Fill latency below which the origin is assumed to have capacity for fills that parents reject, as a ratio of the
/// shortest latency objective.
const SPARE_ORIGIN_LATENCY_RATIO: f64 = 0.5;
/// Loss rate of the parents above which the origin takes the fills that they reject. Below it, late fills may be due to
/// the links, which a fill from the origin uses as well.
const PARENT_LOSS_THRESHOLD: f64 = 0.05;
/// Number of parents that are compared by their latency.
const PARENT_CHOICES: usize = 2;

impl Router {
    /// Plans the next attempt of a request: its cache, and the source of a miss.
    pub(super) fn plan_attempt(&mut self, now: Time, id: RequestId) -> Option<Plan> {
        let draw = self.random_below(u64::MAX);
        let request = &self.requests[&id];
        match self.select_cache(now, request) {
            Some(cache) => self.plan_at(now, request, cache, draw),
            None => self.plan_direct(now, request),
        }
    }

    /// Plans an attempt directly at a parent or the origin, if the settings allow it and no cache of the zone may take
    /// the request.
    fn plan_direct(&self, now: Time, request: &Request) -> Option<Plan> {
        let server = self
            .select_upper_tier(now, request, false)
            .filter(|_| self.settings.direct_fetch)?;
        self.is_safe_at(now, request, server)
            .then(|| Plan::without_fill(server))
    }

    fn plan_at(&self, now: Time, request: &Request, cache: CacheId, draw: u64) -> Option<Plan> {
        let holder = self.object_table.holder(now, request.key);
        let plan = Plan {
            is_listed: holder == Some(cache),
            ..Plan::without_fill(cache)
        };
        if let Some(source) = holder.filter(|&holder| self.can_fill(now, request, cache, holder)) {
            return Some(Plan {
                source,
                only_if_cached: true,
                ..plan
            });
        }
        let bypasses_cache = self.settings.classes[request.class].bypass_cache;
        if !plan.is_listed && !bypasses_cache {
            if let Some((source, timeout)) = self.plan_sibling_query(now, request, draw) {
                return Some(Plan {
                    source,
                    only_if_cached: true,
                    sibling_query_timeout: Some(timeout),
                    ..plan
                });
            }
        }
        let source = self.select_upper_tier(now, request, plan.is_listed)?;
        Some(Plan { source, ..plan })
    }

    /// Whether another cache of the zone, which holds the object, may be the source of the fill.
    fn can_fill(&self, now: Time, request: &Request, cache: CacheId, holder: CacheId) -> bool {
        holder != cache
            && !request.has_failed_at(holder)
            && self.settings.sibling_fills != SiblingFills::None
            && self
                .servers
                .get(&holder)
                .is_some_and(|server| self.can_serve_fills(now, server))
    }

    /// The sibling to query and the query's timeout.
    fn plan_sibling_query(
        &self,
        now: Time,
        request: &Request,
        draw: u64,
    ) -> Option<(CacheId, Time)> {
        let sibling = self.sibling_for(now, request)?;
        let timeout = self.sibling_query_timeout(now, request, draw)?;
        Some((sibling, timeout))
    }

    /// The parent or the origin that a miss is filled from.
    ///
    /// Chooses of the first two parents in rendezvous order the one with the lower fill latency. With this order an
    /// object's fills go to few parents, each of which asks the origin once. A parent slower than the longest latency
    /// objective cannot serve any class in time, so the origin is used instead; otherwise the last remaining parent,
    /// rejecting or overloaded, would get all fills.
    fn select_upper_tier(&self, now: Time, request: &Request, is_listed: bool) -> Option<CacheId> {
        let is_open = |cache: &&CacheId| self.may_fill(now, request, **cache, is_listed);
        let [_, longest_objective] = self.settings.latency_objectives();
        let is_fast =
            |cache: &&CacheId| self.servers[*cache].is_faster_than(now, longest_objective);
        let parent = self.select_parent(now, request, is_listed);
        let (parents, origins) = (&self.tiers[Tier::Parent], &self.tiers[Tier::Origin]);
        parent
            .as_ref()
            .filter(is_fast)
            .or_else(|| origins.iter().filter(is_open).find(is_fast))
            .or(parent.as_ref())
            .or_else(|| origins.iter().chain(parents).find(is_open))
            .copied()
    }

    fn select_parent(&self, now: Time, request: &Request, is_listed: bool) -> Option<CacheId> {
        let mut parents: Vec<CacheId> = self.tiers[Tier::Parent]
            .iter()
            .copied()
            .filter(|&parent| self.may_fill(now, request, parent, is_listed))
            .filter(|parent| self.is_healthy(now, &self.servers[parent]))
            .filter(|&parent| !request.has_failed_at(parent))
            .collect();
        parents.sort_by_key(|&parent| {
            let rank = rendezvous_rank(request.key.0, parent.0 as u64);
            (rank, parent)
        });
        // A parent without recent observations counts as average, so that a slow period does not exclude it forever.
        let average = self.upper_tier_latency(now);
        let latency = |parent: &CacheId| {
            self.servers[parent]
                .recent_fill_latency(now)
                .unwrap_or(average)
        };
        parents
            .into_iter()
            .take(PARENT_CHOICES)
            .min_by(|one, other| latency(one).total_cmp(&latency(other)))
    }

    /// Whether a parent or the origin is ready for a fill, and within its slow-start budget.
    fn may_fill(&self, now: Time, request: &Request, cache: CacheId, is_listed: bool) -> bool {
        let server = &self.servers[&cache];
        let load = self.mean_transfer_time[request.class];
        // The budget does not count fills that are unlikely or that a client causes by using its placement, so a server
        // that is warming up gets none of these.
        let is_uncounted = is_listed || request.placement_ttl.is_some();
        server.is_ready()
            && self.within_slow_start_budget(now, server, load)
            && !(is_uncounted && self.is_warming_up(now, server))
    }

    /// Mean fill latency of the parents and the origin (us).
    pub(super) fn upper_tier_latency(&self, now: Time) -> f64 {
        let upper_tiers = self.tiers[Tier::Parent]
            .iter()
            .chain(&self.tiers[Tier::Origin]);
        mean(upper_tiers.filter_map(|cache| self.servers[cache].recent_fill_latency(now)))
            .unwrap_or_else(|| {
                let [shortest_objective, _] = self.settings.latency_objectives();
                INITIAL_LATENCY_RATIO * shortest_objective
            })
    }

    /// The origin, for fills that are not admitted to the parents: if parents lose fills and the origin is not known to
    /// be slow.
    pub(super) fn origin_instead_of_parents(
        &self,
        now: Time,
        request: &Request,
    ) -> Option<CacheId> {
        let [shortest_objective, _] = self.settings.latency_objectives();
        let spare_latency = SPARE_ORIGIN_LATENCY_RATIO * shortest_objective;
        self.tiers[Tier::Origin]
            .iter()
            .copied()
            .find(|&origin| {
                let server = &self.servers[&origin];
                !request.has_failed_at(origin)
                    && server.is_ready()
                    && server.is_faster_than(now, spare_latency)
            })
            .filter(|_| self.parent_loss_rate > PARENT_LOSS_THRESHOLD)
    }
}
