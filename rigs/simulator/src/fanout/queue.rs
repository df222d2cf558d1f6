//! What waits to happen, the soonest first.

use foldmux_relay::Message;
use foldmux_replicas::Time;
use std::cmp::Ordering;

pub enum What {
    Hear(usize, usize, Message),
    Tick(usize),
    /// A poll that comes to the source; what it answers, up to there; its end without news.
    Poll(usize, u64),
    Answer(usize, u64, usize),
    Quiet(usize, u64),
    /// A subscriber whose instance went comes back.
    Back(usize),
    End(usize),
    Begin(usize),
}

pub struct Next {
    pub time: Time,
    pub order: u64,
    pub life: u64,
    pub what: What,
}

impl PartialEq for Next {
    fn eq(&self, other: &Next) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Next {}

impl PartialOrd for Next {
    fn partial_cmp(&self, other: &Next) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Next {
    /// The soonest is the greatest.
    fn cmp(&self, other: &Next) -> Ordering {
        (other.time, other.order).cmp(&(self.time, self.order))
    }
}
