//! One tenant at one pool: its virtual time, and within it the quick and the slow, by the same way of queueing.

use crate::lanes::Lane;
use crate::planted::{planted, Fault};
use crate::tenants::Weight;
use crate::Time;

/// Virtual time: a microsecond of a slot, by a weight of 1,000.
pub type Virtual = u128;

pub const QUICK: usize = 0;
pub const SLOW: usize = 1;

/// Where both wait, a tenant's quick requests get two parts of its slot time and its slow ones a third: no tenant's large
/// objects are starved by its small ones.
const PARTS: [u64; 2] = [2, 1];

#[derive(Debug, Default)]
pub struct Flow {
    pub weight: Weight,
    /// The start tag of its next.
    pub tag: Virtual,
    pub lanes: [Lane; 2],
    pub inner: [Virtual; 2],
    pub inner_now: Virtual,
    pub running: usize,
    /// Slot time, in all.
    pub used: Time,
    /// As it stands in the sets of those who wait.
    pub listed: Option<(Key, bool)>,
    /// One of the buckets of the unnamed.
    pub bucket: bool,
    /// Its name is no tenant's any more: gone with its last request.
    pub retired: bool,
}

/// Where a tenant stands: by its tag, those of no weight last.
pub type Key = (Virtual, u32);

pub fn stand(weight: Weight, tag: Virtual, at: u32) -> Key {
    (tag | ((weight.0 == 0) as Virtual) << 127, at)
}

impl Flow {
    pub fn waiting(&self) -> usize {
        self.lanes[QUICK].len + self.lanes[SLOW].len
    }

    pub fn active(&self) -> bool {
        self.running > 0 || self.waiting() > 0
    }

    /// By which virtual time it goes: with a weight, without, or among those without a name.
    pub fn class(&self) -> usize {
        match self.bucket {
            true => 2,
            false => (self.weight.0 == 0) as usize,
        }
    }

    /// Which lane goes next.
    pub fn lane(&self) -> usize {
        match (self.lanes[QUICK].len, self.lanes[SLOW].len) {
            (_, 0) => QUICK,
            (0, _) => SLOW,
            _ => (self.inner[SLOW] < self.inner[QUICK]) as usize,
        }
    }

    /// One of a lane begins to wait where none of that lane did: no credit comes from having been away.
    pub fn woken(&mut self, lane: usize) {
        self.inner[lane] = self.inner[lane].max(self.inner_now);
    }

    /// One of a lane starts; `credit` is the most that a lane which was held back may catch up.
    pub fn started(&mut self, lane: usize, credit: Time) {
        let start = self.inner[lane].max(self.inner_now.saturating_sub(credit as u128));
        self.inner[lane] = start;
        self.inner_now = self.inner_now.max(start);
        self.running += 1;
    }

    /// Slot time, more or less than was charged so far.
    pub fn charge(&mut self, lane: usize, time: Time) {
        self.tag += per_weight(time, self.weight);
        self.inner[lane] += (time / PARTS[lane]) as Virtual;
    }

    pub fn forgive(&mut self, lane: usize, time: Time) {
        self.tag = self.tag.saturating_sub(per_weight(time, self.weight));
        self.inner[lane] = self.inner[lane].saturating_sub((time / PARTS[lane]) as Virtual);
    }

    /// Foretold slot time of what goes before the next of a lane.
    pub fn ahead(&self, lane: usize) -> Time {
        let [quick, slow] = [self.lanes[QUICK].cost, self.lanes[SLOW].cost];
        match lane {
            QUICK => quick.saturating_add(slow.min(quick / 2)),
            _ => slow.saturating_add(quick.min(slow.saturating_mul(2))),
        }
    }
}

pub fn per_weight(time: Time, weight: Weight) -> Virtual {
    let time = if planted(Fault::ChargeByCount) {
        1_000
    } else {
        time
    };
    // The division of 64 bits is several times as quick; all but sums of years fit.
    match time.checked_mul(1_000) {
        Some(thousandths) => (thousandths / weight.0.max(1)) as Virtual,
        None => time as Virtual * 1_000 / weight.0.max(1) as Virtual,
    }
}
