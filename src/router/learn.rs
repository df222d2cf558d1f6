//! What is learned from an outcome: health, latency, capacity, room, and the summary.

use super::*;

/// A source that refuses counts as so many longest aims slow: two refusals leave it for a quicker one.
const REFUSED_AS: f64 = 5.0;
/// An answer is late from this part of the wait that is still in time: crowding shows before it hurts.
const LATE: f64 = 0.5;

impl Router {
    /// Health, latency, capacity, the query's record and the summary, all from one outcome.
    pub(super) fn learn(&mut self, now: Time, attempt: &Attempt, report: &AttemptReport) {
        let &AttemptReport {
            outcome,
            cache_status: note,
            elapsed,
            ..
        } = report;
        let [least, longest] = self.settings.latency_objectives();
        let extra = (elapsed as f64 - attempt.work).max(0.0);
        let untold = note == CacheStatus::Unknown;
        let served = outcome == Outcome::Served;
        let from_source = served
            && (matches!(note, CacheStatus::Filled | CacheStatus::FilledByOrigin)
                || (untold && !attempt.plan.listed));
        let hit = note == CacheStatus::Hit || (untold && attempt.plan.listed);
        let (own, above) = (
            self.tier_of(attempt.plan.cache),
            self.tier_of(attempt.plan.source),
        );
        if let Some(server) = self.servers.get_mut(&attempt.plan.cache) {
            let like = &mut self.like[own];
            server.out = server.out.saturating_sub(1);
            server.due = server.due.filter(|_| !outcome.is_responsive());
            match outcome {
                Outcome::Served => {
                    server.note(now, false, false, like);
                    self.served[0].add(now, attempt.weight);
                    let beside = (attempt.beside + server.out) as f64 / 2.0 + 1.0;
                    let stretch = elapsed as f64 / attempt.work.max(1.0);
                    let slow = stretch > STRETCH && attempt.work > START * least;
                    let capacity = server.capacity.unwrap_or(beside);
                    let sample = if slow {
                        beside / stretch
                    } else {
                        beside.max(capacity)
                    };
                    if hit && (slow || sample > capacity) {
                        server.capacity = Some(capacity + SMOOTH * (sample - capacity));
                    }
                }
                Outcome::ConnectFailed => server.note(now, true, true, like),
                Outcome::TimedOut if attempt.plan.query => {}
                Outcome::Reset | Outcome::TimedOut => server.note(now, true, false, like),
                // Full is load and no illness: shunned, its objects would be filled again elsewhere.
                _ => {}
            }
        }
        let asked = !attempt.plan.listed;
        let filling = attempt.plan.source != attempt.plan.cache;
        let late = served && extra > LATE * attempt.patience;
        let timed_out = outcome == Outcome::TimedOut;
        if attempt.deep {
            // Past the wanted time, no sooner: guards against taking a far parent, whose fills need most of
            // it in the calmest hour, for a crowded one: what is refused is never kept, and the limit stays.
            let over = timed_out || extra > attempt.patience;
            self.deep
                .ended((timed_out || (served && !hit)).then_some(over));
            // Answers that are lost where nothing is filled are lost here too, and say nothing of the origin.
            self.deep.most += LIMIT_STEPS.0 * self.unanswered;
        } else if attempt.kept {
            if (!asked || !filling) && outcome != Outcome::Cancelled {
                self.unanswered += SMOOTH * (timed_out as u8 as f64 - self.unanswered);
            }
            self.near.ended((served && hit).then_some(late));
        }
        if late && hit {
            // What is held comes late too: the links are crowded, and fills would crowd them more.
            self.routes[0].cut();
        }
        let lost = matches!(outcome, Outcome::Overloaded | Outcome::TimedOut)
            || note == CacheStatus::OriginFailed;
        if above == 2 && asked && !attempt.plan.hold_only {
            self.lost += SMOOTH * ((lost || outcome == Outcome::Error) as u8 as f64 - self.lost);
        }
        if ((late && from_source) || lost) && filling && !attempt.plan.query {
            // A parent's own copy that comes late, or no fill place, speaks of the link; else of the source.
            let filled = note == CacheStatus::Filled
                && self.settings.cache_status_detail == CacheStatusDetail::All;
            let link = !attempt.above
                || attempt.plan.hold_only
                || filled
                || note == CacheStatus::NoFillSlot;
            self.routes[if link { 0 } else { above.max(2) - 1 }].cut();
            if note == CacheStatus::OriginFailed {
                self.routes[2].cut();
            }
        }
        let failed = matches!(outcome, Outcome::Error | Outcome::TimedOut);
        let blamed = if untold {
            asked && failed
        } else {
            note.is_source_fault()
        };
        let blamed =
            blamed && !matches!(note, CacheStatus::SourceMissed | CacheStatus::OriginFailed);
        let source = self
            .servers
            .get_mut(&attempt.plan.source)
            .filter(|_| filling);
        if let Some(server) = source {
            server.filling = server.filling.saturating_sub(asked as u32);
            // Where nothing is told, a refusal may be the cache's own: then it falls to all sources alike.
            let refused = asked && untold && outcome == Outcome::Overloaded;
            if from_source || refused {
                let latency = server.latency.get(now, HEARD).unwrap_or(extra);
                server.latency.record(
                    now,
                    latency,
                    if refused { REFUSED_AS * longest } else { extra },
                    SMOOTH,
                );
            }
            if from_source && above == 2 {
                self.served[1].add(now, attempt.weight);
            }
            if from_source || blamed {
                server.note(now, !from_source, false, &mut self.like[above]);
            }
        }
        if attempt.plan.query
            && (from_source || failed || matches!(outcome, Outcome::Overloaded | Outcome::Miss))
        {
            let gain = if from_source {
                self.parent_latency(now) - extra
            } else {
                -(elapsed as f64)
            };
            // No try counts for more than the longest aim: one hung sibling must not close the gate.
            self.query_gain += SMOOTH * (gain.clamp(-longest, longest) - self.query_gain);
        }
        let cache = attempt.plan.cache;
        if outcome == Outcome::Miss
            && self
                .local
                .get(attempt.key, now)
                .is_some_and(|e| e.cache == cache)
        {
            self.local.remove(attempt.key);
        }
        let mine = self
            .servers
            .get(&cache)
            .is_some_and(|s| s.ready() && self.settings.tier(&s.member) == 0);
        // A fill that began before a purge says nothing of what is held after it.
        let void = self
            .purged_at(now, attempt.key, attempt.group)
            .is_some_and(|at| at > attempt.sent);
        if served && attempt.kept && mine && !void {
            self.local.put(attempt.key, cache, attempt.group, now);
        }
    }
}
