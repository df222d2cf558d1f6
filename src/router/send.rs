//! Whether an attempt goes out, and within which bounds.

use super::*;

/// Taken off the age that a copy may have after a purge (us): a batch's rounding.
const PURGE_MARGIN: Time = 5_000;
/// An attempt is called off after so many times the wait that is in time; what is left is worth little.
const OVERDUE: Time = 2;
/// Most sends and leases of one server that are counted: far over any cold budget.
const SENT_MAX: usize = 4_096;

impl Router {
    /// Sends the next attempt, or gives the request up.
    pub(super) fn try_next(&mut self, now: Time, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let kept = !self.settings.classes[request.class].bypass_cache;
        let first = request.attempts == 0;
        let spent = request.attempts >= self.settings.max_attempts || now >= request.deadline;
        let plan = if spent { None } else { self.plan(now, id) };
        let Some(mut plan) = plan else {
            return self.give_up(id, out);
        };
        let tier = self.tier_of(plan.source);
        let draws: [u64; 3] = std::array::from_fn(|_| self.draw(1 << 32));
        if kept && plan.source != plan.cache && !self.routes[0].admit(now, draws[0]) {
            // Guards against a jam of fills, whatever slows them: look at what is held, else refuse at once.
            (plan.source, plan.query, plan.hold_only, plan.time_out) =
                (plan.cache, false, false, 0);
            plan.ageing = true;
        } else if kept && tier >= 2 {
            // With little room the small come first: more are answered for what origin and links carry.
            let (mean, work) = (self.mean_work(), self.requests[&id].work);
            let part = if work > mean { mean / work } else { 1.0 };
            let room = plan.listed || self.deep.free(draws[2], part);
            if !(self.routes[tier - 1].admit(now, draws[1]) && room) {
                // Guards against refusing for the parents' failures what the origin would bear, and against
                // keeping a slow or stopped origin down: parents give what they hold.
                let request = &self.requests[&id];
                let (instead, held) = match tier {
                    3 if plan.listed => (None, plan.cache),
                    3 => (None, self.sibling(now, request).unwrap_or(plan.cache)),
                    _ => (
                        self.round_parents(now, request).filter(|_| !plan.listed),
                        plan.source,
                    ),
                };
                let instead = instead.filter(|_| self.routes[2].admit(now, draws[1]) && room);
                (plan.hold_only, plan.ageing) = (instead.is_none(), instead.is_none());
                plan.source = instead.unwrap_or(held);
            }
        }
        // Guards against late answers for all where the caches' links are asked for more than they carry.
        let crowded = first && !self.near.free(draws[2], 1.0);
        if kept && (crowded || (plan.source == plan.cache && !first)) {
            return self.give_up(id, out);
        }
        self.send(now, id, plan, out);
    }

    pub(super) fn send(&mut self, now: Time, id: RequestId, plan: Plan, out: &mut Vec<Action>) {
        let request = &self.requests[&id];
        let class = &self.settings.classes[request.class];
        let purged = self.purged_at(now, request.key, request.group);
        // A copy older than the purge must not serve; 0 would mean the class's own limit.
        let max_age = purged.map_or(0, |at| now.saturating_sub(at + PURGE_MARGIN).max(1));
        // With a quarter of the fills out that may be, or few allowed at all, an older copy beats a fill.
        let ageing = plan.ageing || self.deep.out * 4.0 + 2.0 > self.deep.most;
        let oldest = class.freshness_lifetime
            + class.stale_while_revalidate * (ageing && class.freshness_lifetime > 0) as Time;
        let max_age = [max_age, oldest]
            .into_iter()
            .filter(|&age| age > 0)
            .min()
            .unwrap_or(0);
        // Guards against servers that take work and answer nothing: seen when the answer is far from in time.
        let overdue = OVERDUE * request.aim_at.saturating_sub(now);
        let time_out = if plan.query || class.retry_safety != RetrySafety::Idempotent {
            plan.time_out
        } else {
            overdue
        };
        let keep = if class.bypass_cache {
            0
        } else {
            1 + self.local.get(request.key, now).is_some() as u8
        };
        let weight = self.class_work[request.class];
        let above = self.tier_of(plan.source) >= 2;
        let attempt = Attempt {
            plan,
            key: request.key,
            group: request.group,
            beside: self.servers.get(&plan.cache).map_or(0, |s| s.out),
            above,
            deep: above && !plan.listed && !plan.hold_only && keep > 0,
            work: request.work,
            weight,
            sent: now,
            kept: keep > 0,
            patience: request.aim_at.saturating_sub(now) as f64 - request.work,
        };
        out.push(Action::Fetch(Fetch {
            id,
            cache: plan.cache,
            timeout: time_out,
            send_before: request
                .may_have_run
                .map_or(0, |(sent, _)| class.retry_before(sent)),
            source: plan.source,
            retention_rank: keep,
            max_age,
            collapse: self.settings.request_collapsing && !class.bypass_cache,
            only_if_cached: plan.hold_only,
            revalidate: class.freshness_lifetime > 0 && purged.is_none(),
        }));
        let filled = !plan.listed && plan.source != plan.cache;
        let lease = request.lease;
        let servers = [Some(plan.cache), filled.then_some(plan.source)];
        for (n, cache) in servers.into_iter().flatten().enumerate() {
            if let Some(server) = self.servers.get_mut(&cache) {
                server.window.add(
                    now,
                    weight,
                    now.saturating_sub(self.settings.overload_window),
                    SENT_MAX,
                );
                *(if n == 0 {
                    &mut server.out
                } else {
                    &mut server.filling
                }) += 1;
                let due = request.aim_at.max(now + request.work as Time);
                server.due = server.due.or((n == 0).then_some(due));
            }
            if lease > 0 {
                self.leases
                    .entry(cache)
                    .or_default()
                    .add(now + lease, weight, now + 1, SENT_MAX);
            }
        }
        let request = self.requests.get_mut(&id).expect("open");
        let number = request.attempts as u8;
        request.attempts += 1;
        request.queried |= plan.query;
        let limit = if attempt.deep {
            &mut self.deep
        } else {
            &mut self.near
        };
        limit.out += attempt.kept as u8 as f64;
        self.attempts.insert((id, number), attempt);
    }

    /// Mean sending time over the classes that are kept and were seen (us).
    pub(super) fn mean_work(&self) -> f64 {
        let both = self.class_work.iter().zip(&self.settings.classes);
        let kept = both.filter(|(&work, class)| !class.bypass_cache && work > 0.0);
        mean(kept.map(|(&work, _)| work)).unwrap_or(0.0)
    }
}
