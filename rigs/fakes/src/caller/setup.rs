//! How a caller is set up, and what its script does to attempts.

use std::net::SocketAddr;
use std::time::Duration;

/// Where the caller cancels a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Point {
    /// While the processor decides.
    BeforeAnswer,
    /// Before anything is sent to a cache.
    BetweenAnswerAndSend,
    /// Half of it is sent.
    DuringSend,
    /// All of it is sent, and it runs while nobody waits for its answer.
    AfterSend,
    /// Its stream to the processor, and the client's connection with it.
    AfterResponseHeaders,
}

/// What happens to one attempt, as a script says: by the request's number and the attempt's.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Play {
    /// The client leaves: nothing follows.
    pub leave: Option<Point>,
    /// The attempt's stream is reset there, and the caller's own policy goes on.
    pub reset: Option<Point>,
    /// How long the caller takes between the answer and its send.
    pub slow: Duration,
}

/// How a caller is set up.
pub struct Setup {
    /// The processors, in the order in which they are failed over to.
    pub instances: Vec<SocketAddr>,
    /// Tries by the caller's own policy, beyond those that the processor asks for.
    pub retries: u32,
    /// How long a processor's answer may take.
    pub message: Duration,
    /// Each attempt, to the whole answer.
    pub attempt: Duration,
    /// Where a request goes that no processor places; without it, it fails (`failure_mode_allow` off).
    pub open: Option<SocketAddr>,
    /// Keeps to how long a placement may be sent.
    pub heeds: bool,
    /// Shows no attempt's token with the next: a caller that is not set up as it must be.
    pub forgets: bool,
    /// What happens to each attempt, by the request's number and the attempt's.
    pub play: Box<dyn Fn(u64, u32) -> Play + Send + Sync>,
}

impl Setup {
    /// A caller that plays no faults.
    pub fn plain(instances: Vec<SocketAddr>) -> Setup {
        Setup {
            instances,
            retries: 3,
            message: Duration::from_secs(2),
            attempt: Duration::from_secs(10),
            open: None,
            heeds: true,
            forgets: false,
            play: Box::new(|_, _| Play::default()),
        }
    }
}
