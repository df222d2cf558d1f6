//! The rules by name, and their violations: where in the file, and why it is rejected.

use std::fmt;

macro_rules! rules {
    ($($name:ident = $text:literal: $why:literal,)*) => {
        /// A rule that a file must keep.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Rule { $(#[doc = $why] $name,)* }

        impl Rule {
            /// All rules.
            pub const ALL: &'static [Rule] = &[$(Rule::$name,)*];

            /// The name by which violations are reported.
            pub fn name(self) -> &'static str {
                match self { $(Rule::$name => $text,)* }
            }

            /// Why a file that breaks the rule is rejected.
            pub fn reason(self) -> &'static str {
                match self { $(Rule::$name => $why,)* }
            }
        }
    };
}

rules! {
    UnknownClass = "unknown-class": "the account has no class of that name, so the limits would hold for nothing",
    UnknownBudget = "unknown-budget": "no budget has that name, so repeats would be unbounded",
    UnknownFront = "unknown-front": "no front has that name, so the route would match nothing",
    InvalidPattern = "pattern-shape": "a * stands for what follows at the end alone: elsewhere nothing would ever match",
    NeverMatches = "never-matches": "callers prove who they are at the external processor alone, so nothing would ever match",
    SetTwice = "twice-set": "two calls set the same, and only one of them could hold",
    TooManyRoutes = "too-many-routes": "each request looks through its class's routes",
    DeadlineTooLong = "deadline-past-account": "clients leave at the account's deadline: what is done after it is lost",
    DeadlineTooShort = "no-room-for-answer": "a final answer is due within the slack, so a deadline must be over it",
    AttemptPastDeadline = "attempt-past-deadline": "an attempt that may take longer than the request ends after its answer is due",
    NoAttempt = "no-attempt": "a request without an attempt is never served",
    TooManyAttempts = "too-many-attempts": "the account allows no more attempts of one request",
    ConcurrentAttempts = "copies-at-once": "the account allows no two attempts of one request at once (mayDuplicate is false)",
    RetryAfterTooLong = "wait-past-account": "clients follow no longer advice to come back",
    WindowTooLong = "window-past-archive": "the archive drops a key's repeats for its window only: a later one would run twice",
    ScopeTooWide = "group-too-wide": "a repeat outside the group that drops repeats would run twice",
    NotKeyed = "not-keyed": "only keyed classes have a window and a group",
    NotIdempotent = "repeated-once": "an attempt of this class may have run, and none may follow",
    StaleTooLong = "stale-past-purge": "an older copy may be served for the purge slack and no longer",
    StaleOfKeyed = "stale-of-keyed": "nothing of a keyed class is kept, so there is never an old copy to serve",
    UnknownRetentionRank = "rank-out-of-range": "caches know ranks 0 to 3",
    InvalidBackoff = "backoff-shape": "pauses grow from the first to the most, less a part of 0 to 100 percent",
    BackoffPastDeadline = "backoff-past-deadline": "after such a pause there is no time for an attempt",
    QueueWithoutTimeout = "queue-without-age": "what waits without an age is answered after its client left",
    TimeoutWithoutQueue = "age-without-queue": "an age of what never waits says nothing: the queue is 0",
    QueueWithoutConcurrency = "queue-without-places": "without a bound on places nothing ever waits",
    QueueTimeoutPastDeadline = "age-past-deadline": "what waits past its deadline is answered after its client left",
    InvalidConcurrency = "places-shape": "places are at least one, and the least is under the most",
    CapacityExceeded = "places-past-room": "the process has descriptors and memory for fewer requests",
    InvalidBudget = "budget-shape": "a budget earns 0 to 500 percent and holds at least one token",
    BudgetCycle = "budget-circle": "a budget above itself could never be taken from",
    AttemptNeverMade = "never-made": "an attempt that can only begin after the window or the deadline is never made",
    ShadowedRoute = "shadowed-route": "a route before it takes all that it would match",
    // Limits that are valid one by one, and not in combination.
    RetryStorm = "storm": "with a fifth of the boxes failing, repeats would more than double the load",
    TotalBurstTooLarge = "bursts-together": "all bursts spent at once would double the load of a full process in an instant",
    BudgetStarved = "budget-starves": "another class can take all tokens of a keyed class, and leave its records unrepeated",
    ParentStarved = "parent-starves": "the other budgets under one parent can take all that it earns from a keyed class",
    TotalCapacityExceeded = "places-together": "all classes' places and queues together are over the process's descriptors and memory",
    NoTimeAfterQueue = "wait-starves": "after the longest wait there is no time left for one whole attempt",
    WindowsDiffer = "windows-differ": "one key can come by both, and each would believe another window or group",
    StaleAfterQueue = "stale-and-wait": "a copy that is old when it is judged is served after the wait: together past the purge slack",
    AttemptsPastDeadline = "tries-past-answer": "the wait and the attempts' pauses together leave no time in which the last attempt could end",
    DuplicateRun = "runs-twice": "a sequence of lost answers and pauses leads to a second run of one key",
}

/// A rule that a file breaks.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The calls that conflict, as `FILE:LINE`.
    pub at: Vec<String>,
    /// What breaks the rule, with its values.
    pub subject: String,
    /// How it comes about, event by event, where that was searched for.
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
