//! What a run is given, and what the fleet in it is: how many instances, what breaks, and the times that go with it.

use foldmux_harness::record::Time;
use foldmux_replicas::{ClockDrift, Peer, ReplicaSet};
use foldmux_takeover as takeover;
use serde::{Deserialize, Serialize};

pub const MS: Time = 1_000;
pub const SECOND: Time = 1_000 * MS;
/// Of takeover and relay.
pub const LEASE: Time = 500 * MS;
/// How long a client asks on, and an answer is kept.
pub const LONGEST: Time = 6 * SECOND;
/// The archive drops repeats for so long; an instance goes by less, for the ways and the drift.
pub const WINDOW: Time = 2_000 * MS;
pub const OWN_WINDOW: Time = 1_900 * MS;
/// Instances of a site, and of a pool, and a pool's slots.
pub const SITE: usize = 25;
pub const GROUP: usize = 10;
pub const SLOTS: u16 = 12;
pub const SLOT_LONGEST: Time = SECOND;
pub const SLOT_LEASE: Time = 2_500 * MS;
/// Each link, each way, at most.
pub const WAY: Time = 3 * MS;

/// Whom a fault hits: who sends the message as it has sent it, or who gets it as it has heard it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Who {
    Sender,
    Receiver,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum What {
    Lost,
    Twice,
    /// So much later, also after what was sent later.
    Late(Time),
    /// All that is sent from here on by this sender to this receiver is lost, for so long.
    Cut(Time),
    /// Killed, and started anew after so long.
    Kill(Who, Time),
    Pause(Who, Time),
    /// Told to leave, gone after a moment, and started anew.
    Leave(Who, Time),
}

/// What happens at one message, counted from 1 over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    pub message: u64,
    pub what: What,
}

/// In a million messages.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rates {
    pub lost: u32,
    pub twice: u32,
    pub late: u32,
    pub cut: u32,
    pub kill: u32,
    pub pause: u32,
    pub leave: u32,
}

impl Default for Rates {
    fn default() -> Rates {
        Rates {
            lost: 3_000,
            twice: 3_000,
            late: 3_000,
            cut: 150,
            kill: 60,
            pause: 60,
            leave: 30,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Breaks {
    Drawn(Rates),
    /// These alone: how a run is played again.
    Listed(Vec<Fault>),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub instances: usize,
    pub seed: u64,
    /// How long requests come and things break (us).
    pub span: Time,
    pub breaks: Breaks,
    /// A fault in the part that takes over, by its name.
    #[serde(default)]
    pub planted: Option<String>,
}

impl Plan {
    pub fn new(instances: usize, seed: u64) -> Plan {
        let breaks = Breaks::Drawn(Rates::default());
        Plan {
            instances: instances.max(SEATS + 2),
            seed,
            span: 8 * SECOND,
            breaks,
            planted: None,
        }
    }

    /// From when requests come: instances have found each other about by then.
    pub fn begins(&self) -> Time {
        4 * SECOND + self.instances as Time * 4 * MS
    }

    pub fn ends(&self) -> Time {
        self.begins() + self.span + LONGEST + 4 * SLOT_LEASE
    }

    /// Whether something breaks at this message; the same whatever broke before it.
    pub fn fault(&self, message: u64) -> Option<What> {
        let rates = match &self.breaks {
            Breaks::Listed(list) => {
                let at = list
                    .binary_search_by_key(&message, |fault| fault.message)
                    .ok()?;
                return Some(list[at].what);
            }
            Breaks::Drawn(rates) => rates,
        };
        let mut rng =
            fastrand::Rng::with_seed(self.seed ^ message.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut drawn = rng.u32(..1_000_000);
        let who = if rng.bool() {
            Who::Sender
        } else {
            Who::Receiver
        };
        let span = rng.u64(20 * MS..2 * SECOND);
        let kinds = [
            (rates.lost, What::Lost),
            (rates.twice, What::Twice),
            (rates.late, What::Late(span / 4)),
            (rates.cut, What::Cut(span)),
            (rates.kill, What::Kill(who, span)),
            (rates.pause, What::Pause(who, span)),
            (rates.leave, What::Leave(who, span)),
        ];
        kinds
            .into_iter()
            .find_map(|(rate, what)| match drawn.checked_sub(rate) {
                None => Some(what),
                Some(rest) => {
                    drawn = rest;
                    None
                }
            })
    }
}

/// Names that are listed as seats: the first of the instances.
pub const SEATS: usize = 9;

pub fn name(at: usize) -> Peer {
    Peer::new(&format!("n{at}"))
}

pub fn index(peer: &Peer) -> usize {
    peer.as_str()[1..].parse().expect("a name of the lab's")
}

pub fn seats() -> ReplicaSet {
    ReplicaSet::new((0..SEATS).map(name)).expect("nine names")
}

pub fn drift() -> ClockDrift {
    ClockDrift::from_percent(1.0).expect("a drift")
}

pub fn site(at: usize) -> usize {
    at / SITE
}

/// The pool that an instance uses; seats use none.
pub fn pool(at: usize) -> Option<usize> {
    at.checked_sub(SEATS).map(|at| at / GROUP)
}

pub fn class(key: u32) -> &'static str {
    if key % 4 == 3 {
        "once"
    } else {
        "keyed"
    }
}

pub fn rules() -> takeover::ClassPolicies {
    let rule = |repeat, unclaimed| takeover::ClassPolicy {
        unreplicated: takeover::UnreplicatedPolicy::Reject,
        unclaimed,
        retention: LONGEST,
        repeatability: repeat,
    };
    let keyed = rule(
        takeover::Repeatability::Keyed { window: OWN_WINDOW },
        takeover::UnclaimedPolicy::Finish,
    );
    let once = rule(
        takeover::Repeatability::SingleShot,
        takeover::UnclaimedPolicy::Release,
    );
    [("keyed".into(), keyed), ("once".into(), once)]
        .into_iter()
        .collect()
}
