//! One tenant's state at one pool: its start tag, and fair queueing between its quick and its slow requests.

use crate::lanes::Lane;
use crate::planted::{planted, Fault};
use crate::tenants::Weight;
use crate::Time;

/// Virtual time: one microsecond of one slot at a weight of 1,000.
pub type VirtualTime = u128;

/// Index of the lane of quick requests.
pub const QUICK: usize = 0;
/// Index of the lane of slow requests.
pub const SLOW: usize = 1;

/// Shares of a tenant's slot time while both lanes wait: two thirds for quick requests and one third for slow ones,
/// so that a tenant's small objects don't starve its large ones.
const LANE_WEIGHTS: [u64; 2] = [2, 1];

/// A named tenant, or a bucket that unnamed tenants share.
#[derive(Debug, Default)]
pub struct Flow {
    pub weight: Weight,
    /// Start tag of the tenant's next request.
    pub tag: VirtualTime,
    pub lanes: [Lane; 2],
    /// Start tags of the two lanes.
    pub lane_tags: [VirtualTime; 2],
    /// Virtual time between the two lanes.
    pub lane_now: VirtualTime,
    /// Number of requests that run.
    pub running: usize,
    /// Slot time used since the flow was added (us).
    pub used: Time,
    /// The tenant's entry in the ready set, and whether it is in the quick set too; `None` while no request waits.
    pub ready_entry: Option<(OrderKey, bool)>,
    /// Whether this is a bucket of unnamed tenants.
    pub bucket: bool,
    /// Whether the tenant is no longer named: the flow is removed after its last request.
    pub retired: bool,
}

/// Order of the ready sets: by start tag, with tenants of weight 0 after all others; then by the flow's index.
pub type OrderKey = (VirtualTime, u32);

pub fn order_key(weight: Weight, tag: VirtualTime, index: u32) -> OrderKey {
    (tag | ((weight.0 == 0) as VirtualTime) << 127, index)
}

impl Flow {
    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.lanes[QUICK].len + self.lanes[SLOW].len
    }

    /// Whether a request of the tenant runs or waits.
    pub fn active(&self) -> bool {
        self.running > 0 || self.waiting() > 0
    }

    /// Index of the virtual time that orders this flow: 0 for named tenants with a weight, 1 for those of weight 0, 2
    /// for buckets.
    pub fn virtual_clock(&self) -> usize {
        match self.bucket {
            true => 2,
            false => (self.weight.0 == 0) as usize,
        }
    }

    /// The lane whose request starts next.
    pub fn next_lane(&self) -> usize {
        match (self.lanes[QUICK].len, self.lanes[SLOW].len) {
            (_, 0) => QUICK,
            (0, _) => SLOW,
            _ => (self.lane_tags[SLOW] < self.lane_tags[QUICK]) as usize,
        }
    }

    /// A request begins to wait in an empty lane: the lane resumes at the virtual time, as idle time earns no credit.
    pub fn resume_lane(&mut self, lane: usize) {
        self.lane_tags[lane] = self.lane_tags[lane].max(self.lane_now);
    }

    /// A request of a lane starts. A lane that was held back catches up by at most `credit` (us).
    pub fn start_lane(&mut self, lane: usize, credit: Time) {
        let start = self.lane_tags[lane].max(self.lane_now.saturating_sub(credit as u128));
        self.lane_tags[lane] = start;
        self.lane_now = self.lane_now.max(start);
        self.running += 1;
    }

    /// Charges slot time (us).
    pub fn charge(&mut self, lane: usize, time: Time) {
        self.tag += virtual_cost(time, self.weight);
        self.lane_tags[lane] += (time / LANE_WEIGHTS[lane]) as VirtualTime;
    }

    /// Takes back slot time (us) that was charged and not used.
    pub fn refund(&mut self, lane: usize, time: Time) {
        self.tag = self.tag.saturating_sub(virtual_cost(time, self.weight));
        self.lane_tags[lane] =
            self.lane_tags[lane].saturating_sub((time / LANE_WEIGHTS[lane]) as VirtualTime);
    }

    /// Predicted slot time (us) of the tenant's waiting requests that start before a new one of this lane.
    pub fn cost_ahead(&self, lane: usize) -> Time {
        let [quick, slow] = [self.lanes[QUICK].cost, self.lanes[SLOW].cost];
        match lane {
            QUICK => quick.saturating_add(slow.min(quick / 2)),
            _ => slow.saturating_add(quick.min(slow.saturating_mul(2))),
        }
    }
}

/// Slot time (us) as virtual time at a weight.
pub fn virtual_cost(time: Time, weight: Weight) -> VirtualTime {
    let time = if planted(Fault::ChargeByCount) {
        1_000
    } else {
        time
    };
    // A 64-bit division is several times faster than a 128-bit one; only spans of years overflow it.
    match time.checked_mul(1_000) {
        Some(thousandths) => (thousandths / weight.0.max(1)) as VirtualTime,
        None => time as VirtualTime * 1_000 / weight.0.max(1) as VirtualTime,
    }
}
