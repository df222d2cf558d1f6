//! What a run of the rig starts.

use crate::archive::Policy;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Plan {
    pub processes: usize,
    pub sites: usize,
    /// The first so many processes are seats.
    pub seats: usize,
    pub seed: u64,
    /// Whether the processes are one fleet; else each is alone, and has no operator's file.
    pub fleet: bool,
    pub lease: Duration,
    /// More lines of the operator's file.
    pub operator: String,
    /// So many of [`crate::settings::TENANTS`] are classes.
    pub tenants: usize,
    /// Caches and journal are dialled without a line: nothing of that can be cut, nor told by who dialled. To find whose a
    /// connection is takes milliseconds, and so many that a load of hundreds a second is the rig's and not the program's.
    pub direct: bool,
    pub archive: Policy,
}

impl Default for Plan {
    fn default() -> Plan {
        let (lease, operator, archive) =
            (Duration::from_millis(500), String::new(), Policy::default());
        Plan {
            processes: 3,
            sites: 2,
            seats: 3,
            seed: 1,
            fleet: false,
            lease,
            operator,
            tenants: 0,
            direct: false,
            archive,
        }
    }
}
