//! What the account allows at all: the platform's settings, or, where a file is checked without them, those of the
//! installation that foldmux was built for.

/// The fronts that a route may name.
pub const FRONTS: [&str; 3] = ["msgpack", "dns", "ext_proc"];

/// How far an attempt of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Free,
    /// Within a group, while its caches remember.
    Keyed(Group),
    /// Only when every earlier attempt is known not to have run.
    Once,
}

/// From narrow to wide.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, schemars::JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    Cell,
    Zone,
    All,
}

impl Group {
    pub fn parse(text: &str) -> Option<Group> {
        match text {
            "cell" => Some(Group::Cell),
            "zone" => Some(Group::Zone),
            "all" => Some(Group::All),
            _ => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub name: String,
    /// How long a client waits, all its tries together (ms).
    pub deadline_ms: u64,
    /// An answer within this has its full worth (ms).
    pub aim_ms: u64,
    pub repeat: Repeat,
    /// For keyed classes: how long a repeat is dropped (ms).
    pub window_ms: u64,
}

/// The rules that no file may loosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    pub classes: Vec<Class>,
    pub max_attempts: u64,
    /// Two attempts of one request at once.
    pub may_duplicate: bool,
    /// The longest advice to come back that clients follow (ms); none: refusals may carry no advice.
    pub max_wait_ms: Option<u64>,
    /// A final answer is due so long after the client's deadline, at the latest (ms).
    pub answer_slack_ms: u64,
    /// From so long after a purge on, no older copy may be given (ms).
    pub purge_slack_ms: u64,
    /// Descriptors, and memory (MB), of the process.
    pub sockets: u64,
    pub memory_mb: u64,
}

impl Default for Account {
    fn default() -> Account {
        let class = |name: &str, deadline_ms, aim_ms, repeat, window_ms| Class {
            name: name.to_string(),
            deadline_ms,
            aim_ms,
            repeat,
            window_ms,
        };
        Account {
            classes: vec![
                class("mix-video", 5_000, 500, Repeat::Free, 5_000),
                class("formula-card", 3_000, 250, Repeat::Free, 5_000),
                class("mix-record", 3_000, 600, Repeat::Keyed(Group::All), 2_000),
            ],
            max_attempts: 8,
            may_duplicate: false,
            max_wait_ms: Some(500),
            answer_slack_ms: 8,
            purge_slack_ms: 1_000,
            sockets: 1_024,
            memory_mb: 192,
        }
    }
}

impl Account {
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Requests that the process has room for: half the descriptors, and a buffer of 256 KB each in 7/10 of the memory.
    pub fn room(&self) -> u64 {
        (self.sockets / 2)
            .min(self.memory_mb * 1024 * 7 / 10 / 256)
            .max(1)
    }
}
