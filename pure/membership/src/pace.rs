//! How fast members ask after each other: one round trip and the size of the fleet, from which all else
//! follows.

use foca::{Config, PeriodicParams};
use foldmux_replicas::Time;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Members asked to ask in one's stead, and told the news in each round: SWIM's three.
const FRIENDS: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// Bytes of a packet: links are streams, so the bound is one of memory, and has room for some 80 members.
pub const MAX_PACKET_BYTES: usize = 8 * 1024;

/// The times, all in [`Time`]'s microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// An answer that has not come after this is looked for by others: above the round trips of the fleet's
    /// links.
    pub rtt: Time,
    /// Members of the fleet, about.
    pub size: u32,
}

impl Pace {
    /// One member is asked in each: room for the direct answer and for the way through others.
    pub fn period(&self) -> Time {
        self.rtt.max(1).saturating_mul(3)
    }

    /// How long one that is suspected has to refute: four periods, and more with the logarithm of the size,
    /// as the suspicion has to find it (as memberlist's and foca's own figures do).
    pub fn suspicion(&self) -> Time {
        (self.period() as f64 * 4.0 * f64::from(self.size.max(10)).log10()) as Time
    }

    /// One that knows nobody, or has contacts that it does not see, asks this often.
    pub fn join(&self) -> Time {
        self.period().saturating_mul(2)
    }

    /// Nobody who runs without pause or loss is asked later than this after another's death: the news of a
    /// dead one is with everyone then, but for one in e^12 (each of n asks one of n at random in a period).
    pub fn told_of_death(&self) -> Time {
        let rounds = u64::from(self.size.max(2).ilog2()) + 2;
        13 * self.period() + self.suspicion() + 2 * rounds * self.rtt
    }

    pub(crate) fn config(&self) -> Config {
        let span = |time: Time| Duration::from_micros(time);
        let every = |time, num_members| {
            Some(PeriodicParams {
                frequency: span(time),
                num_members,
            })
        };
        // News that one misses has it declare dead who has refuted. Each tells it so often; one of n misses it with
        // n / e^copies, for copies as below one in e^12, and with a fifth lost one in e^9.
        let copies = f64::from(self.size.max(2)).ln() + 12.0;
        Config {
            probe_period: span(self.period()),
            probe_rtt: span(self.rtt.max(1)),
            num_indirect_probes: FRIENDS,
            max_transmissions: NonZeroU8::new(copies as u8).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: span(self.suspicion()),
            // A dead one is remembered by its name, of which there are few; after an hour nothing about it is
            // under way.
            remove_down_after: Some(Duration::from_secs(3600)),
            max_packet_size: NonZeroUsize::new(MAX_PACKET_BYTES).expect("not 0"),
            notify_down_members: true,
            periodic_announce: every(self.period() * 30, NonZeroUsize::MIN),
            periodic_announce_to_down_members: every(self.period() * 10, NonZeroUsize::MIN),
            periodic_gossip: every(self.rtt.max(1), FRIENDS),
        }
    }
}
