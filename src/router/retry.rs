//! Whether a request is tried again after an outcome, where an effect allows it, and how it ends.

use super::*;

/// A request that so many caches answer with an error is at fault itself.
const ERRORS_MOST: usize = 2;
/// Least wait advised with a refusal (us), at most a tenth of the class's deadline; chance up to doubles it.
const RETRY_AFTER: Time = 200_000;

impl Router {
    pub(super) fn on_outcome(&mut self, now: Time, report: AttemptReport, out: &mut Vec<Action>) {
        let AttemptReport {
            id,
            outcome,
            cache_status: note,
            last,
            ..
        } = report;
        let Some(attempt) = self.attempts.remove(&(id, report.attempt)) else {
            return;
        };
        self.learn(now, &attempt, &report);
        if outcome == Outcome::Served {
            // Guards against blaming caches for what none can serve, such as a bad client's objects: an error
            // counts once the same request was served.
            let erred = self
                .requests
                .get_mut(&id)
                .map(|r| std::mem::take(&mut r.erred))
                .unwrap_or_default();
            erred.into_iter().for_each(|cache| self.blame(now, cache));
        }
        if last || outcome == Outcome::Served {
            return self.close(id, out);
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if outcome == Outcome::Error && !note.is_source_fault() {
            request.erred.push(attempt.plan.cache);
        }
        let hopeless = request.erred.len() >= ERRORS_MOST;
        if !outcome.not_processed() && request.may_have_run.is_none() {
            request.may_have_run = Some((attempt.sent, attempt.plan.cache));
        }
        let source_slow = attempt.plan.query && outcome == Outcome::TimedOut;
        // After a reset the object may well be where it was asked for: the work ran, its answer was lost.
        if !matches!(outcome, Outcome::Miss | Outcome::Reset)
            && !note.is_source_fault()
            && !source_slow
        {
            request.tried.push(attempt.plan.cache);
        }
        request
            .tried
            .extend((attempt.plan.source != attempt.plan.cache).then_some(attempt.plan.source));
        let safe = self.settings.classes[request.class].retry_safety == RetrySafety::Idempotent;
        let above_lacks = attempt.plan.hold_only && attempt.above && outcome == Outcome::Miss;
        if self
            .attempts
            .range((id, 0)..=(id, u8::MAX))
            .next()
            .is_some()
        {
            return;
        }
        if above_lacks || hopeless || (note == CacheStatus::OriginFailed && safe) {
            return self.give_up(id, out);
        }
        if outcome != Outcome::Miss {
            // Guards against retries that keep an overload or an outage going; full is an overload's sign.
            // Where notes are not given, full may be the source's word: another source is tried once.
            let told =
                self.settings.cache_status_detail == CacheStatusDetail::All || request.attempts > 1;
            if self.retries < 1.0 || (outcome == Outcome::Overloaded && safe && told) {
                return self.give_up(id, out);
            }
            self.retries -= 1.0;
        }
        self.try_next(now, id, out);
    }

    /// Effects: an attempt that may have run binds where the next may go.
    pub(super) fn may_repeat_at(&self, now: Time, request: &Request, cache: CacheId) -> bool {
        let rules = &self.settings.classes[request.class];
        let elsewhere = |g| {
            self.servers
                .get(&cache)
                .is_none_or(|s| rules.retry_safety.key_group(&s.member) != g)
        };
        if request.within.is_some_and(elsewhere) {
            return false;
        }
        let Some((sent, first)) = request.may_have_run else {
            return true;
        };
        let (Some(a), Some(b)) = (self.servers.get(&first), self.servers.get(&cache)) else {
            return rules.retry_safety == RetrySafety::Idempotent;
        };
        match rules.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => false,
            keyed => {
                keyed.same_key_group(&a.member, &b.member) && now < sent + rules.idempotency_window
            }
        }
    }

    /// Ends a request that has its answer: what is still out for it is called off.
    pub(super) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.requests.remove(&id);
        let left = self
            .attempts
            .range((id, 0)..=(id, u8::MAX))
            .filter(|_| self.settings.can_cancel);
        out.extend(left.map(|(&(id, attempt), _)| Action::Cancel { id, attempt }));
    }

    /// The final answer at once. Refused where trying again is harmless, else failed.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let mut left = self.attempts.range((id, 0)..=(id, u8::MAX));
        let ran =
            request.may_have_run.is_some() || request.within.is_some() || left.next().is_some();
        let Class {
            retry_safety: repeat,
            deadline,
            ..
        } = self.settings.classes[request.class];
        let refuse = !ran
            || matches!(
                repeat,
                RetrySafety::Idempotent | RetrySafety::Keyed(KeyScope::All)
            );
        let least = RETRY_AFTER.min(deadline / 10);
        let wait = least + self.draw(least);
        let retry_after = self
            .settings
            .max_retry_after
            .map_or(0, |longest| wait.min(longest));
        out.push(if refuse {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        });
        self.close(id, out);
    }

    pub(super) fn on_tick(&mut self, now: Time, out: &mut Vec<Action>) {
        out.push(Action::StartTimer {
            after: TICK,
            token: TICK_TOKEN,
        });
        // A time-out at the deadline that never came: the answer is still owed in time.
        let slack = self.settings.response_slack / 2;
        let overdue = |r: &Request| !r.started && now >= r.deadline + slack;
        let late: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, r)| overdue(r))
            .map(|(&id, _)| id)
            .collect();
        late.into_iter().for_each(|id| self.give_up(id, out));
        let (ready, over) = (
            self.ready(),
            self.settings.longest_slow_start().max(OVER_LEAST) as f64,
        );
        for (usual, ready) in self.usual.iter_mut().zip(ready) {
            *usual = ready.max(*usual + (ready - *usual) * TICK as f64 / over);
        }
    }
}
