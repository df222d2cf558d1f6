//! The rules of the account, which no operator's file may loosen: the platform's settings, or the built-in defaults where
//! a file is validated without them.

/// The protocol listeners that a route may name.
pub const FRONTS: [&str; 3] = ["msgpack", "dns", "ext_proc"];

/// The only listener at which callers authenticate.
pub const AUTHENTICATED_FRONT: &str = "ext_proc";

/// The condition under which an attempt of a class may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Always, because requests are idempotent.
    Idempotent,
    /// Within the scope in which the request's idempotency key is known, and while it is remembered.
    Keyed(IdempotencyScope),
    /// Only when no earlier attempt can have been processed.
    NotIdempotent,
}

/// The scope in which an idempotency key is known, from narrow to wide.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, schemars::JsonSchema,
)]
#[expect(
    missing_docs,
    reason = "docs of variants would enter the exported schema"
)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Group", description = "From narrow to wide.")]
pub enum IdempotencyScope {
    Cell,
    Zone,
    All,
}

impl IdempotencyScope {
    /// Parses the value of the operator's file.
    pub fn parse(text: &str) -> Option<IdempotencyScope> {
        match text {
            "cell" => Some(IdempotencyScope::Cell),
            "zone" => Some(IdempotencyScope::Zone),
            "all" => Some(IdempotencyScope::All),
            _ => None,
        }
    }

    /// Returns the value of the operator's file.
    pub fn name(self) -> &'static str {
        match self {
            IdempotencyScope::Cell => "cell",
            IdempotencyScope::Zone => "zone",
            IdempotencyScope::All => "all",
        }
    }
}

/// The account's rules for one class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRules {
    /// The name by which the operator's file refers to the class.
    pub name: String,
    /// How long a client waits for the response, all attempts together (ms).
    pub deadline_ms: u64,
    /// The latency objective: a response within it has its full value (ms).
    pub objective_ms: u64,
    /// When an attempt may be retried.
    pub retry_safety: RetrySafety,
    /// How long the origin remembers an idempotency key and drops its duplicates (ms). Of keyed classes only.
    pub idempotency_window_ms: u64,
}

impl ClassRules {
    /// Whether requests of the class carry an idempotency key.
    pub fn is_keyed(&self) -> bool {
        matches!(self.retry_safety, RetrySafety::Keyed(_))
    }
}

/// The rules that no file may loosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// The classes, in the order of their numbers.
    pub classes: Vec<ClassRules>,
    /// Maximum number of attempts of one request.
    pub max_attempts: u64,
    /// Whether two attempts of one request may be in flight at once.
    pub may_duplicate: bool,
    /// The longest Retry-After that clients follow (ms). `None`: rejections may carry none.
    pub max_retry_after_ms: Option<u64>,
    /// Time after the client's deadline within which the final response is due (ms).
    pub answer_slack_ms: u64,
    /// Time after a purge during which an older copy may still be served (ms).
    pub purge_slack_ms: u64,
    /// File descriptors that the process may open.
    pub max_sockets: u64,
    /// Memory that the process may use (MiB).
    pub memory_mb: u64,
}

/// Buffer of one request (KiB).
const REQUEST_BUFFER_KB: u64 = 256;
/// File descriptors that one request may need: its client's connection and one to a server.
const SOCKETS_PER_REQUEST: u64 = 2;
/// Share of the memory that request buffers may take (tenths).
const BUFFER_MEMORY_TENTHS: u64 = 7;

impl Default for Account {
    fn default() -> Account {
        let class = |name: &str, deadline_ms, objective_ms, retry_safety, idempotency_window_ms| {
            ClassRules {
                name: name.to_string(),
                deadline_ms,
                objective_ms,
                retry_safety,
                idempotency_window_ms,
            }
        };
        let idempotent = RetrySafety::Idempotent;
        let keyed = RetrySafety::Keyed(IdempotencyScope::All);
        Account {
            classes: vec![
                class("mix-video", 5_000, 500, idempotent, 5_000),
                class("formula-card", 3_000, 250, idempotent, 5_000),
                class("mix-record", 3_000, 600, keyed, 2_000),
            ],
            max_attempts: 8,
            may_duplicate: false,
            max_retry_after_ms: Some(500),
            answer_slack_ms: 8,
            purge_slack_ms: 1_000,
            max_sockets: 1_024,
            memory_mb: 192,
        }
    }
}

impl Account {
    /// Returns the rules of the class of that name.
    pub fn class(&self, name: &str) -> Option<&ClassRules> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Returns the number of requests that the process can hold at once, by its descriptors and its memory; at least one.
    pub fn request_capacity(&self) -> u64 {
        let by_sockets = self.max_sockets / SOCKETS_PER_REQUEST;
        let buffer_memory_kb = self.memory_mb * 1024 * BUFFER_MEMORY_TENTHS / 10;
        let by_memory = buffer_memory_kb / REQUEST_BUFFER_KB;
        by_sockets.min(by_memory).max(1)
    }
}
