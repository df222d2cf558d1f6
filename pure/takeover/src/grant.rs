//! A claim at a replica: granted, or why not. Each term is granted once, and none while another's lease runs.

use crate::message::{Message, Verdict};
use crate::part::At;
use crate::record::{Ballot, Key, Record, Work};
use crate::replica::{Held, Replica, WATCHERS};
use crate::setup::Fault;
use foldmux_replicas::Time;
use std::sync::Arc;

impl Replica {
    pub fn claim(
        &mut self,
        at: &mut At,
        key: Key,
        ballot: Ballot,
        work: Option<Arc<Work>>,
        left: Time,
    ) {
        let to = ballot.owner.clone();
        let (verdict, seen, record) = self.grant(at, key, &ballot, work, left);
        at.send(
            &to,
            Message::Claimed {
                key,
                ballot,
                verdict,
                seen,
                record,
            },
        );
        self.arm(key);
    }

    fn grant(
        &mut self,
        at: &mut At,
        key: Key,
        ballot: &Ballot,
        work: Option<Arc<Work>>,
        left: Time,
    ) -> (Verdict, Ballot, Option<Record>) {
        if !self.votes(at) {
            return (Verdict::NoVote, Ballot::none(), None);
        }
        let class = work.as_ref().map(|work| work.class.clone());
        let forget = Replica::forget_at(at, class.as_deref(), left);
        let room = self.bytes + work.as_ref().map_or(0, |work| work.bytes()) <= at.setup.bytes;
        let Some(held) = self.held.get_mut(&key) else {
            if work.is_none() || !room || self.held.len() >= at.setup.records {
                let verdict = if work.is_none() {
                    Verdict::Unknown
                } else {
                    Verdict::Full
                };
                return (verdict, Ballot::none(), None);
            }
            let record = work.map(|work| {
                let mut record = Record::new(work, left);
                if at.setup.planted(Fault::SeedOutranks) {
                    record.ballot = ballot.clone();
                }
                record
            });
            self.bytes += record.as_ref().map_or(0, Record::bytes);
            let held = Held {
                promised: ballot.clone(),
                let_go: false,
                over: false,
                lease: at.now,
                record,
                at: at.now,
                watchers: Vec::new(),
                told: 0,
                look: Some(at.now + at.setup.lease),
                forget,
            };
            self.held.insert(key, held);
            self.touch(key);
            return (Verdict::Yes, ballot.clone(), None);
        };
        if *ballot == held.promised {
            // The same again, late or twice; once let go it grants no more.
            if held.let_go {
                return (Verdict::Higher, held.promised.clone(), None);
            }
            return (Verdict::Yes, ballot.clone(), held.shown(at.now));
        }
        let done = held.done();
        let same_term =
            ballot.term == held.promised.term && at.setup.planted(Fault::TermGrantedTwice);
        if ballot.term <= held.promised.term && !same_term {
            let record = done.then(|| held.shown(at.now)).flatten();
            return (Verdict::Higher, held.promised.clone(), record);
        }
        if !done && !held.let_go && at.now < held.lease {
            // Whoever has no client of its own is told as the next in line.
            let waits = work.is_some();
            if waits && !held.watchers.contains(&ballot.owner) && held.watchers.len() < WATCHERS {
                held.watchers.push(ballot.owner.clone());
            }
            return (
                Verdict::Busy {
                    left: held.lease - at.now,
                },
                held.promised.clone(),
                None,
            );
        }
        held.promised = ballot.clone();
        (held.let_go, held.over) = (false, false);
        // A claim keeps no later one away; but whoever made it may die before it writes.
        held.lease = at.now;
        held.look = (!done).then_some(at.now + at.setup.lease);
        if !done {
            held.forget = held.forget.max(forget);
        }
        held.watchers.retain(|watcher| *watcher != ballot.owner);
        let shown = held.shown(at.now);
        self.touch(key);
        (Verdict::Yes, ballot.clone(), shown)
    }
}
