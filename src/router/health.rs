//! Who is fit for ordinary traffic.

use super::*;

/// Weight of a new outcome in the failure record of a server, and in that of its whole tier.
const FAIL_SMOOTH: (f64, f64) = (0.15, 0.03);
/// Failure record from which a server is shunned: far over stray errors, under a half-broken server.
const FAIL_LIMIT: f64 = 0.3;
/// Shunning (us): short enough to see a recovery; then one trial at a time.
const SHUN: Time = 1_000_000;

impl Server {
    /// Guards against whatever makes a server fail more than its like: dead, hung, erring, or cut off. What
    /// all of a tier have in common (a failing origin, lost answers) is no reason to leave any of them.
    pub(super) fn note(&mut self, now: Time, failed: bool, dead: bool, like: &mut f64) {
        let sample = failed as u8 as f64;
        self.fail += FAIL_SMOOTH.0 * (sample - self.fail);
        *like += FAIL_SMOOTH.1 * (sample - *like);
        if dead || (failed && self.fail > FAIL_LIMIT + *like && now >= self.shun_until) {
            self.shun_until = now + SHUN;
        }
    }
}

impl Router {
    /// Fit for ordinary traffic: not shunned (or enough for one trial), nor silent when an answer is due.
    pub(super) fn healthy(&self, now: Time, server: &Server) -> bool {
        let limit = FAIL_LIMIT + self.like[self.settings.tier(&server.member)];
        let trial = server.fail <= limit || server.out + server.filling == 0;
        now >= server.shun_until
            && trial
            && (server.out == 0 || server.due.is_none_or(|due| now <= due))
    }

    /// A cache that may be named as the source of what it holds.
    pub(super) fn gives(&self, now: Time, server: &Server) -> bool {
        server.ready() && self.healthy(now, server) && !self.cold(now, server)
    }

    pub(super) fn blame(&mut self, now: Time, cache: CacheId) {
        let tier = self.tier_of(cache);
        if let Some(server) = self.servers.get_mut(&cache) {
            server.note(now, true, false, &mut self.like[tier]);
        }
    }
}
