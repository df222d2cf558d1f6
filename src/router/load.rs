//! Offered and served load, and the usual number of servers that serve it.
//!
//! Unit: microseconds of transfer time per microsecond, that is, concurrent transfers at full rate.

use super::Router;
use crate::interface::{Settings, Tier, Time};
use foldmux_stats::DecayingRate;

/// Minimum time constant of the averages (us). It is otherwise the duration of the longest slow start, so that the load
/// before a restart is still known until the server is warm.
const MIN_TIME_CONSTANT_US: Time = 1_000_000;

/// The load of one tier of the hierarchy.
pub(super) struct TierLoad {
    pub(super) served: DecayingRate,
    /// Usual number of ready servers: follows a rise at once, a fall slowly.
    pub(super) usual_ready: f64,
}

impl TierLoad {
    fn new(time_constant: f64) -> TierLoad {
        TierLoad {
            served: DecayingRate::new(time_constant),
            usual_ready: 0.0,
        }
    }
}

/// The load of the zone, as this router sees it.
pub(super) struct Load {
    pub(super) offered: DecayingRate,
    pub(super) caches: TierLoad,
    pub(super) parents: TierLoad,
}

impl Load {
    pub(super) fn new(settings: &Settings) -> Load {
        let time_constant = time_constant(settings);
        Load {
            offered: DecayingRate::new(time_constant),
            caches: TierLoad::new(time_constant),
            parents: TierLoad::new(time_constant),
        }
    }
}

fn time_constant(settings: &Settings) -> f64 {
    settings.longest_slow_start().max(MIN_TIME_CONSTANT_US) as f64
}

impl Router {
    /// Raises the usual numbers of ready servers to the present ones.
    pub(super) fn raise_usual_ready(&mut self) {
        let caches = self.ready_in(Tier::OwnCache);
        let parents = self.ready_in(Tier::Parent);
        let load = &mut self.load;
        load.caches.usual_ready = load.caches.usual_ready.max(caches);
        load.parents.usual_ready = load.parents.usual_ready.max(parents);
    }

    /// Moves the usual numbers of ready servers towards the present ones, for an elapsed `interval`.
    pub(super) fn decay_usual_ready(&mut self, interval: Time) {
        let time_constant = time_constant(&self.settings);
        let caches = self.ready_in(Tier::OwnCache);
        let parents = self.ready_in(Tier::Parent);
        let decayed = |usual: f64, ready: f64| {
            ready.max(usual + (ready - usual) * interval as f64 / time_constant)
        };
        let load = &mut self.load;
        load.caches.usual_ready = decayed(load.caches.usual_ready, caches);
        load.parents.usual_ready = decayed(load.parents.usual_ready, parents);
    }

    /// Number of selectable servers of a tier that are ready; draining ones do not count.
    fn ready_in(&self, tier: Tier) -> f64 {
        self.tiers[tier]
            .iter()
            .filter(|cache| self.servers[cache].is_ready())
            .count() as f64
    }
}
