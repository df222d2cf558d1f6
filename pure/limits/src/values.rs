//! What can be set, as a layer that says only what it sets, and as the effective values with where each comes from.

use crate::account::{Account, Class, Group, Repeat};
use schemars::JsonSchema;
use serde::Serialize;

/// A token bucket for repeats: so many for each hundred requests, and so many saved up.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
pub struct Budget {
    pub name: String,
    /// Tokens for each hundred first attempts.
    pub percent: f64,
    /// Tokens that are held at the most.
    pub burst: u64,
    /// Takes from this one as well.
    pub parent: Option<String>,
}

/// How many requests of a class are open at once.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Concurrency {
    Fixed {
        most: u64,
    },
    /// By the gradient of latency, within bounds.
    Adaptive {
        least: u64,
        most: u64,
    },
}

impl Concurrency {
    pub fn most(self) -> u64 {
        match self {
            Concurrency::Fixed { most } | Concurrency::Adaptive { most, .. } => most,
        }
    }
}

/// What a layer sets. None: as the layer below has it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Layer {
    pub deadline_ms: Option<u64>,
    pub attempt_ms: Option<u64>,
    pub attempts: Option<u64>,
    pub backoff_ms: Option<u64>,
    pub backoff_factor: Option<f64>,
    pub backoff_most_ms: Option<u64>,
    pub jitter_percent: Option<f64>,
    pub budget: Option<String>,
    pub concurrency: Option<Concurrency>,
    pub queue: Option<u64>,
    pub queue_age_ms: Option<u64>,
    pub copies: Option<u64>,
    pub keep: Option<u64>,
    pub stale_ms: Option<u64>,
    pub fills: Option<u64>,
    pub wait_ms: Option<u64>,
    pub window_ms: Option<u64>,
    pub group: Option<Group>,
}

/// The values that hold for a request, each resolved.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
pub struct Effective {
    /// How long its client waits at the most, all tries together (ms).
    pub deadline_ms: u64,
    /// How long one attempt may take (ms); 0: until the deadline.
    pub attempt_ms: u64,
    /// Attempts of one request.
    pub attempts: u64,
    /// Before the second attempt (ms), times the factor before each further one, up to the most, less up to so many
    /// percent by chance.
    pub backoff_ms: u64,
    pub backoff_factor: f64,
    pub backoff_most_ms: u64,
    pub jitter_percent: f64,
    /// The budget that repeats take from; none: no bound but the module's own.
    pub budget: Option<String>,
    /// Open requests at once; none: no bound but the process's.
    pub concurrency: Option<Concurrency>,
    /// Requests that wait for a place, and for how long at the most (ms).
    pub queue: u64,
    pub queue_age_ms: u64,
    /// Attempts at once.
    pub copies: u64,
    /// The highest rank at which caches keep an answer, 0 to 3.
    pub keep: u64,
    /// How long an ageing copy may be served while it is fetched anew (ms).
    pub stale_ms: u64,
    /// Fills under way at one source; 0: no bound but the module's own.
    pub fills: u64,
    /// The longest advice to come back (ms).
    pub wait_ms: u64,
    /// For keyed classes: how long after its first attempt a key may be attempted again (ms), and where.
    pub window_ms: u64,
    pub group: Group,
}

/// The fields' names, in the order in which they are shown.
pub const FIELDS: [&str; 18] = [
    "deadline_ms",
    "attempt_ms",
    "attempts",
    "backoff_ms",
    "backoff_factor",
    "backoff_most_ms",
    "jitter_percent",
    "budget",
    "concurrency",
    "queue",
    "queue_age_ms",
    "copies",
    "keep",
    "stale_ms",
    "fills",
    "wait_ms",
    "window_ms",
    "group",
];

