//! Slow start of caches and parents: how much load may be sent to a server that started recently. Hubs have a separate
//! rule in `pure/hierarchy`.
//!
//! Inputs: the time since the server's start, the load that servers of its tier carry (us of transfer time
//! per us), and the load that this router sent to it within the overload window. Unit: microseconds of
//! transfer time within the window. A server in slow start fails at a multiple of its present capacity;
//! each router keeps to its own share of that budget, without knowledge of the other routers.

use super::load::TierLoad;
use super::server::Server;
use super::Router;
use crate::interface::Time;

/// Ratio of the budget that is used: the capacity is an estimate, and other routers may exceed their share.
const BUDGET_SAFETY_RATIO: f64 = 0.6;
/// Step of the rotation from one router to the next: multiples of the golden ratio's fractional part are spread evenly.
const ROTATION_PER_ROUTER: f64 = 0.618_034;
/// Step of the rotation from one window to the next: the fractional part of the square root of 2.
const ROTATION_PER_WINDOW: f64 = 0.414_214;
/// Minimum ratio of the offered load that the caches are assumed to carry: a client sends a request at most three
/// times, so at least a third of the load is first requests.
const MIN_CARRIED_RATIO: f64 = 0.33;

impl Router {
    /// Whether one more attempt of this load (us) stays within this router's share of a server's slow-start budget.
    pub(super) fn within_slow_start_budget(&self, now: Time, server: &Server, load: f64) -> bool {
        let settings = &self.settings;
        let member = &server.member;
        let is_parent = Some(member.kind) == settings.parent_kind;
        let slow_start = settings.slow_start(is_parent);
        let age = now.saturating_sub(member.started_at);
        let is_over = member.started_at == 0 || age >= slow_start.duration;
        if is_over || member.kind == settings.origin_kind {
            return true;
        }
        let capacity = self.capacity_per_server(now, is_parent);
        let from = slow_start.initial_ratio;
        let ramp = from + (1.0 - from) * age as f64 / slow_start.duration.max(1) as f64;
        let budget = slow_start.overload_multiple
            * ramp
            * capacity
            * settings.overload_window as f64
            * BUDGET_SAFETY_RATIO;
        // Routers whose budget is less than one request use it in rotation, so that none of the total is lost to
        // rounding.
        let rotation = settings.index as f64 * ROTATION_PER_ROUTER
            + (now / settings.overload_window.max(1)) as f64 * ROTATION_PER_WINDOW;
        self.recent_load(now, server) + load * rotation.fract() < budget
    }

    /// The mean load that one cache or parent carries (us of transfer time per us): the served load, as rejected load
    /// shows no capacity, divided by the usual number of servers, as the remaining servers carry more during an outage.
    fn capacity_per_server(&self, now: Time, is_parent: bool) -> f64 {
        let TierLoad {
            served,
            usual_ready,
        } = if is_parent {
            &self.load.parents
        } else {
            &self.load.caches
        };
        // A new router, or one whose whole zone restarted, relies on the offered load.
        let least = if is_parent {
            0.0
        } else {
            MIN_CARRIED_RATIO * self.load.offered.per_us(now)
        };
        served.per_us(now).max(least) / usual_ready.max(1.0)
    }

    /// The load sent to a server within the overload window, and the load that placements still allow clients to send
    /// (us).
    fn recent_load(&self, now: Time, server: &Server) -> f64 {
        // A client may use its placement at any time until it expires.
        let placed = self
            .placements
            .get(&server.member.cache)
            .map_or(0.0, |placements| placements.sum_since(now + 1));
        let window_start = now.saturating_sub(self.settings.overload_window);
        server.recent_sends.sum_since(window_start) + placed
    }

    /// Whether a server started less than the longest slow start ago.
    pub(super) fn is_warming_up(&self, now: Time, server: &Server) -> bool {
        let age = now.saturating_sub(server.member.started_at);
        server.member.started_at != 0 && age < self.settings.longest_slow_start()
    }
}
