//! What values do together, though each is fine alone.

use crate::account::Repeat;
use crate::check::{at, Faults};
use crate::explore::{self, Setting};
use crate::fault::{Check, Fault};
use crate::table::{Resolved, Said, Table};
use crate::values::{Budget, Concurrency};
use std::sync::Arc;

/// Part of the boxes that fails, in the check of storms, and how much load that may make.
pub const STORM_FAILS: f64 = 0.2;
pub const STORM_MOST: f64 = 2.0;
/// Repeats that the module itself makes, for each hundred requests, where no budget is named.
pub const MODULE_PERCENT: f64 = 10.0;

impl Faults<'_> {
    /// Tokens that a class's repeats can take, for each hundred of its requests.
    pub(crate) fn percent(&self, table: &Table, budget: Option<&str>) -> f64 {
        let Some(mut next) = budget else {
            return MODULE_PERCENT;
        };
        let mut least = f64::INFINITY;
        for _ in 0..=table.budgets.len() {
            let Some(said) = table.budgets.iter().find(|said| said.value.name == next) else {
                break;
            };
            least = least.min(said.value.percent);
            match &said.value.parent {
                Some(parent) => next = parent,
                None => break,
            }
        }
        least
    }

    pub(crate) fn together(&mut self, table: &Table, own: &[&Resolved]) {
        let account = self.account;
        // A failing part fails each of a request's attempts there; the rest of them are repeats.
        for resolved in own {
            let values = &resolved.values;
            let budget = self.percent(table, values.budget.as_deref()) / 100.0;
            let wanted = STORM_FAILS * (values.attempts - 1) as f64;
            let load = 1.0 + wanted.min(budget);
            if load > STORM_MOST {
                let lines = at(resolved, &["budget", "attempts"]);
                let what = format!(
                    "{}: {load:.2} times the load",
                    account.classes[resolved.class].name
                );
                self.add(Check::Storm, lines, what);
            }
        }
        let bursts: u64 = table
            .budgets
            .iter()
            .filter(|b| b.value.parent.is_none())
            .map(|b| b.value.burst)
            .sum();
        if bursts > account.room() {
            let lines = table
                .budgets
                .iter()
                .filter(|b| b.value.parent.is_none())
                .map(|b| b.at.clone())
                .collect();
            let what = format!(
                "bursts of {bursts} in all, room for {} requests",
                account.room()
            );
            self.add(Check::BurstsTogether, lines, what);
        }
        self.starving(table);
        // Each lane's places can be full at once, and each that waits holds what it came with.
        let lanes: Vec<&Arc<Resolved>> = table
            .all()
            .filter(|r| r.values.concurrency.is_some())
            .collect();
        let places: u64 = lanes
            .iter()
            .map(|r| r.values.concurrency.map_or(0, Concurrency::most) + r.values.queue)
            .sum();
        if places > account.room() {
            let mut lines: Vec<String> = Vec::new();
            for resolved in &lanes {
                let more = at(resolved, &["concurrency", "queue"]);
                lines.extend(
                    more.into_iter()
                        .filter(|line| !lines.contains(line))
                        .collect::<Vec<_>>(),
                );
            }
            let what = format!(
                "{places} places and waits in {} lanes, room for {}",
                lanes.len(),
                account.room()
            );
            self.add(Check::PlacesTogether, lines, what);
        }
        for resolved in own {
            let (values, class) = (&resolved.values, &account.classes[resolved.class]);
            let name = &class.name;
            let attempt = if values.attempt_ms > 0 {
                values.attempt_ms
            } else {
                class.aim_ms.min(values.deadline_ms)
            };
            if values.queue > 0 && values.queue_age_ms + attempt > values.deadline_ms {
                let what = format!(
                    "{name}: waits {} ms, one attempt {attempt} ms, deadline {} ms",
                    values.queue_age_ms, values.deadline_ms
                );
                self.add(
                    Check::WaitStarves,
                    at(resolved, &["queue_age_ms", "attempt_ms", "deadline_ms"]),
                    what,
                );
            }
            if values.queue > 0 && values.stale_ms + values.queue_age_ms > account.purge_slack_ms {
                let what = format!(
                    "{name}: stale {} ms and a wait of {} ms, purgeSlack {} ms",
                    values.stale_ms, values.queue_age_ms, account.purge_slack_ms
                );
                self.add(
                    Check::StaleAndWait,
                    at(resolved, &["stale_ms", "queue_age_ms"]),
                    what,
                );
            }
            if values.attempt_ms > 0 && values.attempts > 1 {
                let pauses: u64 = (1..values.attempts).map(|n| values.pause_ms(n, 0.0)).sum();
                let wait = if values.queue > 0 {
                    values.queue_age_ms
                } else {
                    0
                };
                let begins = wait + pauses + values.attempt_ms * (values.attempts - 1);
                if values.queue > 0 && begins >= values.deadline_ms {
                    let what = format!(
                        "{name}: the last attempt begins after {begins} ms, deadline {} ms",
                        values.deadline_ms
                    );
                    let fields = ["attempts", "attempt_ms", "backoff_ms", "queue_age_ms"];
                    self.add(Check::TriesPastAnswer, at(resolved, &fields), what);
                }
            }
        }
        for routes in &table.by_class {
            let keyed =
                |r: &&Arc<Resolved>| matches!(account.classes[r.class].repeat, Repeat::Keyed(_));
            let routes: Vec<&Arc<Resolved>> = routes.iter().filter(keyed).collect();
            for (n, one) in routes.iter().enumerate() {
                let differs = |other: &&&Arc<Resolved>| {
                    (other.values.window_ms, other.values.group)
                        != (one.values.window_ms, one.values.group)
                };
                if let Some(other) = routes[..n].iter().find(differs) {
                    let mut lines = at(one, &["window_ms", "group"]);
                    lines.extend(
                        at(other, &["window_ms", "group"])
                            .into_iter()
                            .filter(|l| !lines.contains(l))
                            .collect::<Vec<_>>(),
                    );
                    let of = |r: &Resolved| {
                        r.route
                            .clone()
                            .unwrap_or_else(|| "the class itself".to_string())
                    };
                    let what = format!(
                        "{}: {} has {} ms, {} has {} ms",
                        table.names[one.class],
                        of(one),
                        one.values.window_ms,
                        of(other),
                        other.values.window_ms
                    );
                    self.add(Check::WindowsDiffer, lines, what);
                    // Once for a class: each further route says the same.
                    break;
                }
            }
        }
    }

    pub(crate) fn starving(&mut self, table: &Table) {
        let keyed = |class: usize| matches!(self.account.classes[class].repeat, Repeat::Keyed(_));
        let mut found = Vec::new();
        for said in &table.budgets {
            let users: Vec<&Arc<Resolved>> = table
                .all()
                .filter(|r| r.values.budget.as_deref() == Some(&said.value.name))
                .collect();
            let (ours, others): (Vec<&Arc<Resolved>>, Vec<_>) =
                users.into_iter().partition(|r| keyed(r.class));
            if let (Some(own), Some(other)) = (ours.first(), others.first()) {
                let mut lines = at(own, &["budget"]);
                lines.extend(
                    at(other, &["budget"])
                        .into_iter()
                        .filter(|l| !lines.contains(l))
                        .collect::<Vec<_>>(),
                );
                lines.push(said.at.clone());
                let what = format!(
                    "budget {} of {} and {}",
                    said.value.name, table.names[own.class], table.names[other.class]
                );
                found.push((Check::BudgetStarves, lines, what));
            }
            // Under a parent: what the others may take of it, against what it earns.
            let under: Vec<_> = table
                .budgets
                .iter()
                .filter(|b| b.value.parent.as_deref() == Some(&said.value.name))
                .collect();
            let used = |b: &Said<Budget>, want: bool| {
                table.all().any(|r| {
                    r.values.budget.as_deref() == Some(&b.value.name) && keyed(r.class) == want
                })
            };
            let Some(own) = under.iter().find(|b| used(b, true)) else {
                continue;
            };
            let others: Vec<_> = under
                .iter()
                .filter(|b| used(b, false) && b.value.name != own.value.name)
                .collect();
            let takes: f64 = others.iter().map(|b| b.value.percent).sum();
            if !others.is_empty() && takes >= said.value.percent {
                let mut lines = vec![own.at.clone(), said.at.clone()];
                lines.extend(others.iter().map(|b| b.at.clone()));
                let what = format!(
                    "budget {} under {}: the others earn {takes} percent, it {} percent",
                    own.value.name, said.value.name, said.value.percent
                );
                found.push((Check::ParentStarves, lines, what));
            }
        }
        found
            .into_iter()
            .for_each(|(check, lines, what)| self.add(check, lines, what));
    }

    /// What only a search shows: pauses, lost answers and the window of keyed classes.
    pub(crate) fn searched(&mut self, resolved: &Resolved) {
        let class = &self.account.classes[resolved.class];
        let Repeat::Keyed(_) = class.repeat else {
            return;
        };
        let setting = Setting::new(self.account, class, &resolved.values);
        if let Some(story) = explore::second_run(&setting).story {
            let fields = [
                "backoff_ms",
                "backoff_most_ms",
                "attempts",
                "attempt_ms",
                "window_ms",
            ];
            let lines = at(resolved, &fields);
            let what = format!("{}: one key runs twice", class.name);
            if !self
                .all
                .iter()
                .any(|fault| fault.check == Check::RunsTwice && fault.at == lines)
            {
                self.all.push(Fault {
                    check: Check::RunsTwice,
                    at: lines,
                    what,
                    story,
                });
            }
        }
    }
}