impl Effective {
    /// Today's values: what holds where a file says nothing.
    pub fn today(account: &Account, class: &Class) -> Effective {
        let (window_ms, group) = match class.repeat {
            Repeat::Keyed(group) => (class.window_ms, group),
            _ => (0, Group::All),
        };
        Effective {
            deadline_ms: class.deadline_ms,
            attempt_ms: 0,
            attempts: account.max_attempts,
            backoff_ms: 0,
            backoff_factor: 2.0,
            backoff_most_ms: 0,
            jitter_percent: 0.0,
            budget: None,
            concurrency: None,
            queue: 0,
            queue_age_ms: 0,
            copies: 1,
            keep: 3,
            stale_ms: 0,
            fills: 0,
            wait_ms: account.max_wait_ms.unwrap_or(0),
            window_ms,
            group,
        }
    }

    /// How long to stay away before an attempt, counted from 1 (ms). `draw`: from 0 to 1.
    pub fn pause_ms(&self, attempt: u64, draw: f64) -> u64 {
        if attempt == 0 || self.backoff_ms == 0 {
            return 0;
        }
        let turns = (attempt - 1).min(32) as i32;
        let whole = self.backoff_ms as f64 * self.backoff_factor.powi(turns);
        let whole = whole.min(self.backoff_most_ms.max(self.backoff_ms) as f64);
        (whole * (1.0 - self.jitter_percent / 100.0 * draw.clamp(0.0, 1.0))) as u64
    }

    /// How long an attempt may take (us), where the module wants it to take so long; 0: until the deadline.
    pub fn time_out(&self, wanted: u64) -> u64 {
        let own = self.attempt_ms.saturating_mul(1_000);
        match (own, wanted) {
            (0, time) | (time, 0) => time,
            (own, wanted) => own.min(wanted),
        }
    }

    /// The field as text, as it is shown and compared.
    pub fn text(&self, field: &str) -> String {
        let optional = |text: &Option<String>| text.clone().unwrap_or_else(|| "none".to_string());
        match field {
            "deadline_ms" => self.deadline_ms.to_string(),
            "attempt_ms" => self.attempt_ms.to_string(),
            "attempts" => self.attempts.to_string(),
            "backoff_ms" => self.backoff_ms.to_string(),
            "backoff_factor" => self.backoff_factor.to_string(),
            "backoff_most_ms" => self.backoff_most_ms.to_string(),
            "jitter_percent" => self.jitter_percent.to_string(),
            "budget" => optional(&self.budget),
            "concurrency" => match self.concurrency {
                None => "none".to_string(),
                Some(Concurrency::Fixed { most }) => most.to_string(),
                Some(Concurrency::Adaptive { least, most }) => format!("{least} to {most}"),
            },
            "queue" => self.queue.to_string(),
            "queue_age_ms" => self.queue_age_ms.to_string(),
            "copies" => self.copies.to_string(),
            "keep" => self.keep.to_string(),
            "stale_ms" => self.stale_ms.to_string(),
            "fills" => self.fills.to_string(),
            "wait_ms" => self.wait_ms.to_string(),
            "window_ms" => self.window_ms.to_string(),
            "group" => format!("{:?}", self.group).to_lowercase(),
            other => format!("no field {other}"),
        }
    }
}

impl Layer {
    /// Puts what this layer sets over the values; the fields that it set.
    pub fn over(&self, values: &mut Effective) -> Vec<&'static str> {
        let mut set = Vec::new();
        macro_rules! put {
            ($($field:ident),*) => {
                $(if let Some(value) = self.$field.clone() {
                    values.$field = value;
                    set.push(stringify!($field));
                })*
            };
        }
        put!(
            deadline_ms,
            attempt_ms,
            attempts,
            backoff_ms,
            backoff_factor,
            backoff_most_ms,
            jitter_percent,
            queue,
            queue_age_ms,
            copies,
            keep,
            stale_ms,
            fills,
            wait_ms,
            window_ms,
            group
        );
        if let Some(budget) = &self.budget {
            values.budget = Some(budget.clone()).filter(|name| name != "none");
            set.push("budget");
        }
        if let Some(concurrency) = self.concurrency {
            values.concurrency = Some(concurrency).filter(|c| c.most() > 0);
            set.push("concurrency");
        }
        set
    }
}

#[cfg(test)]
mod tests;
