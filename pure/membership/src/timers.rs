//! The timers that foca set, in order of time. There is one place for each purpose and member, so that there
//! are never more than two a member and a few beside.

use crate::identity::NodeIdentity;
use foca::Timer;
use foldmux_replicas::{Peer, Time};
use std::collections::{BTreeMap, BTreeSet};

/// What a timer is for, in the order that foca wants of two that are due at once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Place {
    Indirect,
    Probe,
    Suspect(Peer),
    Announce,
    Gossip,
    Forget(Peer),
    AnnounceDown,
}

fn place(timer: &Timer<NodeIdentity>) -> Place {
    match timer {
        Timer::SendIndirectProbe { .. } => Place::Indirect,
        Timer::ProbeRandomMember(_) => Place::Probe,
        Timer::ChangeSuspectToDown { member_id, .. } => Place::Suspect(member_id.name.clone()),
        Timer::PeriodicAnnounce(_) => Place::Announce,
        Timer::PeriodicAnnounceDown(_) => Place::AnnounceDown,
        Timer::PeriodicGossip(_) => Place::Gossip,
        Timer::RemoveDown(who) => Place::Forget(who.name.clone()),
    }
}

#[derive(Default)]
pub(crate) struct Timers {
    order: BTreeSet<(Time, Place)>,
    set: BTreeMap<Place, (Time, Timer<NodeIdentity>)>,
}

impl Timers {
    /// What stood in its place is about a probe, a suspicion or a life that is over; but the same suspicion,
    /// raised again, does not give the suspected more time.
    pub fn put(&mut self, at: Time, timer: Timer<NodeIdentity>) {
        let place = place(&timer);
        if let Some((was, old)) = self.set.get(&place) {
            if *old == timer && *was <= at {
                return;
            }
            self.order.remove(&(*was, place.clone()));
        }
        self.order.insert((at, place.clone()));
        self.set.insert(place, (at, timer));
    }

    pub fn due(&self) -> Option<Time> {
        self.order.first().map(|(at, _)| *at)
    }

    pub fn take(&mut self, now: Time) -> Option<Timer<NodeIdentity>> {
        if self.due()? > now {
            return None;
        }
        let (_, place) = self.order.pop_first()?;
        self.set.remove(&place).map(|(_, timer)| timer)
    }

    /// All later by so much.
    pub fn delay(&mut self, by: Time) {
        let all = std::mem::take(&mut self.set);
        self.order.clear();
        all.into_values()
            .for_each(|(at, timer)| self.put(at.saturating_add(by), timer));
    }

    pub fn clear(&mut self) {
        self.order.clear();
        self.set.clear();
    }

    pub fn len(&self) -> usize {
        self.set.len()
    }
}
