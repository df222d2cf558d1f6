//! Cache selection: which of the zone's caches a request goes to.
//!
//! Inputs: the object table, the rendezvous order of the caches for the object, and each cache's state. A
//! request goes to the cache that holds its object, else to the object's home, the first in rendezvous
//! order. If these are loaded, unhealthy, over their slow-start budget, or have failed the request, the
//! next cache in that order is used.

use super::requests::Request;
use super::server::Server;
use super::Router;
use crate::interface::{CacheId, Tier, Time};
use foldmux_stats::rendezvous_rank;

/// Utilization from which a cache is skipped for the next one: one popular object or a slow link must not delay what
/// other caches could serve.
const SPILL_UTILIZATION: f64 = 1.3;

impl Router {
    /// The cache for a request, or `None` if no cache of the zone may take it.
    ///
    /// Prefers a cache that is healthy, has not failed the request and has spare capacity; then one that meets the
    /// first two conditions; then one that meets either of them; then any that may take the request.
    pub(super) fn select_cache(&self, now: Time, request: &Request) -> Option<CacheId> {
        let candidates = self.caches_in_order(now, request);
        if self.settings.classes[request.class].bypass_cache {
            return self.least_loaded(now, request, &candidates);
        }
        let is_healthy = |cache: &CacheId| self.is_healthy(now, &self.servers[cache]);
        let has_not_failed = |cache: &CacheId| !request.has_failed_at(*cache);
        let mut eligible = candidates
            .iter()
            .filter(|cache| is_healthy(cache) && has_not_failed(cache));
        let first_eligible = eligible.clone().next();
        eligible
            .find(|cache| self.has_spare_capacity(&self.servers[cache]))
            .or(first_eligible)
            .or_else(|| {
                candidates
                    .iter()
                    .find(|cache| is_healthy(cache) || has_not_failed(cache))
            })
            .or(candidates.first())
            .copied()
    }

    /// The caches that may take a request: first the holder of its object, then the others in rendezvous order.
    fn caches_in_order(&self, now: Time, request: &Request) -> Vec<CacheId> {
        let holder = self.object_table.holder(now, request.key);
        let mut caches: Vec<CacheId> = self.tiers[Tier::OwnCache]
            .iter()
            .copied()
            .filter(|&cache| self.may_take(now, request, cache))
            .collect();
        caches.sort_by_key(|&cache| {
            let rank = rendezvous_rank(request.key.0, cache.0 as u64);
            (Some(cache) != holder, !rank, cache)
        });
        caches
    }

    fn may_take(&self, now: Time, request: &Request, cache: CacheId) -> bool {
        let server = &self.servers[&cache];
        let load = self.mean_transfer_time[request.class];
        // The router does not see how often a client uses its placement, so a cache that is warming up gets none.
        let may_be_placed = request.placement_ttl.is_none() || !self.is_warming_up(now, server);
        server.is_ready()
            && may_be_placed
            && self.within_slow_start_budget(now, server, load)
            && self.is_safe_at(now, request, cache)
    }

    /// The least loaded of the healthy caches. For requests that are never stored: they have no home.
    fn least_loaded(
        &self,
        now: Time,
        request: &Request,
        candidates: &[CacheId],
    ) -> Option<CacheId> {
        candidates.iter().copied().min_by_key(|&cache| {
            let server = &self.servers[&cache];
            let is_unhealthy = !self.is_healthy(now, server);
            let has_failed = request.has_failed_at(cache);
            (is_unhealthy, has_failed, server.in_flight, cache)
        })
    }

    fn has_spare_capacity(&self, server: &Server) -> bool {
        server.capacity.utilization(server.in_flight) < SPILL_UTILIZATION
    }
}
