//! What a server that started lately may be sent.

use super::*;

/// Part of the cold budget that is used: capacity is inferred and peers may have more than their share.
const COLD_SAFETY: f64 = 0.6;
/// Steps of the fronts' turns from front to front and from window to window: both spread evenly.
const TURN: (f64, f64) = (0.618_034, 0.414_214);
/// Part of the work asked for that caches can bear at least, with every client asking three times.
const ASKED_BEARABLE: f64 = 0.33;

impl Router {
    /// The part of the cold budget that is this front's own, by what servers are seen to bear: served work,
    /// as refused work is no capacity, over their usual number, as those that are left carry more.
    /// Guards against pushing over a cache or parent that started lately, whoever else sends to it.
    pub(super) fn cold_room(&self, now: Time, server: &Server, weight: f64) -> bool {
        let s = &self.settings;
        let parent = Some(server.member.kind) == s.parent_kind;
        let (from, cold_for, multiple) = s.cold_budget(parent);
        let age = now.saturating_sub(server.member.started_at);
        if server.member.started_at == 0 || age >= cold_for || server.member.kind == s.origin_kind {
            return true;
        }
        // A front that is new, or whose zone restarted whole, goes by what it is asked for.
        let borne = self.served[parent as usize].per_us(now);
        let least = if parent {
            0.0
        } else {
            ASKED_BEARABLE * self.asked.per_us(now)
        };
        let capacity = borne.max(least) / self.usual[parent as usize].max(1.0);
        let ramp = from + (1.0 - from) * age as f64 / cold_for.max(1) as f64;
        let budget = multiple * ramp * capacity * s.overload_window as f64 * COLD_SAFETY;
        // An answer that is still in a client's hands may be used at any time of its lease.
        let leased = self
            .leases
            .get(&server.member.cache)
            .map_or(0.0, |leases| leases.sum_since(now + 1));
        let spent = server
            .window
            .sum_since(now.saturating_sub(s.overload_window))
            + leased;
        // Shares of a few requests or none: fronts take turns, so that in all nothing is lost to rounding.
        let turn = s.index as f64 * TURN.0 + (now / s.overload_window.max(1)) as f64 * TURN.1;
        spent + weight * turn.fract() < budget
    }

    pub(super) fn cold(&self, now: Time, server: &Server) -> bool {
        let age = now.saturating_sub(server.member.started_at);
        server.member.started_at != 0 && age < self.settings.longest_slow_start()
    }
}
