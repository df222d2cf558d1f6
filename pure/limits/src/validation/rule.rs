//! The rules with their names and reasons, and the violations that are reported.

use std::fmt;

macro_rules! rules {
    ($($name:ident = $text:literal: $why:literal,)*) => {
        /// A rule that a file must obey.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Rule { $(#[doc = $why] $name,)* }

        impl Rule {
            /// All rules.
            pub const ALL: &'static [Rule] = &[$(Rule::$name,)*];

            /// Returns the name by which violations are reported.
            pub fn name(self) -> &'static str {
                match self { $(Rule::$name => $text,)* }
            }

            /// Returns why a file that breaks the rule is rejected.
            pub fn reason(self) -> &'static str {
                match self { $(Rule::$name => $why,)* }
            }
        }
    };
}

rules! {
    UnknownClass = "unknown-class": "the account has no class of that name, so the limits would apply to no request",
    UnknownBudget = "unknown-budget": "no budget has that name, so retries would be unbounded",
    UnknownFront = "unknown-front": "no front has that name, so the route would match nothing",
    InvalidPattern = "pattern-shape": "a * is a wildcard only at the end of a pattern: elsewhere nothing would ever match",
    NeverMatches = "never-matches": "callers authenticate only at the external processor, so nothing would ever match",
    SetTwice = "twice-set": "two calls set the same, and only one of them could apply",
    TooManyRoutes = "too-many-routes": "each request is compared with the routes of its class, so their number is bounded",
    DeadlineTooLong = "deadline-past-account": "clients stop waiting at the account's deadline, so work after it is lost",
    DeadlineTooShort = "no-room-for-answer": "the final response is due within the slack, so the deadline must be longer",
    AttemptPastDeadline = "attempt-past-deadline": "an attempt whose timeout exceeds the deadline ends after the response is due",
    NoAttempt = "no-attempt": "a request without an attempt is never served",
    TooManyAttempts = "too-many-attempts": "the account allows no more attempts of one request",
    ConcurrentAttempts = "copies-at-once": "the account allows no two attempts of one request at once (mayDuplicate is false)",
    RetryAfterTooLong = "wait-past-account": "clients do not honor a longer Retry-After",
    WindowTooLong = "window-past-archive": "the archive drops duplicates of a key only within its window, so a later retry would run twice",
    ScopeTooWide = "group-too-wide": "a retry outside the group that drops duplicates would run twice",
    NotKeyed = "not-keyed": "only keyed classes have a window and a group",
    NotIdempotent = "repeated-once": "an earlier attempt of this class may have run, so no retry may follow",
    StaleTooLong = "stale-past-purge": "an older copy may be served only for the purge slack",
    StaleOfKeyed = "stale-of-keyed": "responses of a keyed class are not cached, so there is never a stale copy to serve",
    UnknownRetentionRank = "rank-out-of-range": "caches know ranks 0 to 3",
    InvalidBackoff = "backoff-shape": "the factor is 1 to 100, a maximum needs a first pause and is not below it, and jitter is 0 to 100 percent",
    BackoffPastDeadline = "backoff-past-deadline": "after such a pause there is no time left for an attempt",
    QueueWithoutTimeout = "queue-without-age": "a request queued without a timeout is answered after its client left",
    TimeoutWithoutQueue = "age-without-queue": "a queue timeout has no effect without a queue",
    QueueWithoutConcurrency = "queue-without-places": "without a bound on places no request is ever queued",
    QueueTimeoutPastDeadline = "age-past-deadline": "a request queued past its deadline is answered after its client left",
    InvalidConcurrency = "places-shape": "the minimum is at least one and not above the maximum",
    CapacityExceeded = "places-past-room": "the process has file descriptors and memory for fewer requests",
    InvalidBudget = "budget-shape": "a budget earns 0 to 500 percent, holds at least one token and is not named none",
    BudgetCycle = "budget-circle": "a budget that is its own ancestor could never be withdrawn from",
    AttemptNeverMade = "never-made": "an attempt that can only begin after the window or the deadline is never made",
    ShadowedRoute = "shadowed-route": "an earlier route matches every request that it would match",
    // Limits that are valid one by one, and not in combination.
    RetryStorm = "storm": "with a fifth of the servers failing, retries would more than double the load",
    TotalBurstTooLarge = "bursts-together": "all bursts spent at once would instantly double the load of a full process",
    BudgetStarved = "budget-starves": "another class can withdraw all tokens of a keyed class, whose requests would not be retried",
    ParentStarved = "parent-starves": "the other budgets under one parent can withdraw all that it earns and leave none for a keyed class",
    TotalCapacityExceeded = "places-together": "the places and queues of all classes together exceed the process's file descriptors and memory",
    NoTimeAfterQueue = "wait-starves": "after the longest wait there is no time left for one whole attempt",
    WindowsDiffer = "windows-differ": "one key can arrive by both, and each would apply a different window or group",
    StaleAfterQueue = "stale-and-wait": "a copy's age is judged before the wait in the queue, so it could be served past the purge slack",
    AttemptsPastDeadline = "tries-past-answer": "the queue timeout, pauses and attempt timeouts together leave no time for the last attempt",
    DuplicateRun = "runs-twice": "a sequence of lost responses and pauses leads to a second run of one key",
}

/// A violation of a rule by a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The calls that conflict, as `FILE:LINE`.
    pub at: Vec<String>,
    /// The limits that break the rule, with their values.
    pub subject: String,
    /// The sequence of events that leads to it, if the rule was checked by a search.
    pub trace: Vec<String>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let at = self.at.first().map(String::as_str).unwrap_or("the file");
        write!(
            f,
            "{at}: [{}] {}: {}",
            self.rule.name(),
            self.subject,
            self.rule.reason()
        )?;
        if self.at.len() > 1 {
            write!(f, " (with {})", self.at[1..].join(", "))?;
        }
        if !self.trace.is_empty() {
            write!(f, "; how: {}", self.trace.join("; "))?;
        }
        Ok(())
    }
}
