//! One instance: its four parts, as the program's fleet thread holds them, and what its host keeps beside them.

use crate::net::World;
use crate::plan::*;
use crate::pools::Pools;
use crate::work::Desk;
use foldmux_fair_queue::slots::{FleetSetup, PoolSetup};
use foldmux_fair_queue::FleetSlots;
use foldmux_harness::record::Time;
use foldmux_membership as members;
use foldmux_relay as relay;
use foldmux_replicas::{Peer, ReplicaConfiguration, StateMachine};
use foldmux_takeover as takeover;
use std::sync::Arc;

pub struct Parts {
    pub members: members::Members,
    pub takeover: takeover::Takeover,
    pub relay: relay::Relay,
    pub slots: FleetSlots,
}

#[derive(Clone)]
pub enum Wire {
    Members(members::Packet),
    Takeover(takeover::Message),
    Relay(relay::Message),
    Slots(foldmux_fair_queue::Message),
}

/// A part, as one of the four.
pub trait Kind: StateMachine + Sized {
    fn of(parts: &mut Parts) -> &mut Self;
    fn wire(message: Self::Message) -> Wire;
    fn told(world: &mut World, at: usize, told: Self::Event);
}

macro_rules! kind {
    ($part:ty, $field:ident, $wire:ident, $told:path) => {
        impl Kind for $part {
            fn of(parts: &mut Parts) -> &mut Self {
                &mut parts.$field
            }
            fn wire(message: Self::Message) -> Wire {
                Wire::$wire(message)
            }
            fn told(world: &mut World, at: usize, told: Self::Event) {
                $told(world, at, told)
            }
        }
    };
}

kind!(members::Members, members, Members, World::member_told);
kind!(takeover::Takeover, takeover, Takeover, World::work_told);
kind!(relay::Relay, relay, Relay, World::news_told);
kind!(FleetSlots, slots, Slots, World::pool_told);

impl Parts {
    pub fn new(
        plan: &Plan,
        places: &[(Peer, Vec<Arc<str>>)],
        at: usize,
        life: u64,
        first: bool,
    ) -> Parts {
        let now = BORN;
        let seed = plan.seed ^ (at as u64) << 32 ^ life;
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 7000));
        let me =
            members::NodeIdentity::new(name(at), &site(at).to_string(), address, 1_000_000 + life);
        let pace = members::Pace {
            rtt: 100 * MS,
            size: plan.instances as u32,
        };
        let setup = members::Setup {
            me,
            pace,
            most: plan.instances,
            seed,
        };
        Parts {
            members: members::Members::new(setup).expect("a member"),
            takeover: takeover::Takeover::new(now, work(plan, at, life, first)),
            relay: relay::Relay::new(news(places, at, life), now),
            slots: FleetSlots::new(now, pools(plan, at, life)),
        }
    }

    pub fn due(&self) -> Option<Time> {
        let (members, takeover) = (self.members.next_tick(), self.takeover.next_tick());
        [
            members,
            takeover,
            self.relay.next_tick(),
            self.slots.next_tick(),
        ]
        .into_iter()
        .flatten()
        .min()
    }
}

/// What each instance's clock shows as it starts.
pub const BORN: Time = 5_000;

fn work(plan: &Plan, at: usize, life: u64, memory: bool) -> takeover::Setup {
    takeover::Setup {
        name: name(at),
        session: (at as u64) << 32 | life,
        replicas: seats(),
        policies: rules(),
        lease: LEASE,
        drift: drift(),
        max_deadline: LONGEST,
        state_recovered: memory,
        max_records: 100_000,
        max_record_bytes: 1 << 26,
        max_requests: 10_000,
        max_waiters: 100,
        seed: plan.seed ^ (at as u64) << 20 ^ life,
        #[cfg(feature = "planted")]
        planted: plan.planted.as_deref().map(|name| match name {
            "NoLeaseCheck" => takeover::Fault::NoLeaseCheck,
            "SuccessorForgets" => takeover::Fault::SuccessorForgets,
            "VoteAfterStateLoss" => takeover::Fault::VoteAfterStateLoss,
            "OneGrantIsEnough" => takeover::Fault::OneGrantIsEnough,
            other => panic!("no fault {other}"),
        }),
    }
}

pub fn stream() -> relay::StreamConfig {
    relay::StreamConfig {
        name: "list".into(),
        slow_readers: relay::SlowReaderPolicy::Skip,
        start: relay::StartPosition::Snapshot,
        shared_numbering: true,
        silence_timeout: 150 * MS,
        snapshot_window: 10 * SECOND,
        max_items: 64,
        max_bytes: 1 << 16,
        max_keys: 64,
        max_unacknowledged: 16,
    }
}

fn news(places: &[(Peer, Vec<Arc<str>>)], at: usize, life: u64) -> relay::RelayConfig {
    relay::RelayConfig {
        own: name(at),
        incarnation: life << 32,
        locations: places.to_vec(),
        replicas: seats(),
        drift: drift(),
        lease: LEASE,
        streams: vec![stream()],
        max_readers: 100,
        max_followers: 1_000,
        min_tenure: 10 * SECOND,
        seed: (at as u64) << 32 | life,
    }
}

pub fn pool_key(pool: usize) -> u64 {
    foldmux_fair_queue::tenants::name_hash(&format!("p{pool}"))
}

/// Seats speak for all pools; the others use their own, and tell those who use it too.
fn pools(plan: &Plan, at: usize, life: u64) -> FleetSetup {
    let own = pool(at);
    let all = 0..=pool(plan.instances - 1).unwrap_or(0);
    let mine = all.filter(|pool| own.is_none_or(|own| own == *pool));
    let setup = |pool| PoolSetup {
        key: pool_key(pool),
        slots: SLOTS,
        lease: SLOT_LEASE,
        weights: Default::default(),
        unnamed_weight: 1_000,
    };
    let peers = (0..plan.instances)
        .filter(|peer| own.is_some() && pool(*peer) == own)
        .map(name)
        .collect();
    let seats = ReplicaConfiguration::stable(seats());
    FleetSetup {
        own: name(at),
        incarnation: life,
        peers,
        replicas: seats,
        drift: drift(),
        pools: mine.map(setup).collect(),
    }
}

/// What waits at an instance that is paused, and what is due there.
pub enum Local {
    Heard {
        from: usize,
        wire: Box<Wire>,
    },
    /// One that was set for then, and not for an earlier time since.
    Tick {
        when: Time,
    },
    Pool,
    Work(crate::work::Step),
    News(crate::news::Step),
    Slot {
        id: u64,
    },
}

pub struct Node {
    pub parts: Option<Parts>,
    /// One more with each end and each start.
    pub life: u64,
    pub born: Time,
    /// How fast its clock runs, in millionths.
    pub ppm: i64,
    pub paused: bool,
    pub leaving: bool,
    pub held: Vec<Local>,
    /// The next tick that is on its way.
    pub tick: Time,
    pub desk: Desk,
    pub reading: crate::news::Reading,
    pub pools: Option<Pools>,
}
