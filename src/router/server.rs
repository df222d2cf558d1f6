//! What a router knows of one server: a cache, a parent or the origin.

use super::capacity::CapacityEstimate;
use super::outliers::FailureRecord;
use crate::interface::{Member, MemberState, Time};
use foldmux_stats::{SlidingWindow, SmoothedSample};

/// How long an observed latency is used without a new observation (us).
const LATENCY_TTL_US: Time = 2_000_000;

/// The state of one server, discarded when the server restarts.
#[derive(Default)]
pub(super) struct Server {
    pub(super) member: Member,
    /// Attempts in flight at it.
    pub(super) in_flight: u32,
    /// Attempts in flight at other servers that this server is likely to fill.
    pub(super) fills_in_flight: u32,
    pub(super) failures: FailureRecord,
    /// When the response to the first attempt since the server's last response is due.
    pub(super) response_due: Option<Time>,
    /// Latency of its fills beyond the transfer time (us).
    pub(super) fill_latency: SmoothedSample,
    pub(super) capacity: CapacityEstimate,
    /// Load that was sent to it within the overload window (us of transfer time).
    pub(super) recent_sends: SlidingWindow,
}

impl Server {
    pub(super) fn is_ready(&self) -> bool {
        self.member.state == MemberState::Ready
    }

    /// Its fill latency beyond the transfer time (us), if observed recently.
    pub(super) fn recent_fill_latency(&self, now: Time) -> Option<f64> {
        self.fill_latency.get(now, LATENCY_TTL_US)
    }

    /// Whether its recent fill latency is below `bound` (us); true if none was observed.
    pub(super) fn is_faster_than(&self, now: Time, bound: f64) -> bool {
        self.recent_fill_latency(now)
            .is_none_or(|latency| latency < bound)
    }
}
