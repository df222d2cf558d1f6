//! What one set of values shows alone, and routes that are never reached.

use crate::account::Repeat;
use crate::check::{at, Faults};
use crate::fault::Check;
use crate::table::{Resolved, Table};
use crate::values::Concurrency;

impl Faults<'_> {
    #[expect(
        clippy::too_many_lines,
        reason = "a rule each for all fields; to be split by field"
    )]
    pub(crate) fn single(&mut self, resolved: &Resolved) {
        let (account, values) = (self.account, &resolved.values);
        let class = &account.classes[resolved.class];
        let name = match &resolved.route {
            Some(route) => format!("{}, route {route}", class.name),
            None => class.name.clone(),
        };
        let mut add = |check, fields: &[&str], what: String| {
            self.add(check, at(resolved, fields), format!("{name}: {what}"))
        };
        if values.deadline_ms > class.deadline_ms {
            add(
                Check::DeadlinePastAccount,
                &["deadline_ms"],
                format!(
                    "deadline {} ms, the account's {} ms",
                    values.deadline_ms, class.deadline_ms
                ),
            );
        }
        if values.deadline_ms <= account.answer_slack_ms {
            let what = format!(
                "deadline {} ms, slack {} ms",
                values.deadline_ms, account.answer_slack_ms
            );
            add(Check::NoRoomForAnswer, &["deadline_ms"], what);
            // Nothing else of it fits into no time.
            return;
        }
        if values.attempt_ms > values.deadline_ms {
            let what = format!(
                "attempt {} ms, deadline {} ms",
                values.attempt_ms, values.deadline_ms
            );
            add(
                Check::AttemptPastDeadline,
                &["attempt_ms", "deadline_ms"],
                what,
            );
        }
        if values.attempts == 0 {
            add(Check::NoAttempt, &["attempts"], "attempts 0".to_string());
        }
        if values.attempts > account.max_attempts {
            let what = format!(
                "attempts {}, maxAttempts {}",
                values.attempts, account.max_attempts
            );
            add(Check::TooManyAttempts, &["attempts"], what);
        }
        if values.copies != 1
            && !(values.copies > 1 && account.may_duplicate && class.repeat == Repeat::Free)
        {
            add(
                Check::CopiesAtOnce,
                &["copies"],
                format!("copies {}", values.copies),
            );
        }
        if values.wait_ms > account.max_wait_ms.unwrap_or(0) {
            let what = format!(
                "wait {} ms, maxRetryAfter {} ms",
                values.wait_ms,
                account.max_wait_ms.unwrap_or(0)
            );
            add(Check::WaitPastAccount, &["wait_ms"], what);
        }
        let set = |field| resolved.from.get(field).is_some_and(|line| line != "today");
        match class.repeat {
            Repeat::Keyed(group) => {
                if values.window_ms > class.window_ms {
                    let what = format!(
                        "window {} ms, the archive's {} ms",
                        values.window_ms, class.window_ms
                    );
                    add(Check::WindowPastArchive, &["window_ms"], what);
                }
                if values.group > group {
                    add(
                        Check::GroupTooWide,
                        &["group"],
                        format!("group {:?}, the account's {group:?}", values.group),
                    );
                }
            }
            _ if set("window_ms") || set("group") => {
                add(
                    Check::NotKeyed,
                    &["window_ms", "group"],
                    "a window or a group".to_string(),
                );
            }
            _ => {}
        }
        if class.repeat == Repeat::Once && values.attempts > 1 && set("attempts") {
            add(
                Check::RepeatedOnce,
                &["attempts"],
                format!("attempts {}", values.attempts),
            );
        }
        if values.stale_ms > account.purge_slack_ms {
            let what = format!(
                "stale {} ms, purgeSlack {} ms",
                values.stale_ms, account.purge_slack_ms
            );
            add(Check::StalePastPurge, &["stale_ms"], what);
        }
        if values.keep > 3 {
            add(
                Check::RankOutOfRange,
                &["keep"],
                format!("keep {}", values.keep),
            );
        }
        let backoff = [
            "backoff_ms",
            "backoff_factor",
            "backoff_most_ms",
            "jitter_percent",
        ];
        let most = values.backoff_most_ms;
        let shaped = (1.0..=100.0).contains(&values.backoff_factor)
            && (0.0..=100.0).contains(&values.jitter_percent);
        if !shaped || (most > 0 && most < values.backoff_ms) || (most > 0 && values.backoff_ms == 0)
        {
            let what = format!(
                "backoff {} ms, times {}, {} ms at most, less {} percent",
                values.backoff_ms, values.backoff_factor, most, values.jitter_percent
            );
            add(Check::BackoffShape, &backoff, what);
        }
        if values.backoff_ms >= values.deadline_ms {
            let what = format!(
                "backoff {} ms, deadline {} ms",
                values.backoff_ms, values.deadline_ms
            );
            add(
                Check::BackoffPastDeadline,
                &["backoff_ms", "deadline_ms"],
                what,
            );
        }
        if values.queue > 0 && values.queue_age_ms == 0 {
            add(
                Check::QueueWithoutAge,
                &["queue", "queue_age_ms"],
                format!("queue {}", values.queue),
            );
        }
        if values.queue == 0 && values.queue_age_ms > 0 {
            add(
                Check::AgeWithoutQueue,
                &["queue_age_ms", "queue"],
                format!("age {} ms", values.queue_age_ms),
            );
        }
        if values.queue > 0 && values.concurrency.is_none() {
            add(
                Check::QueueWithoutPlaces,
                &["queue", "concurrency"],
                format!("queue {}", values.queue),
            );
        }
        if values.queue_age_ms >= values.deadline_ms {
            let what = format!(
                "age {} ms, deadline {} ms",
                values.queue_age_ms, values.deadline_ms
            );
            add(
                Check::AgePastDeadline,
                &["queue_age_ms", "deadline_ms"],
                what,
            );
        }
        match values.concurrency {
            Some(Concurrency::Adaptive { least, most }) if least == 0 || least > most => {
                add(
                    Check::PlacesShape,
                    &["concurrency"],
                    format!("places {least} to {most}"),
                );
            }
            Some(places) if places.most() > account.room() => {
                let what = format!("places {}, room for {}", places.most(), account.room());
                add(Check::PlacesPastRoom, &["concurrency"], what);
            }
            _ => {}
        }
        if values.queue > account.room() {
            add(
                Check::PlacesPastRoom,
                &["queue"],
                format!("queue {}, room for {}", values.queue, account.room()),
            );
        }
        // Where each attempt takes its whole time, the last one begins so late.
        if values.attempt_ms > 0 && values.attempts > 1 && values.attempts <= account.max_attempts {
            let pauses: u64 = (1..values.attempts).map(|n| values.pause_ms(n, 1.0)).sum();
            let begins = values.attempt_ms * (values.attempts - 1) + pauses;
            let keyed = matches!(class.repeat, Repeat::Keyed(_));
            let end = if keyed {
                values.window_ms.min(values.deadline_ms)
            } else {
                values.deadline_ms
            };
            if begins >= end && set("attempts") {
                let what = format!(
                    "attempt {} begins after {begins} ms, the end is at {end} ms",
                    values.attempts
                );
                add(
                    Check::NeverMade,
                    &["attempts", "attempt_ms", "backoff_ms", "window_ms"],
                    what,
                );
            }
        }
    }

    pub(crate) fn shadows(&mut self, table: &Table) {
        for routes in &table.by_class {
            for (n, route) in routes
                .iter()
                .enumerate()
                .filter(|(_, route)| route.route.is_some())
            {
                let before = routes[..n]
                    .iter()
                    .find(|other| other.matching.covers(&route.matching));
                if let Some(before) = before {
                    let lines = [route, before]
                        .iter()
                        .filter_map(|r| r.at.last().cloned())
                        .collect();
                    let (name, by) = (
                        route.route.clone().unwrap_or_default(),
                        before.route.clone().unwrap_or_default(),
                    );
                    let what = format!("{}: route {name} is behind {by}", table.names[route.class]);
                    self.add(Check::ShadowedRoute, lines, what);
                }
            }
        }
    }
}
