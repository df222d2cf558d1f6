//! The replica's side of a key: whom it has promised, what was noted, whose lease runs, who waits. It grants each term once,
//! and none while another's lease runs; without memory of the time before its start it neither grants nor notes.

use crate::message::{Message, Note, Verdict};
use crate::part::At;
use crate::record::{Ballot, Key, Record};
use crate::setup::{Fault, Setup};
use crate::timers::Timers;
use foldmux_replicas::{Effect, Peer, RecoveryDelay, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Processes that a replica tells of a key's next change; one more looks again by itself.
pub const WATCHERS: usize = 8;

/// What a replica knows of one key.
#[derive(Clone, Debug)]
pub struct Held {
    /// The greatest ballot that was granted.
    pub promised: Ballot,
    /// The owner stopped by itself: its late messages prolong nothing. Whether somebody need go on.
    pub let_go: bool,
    pub over: bool,
    /// The owner's lease ends.
    pub lease: Time,
    /// What was noted, right at `at`.
    pub record: Option<Record>,
    pub at: Time,
    pub watchers: Vec<Peer>,
    /// Successors that were told.
    pub told: usize,
    /// When a successor is looked for next, and when all this is forgotten.
    pub look: Option<Time>,
    pub forget: Time,
}

impl Held {
    pub fn done(&self) -> bool {
        self.record
            .as_ref()
            .is_some_and(|record| record.answer.is_some())
    }

    pub fn shown(&self, now: Time) -> Option<Record> {
        self.record
            .as_ref()
            .map(|record| record.aged(now - self.at))
    }

    pub fn bytes(&self) -> usize {
        self.record.as_ref().map_or(0, Record::bytes)
    }
}

/// This process as a replica of keys.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Whether it may vote yet.
    pub memory: RecoveryDelay,
    pub held: BTreeMap<Key, Held>,
    pub timers: Timers,
    pub bytes: usize,
    /// Keys to be kept anew; none where nothing is kept.
    pub changed: Option<BTreeSet<Key>>,
}

impl Replica {
    pub fn new(now: Time, setup: &Setup) -> Replica {
        let memory = match setup.memory {
            true => RecoveryDelay::state_recovered(now),
            false => RecoveryDelay::state_lost(now, &[setup.window()], setup.drift),
        };
        Replica {
            memory,
            held: BTreeMap::new(),
            timers: Timers::default(),
            bytes: 0,
            changed: None,
        }
    }

    pub fn votes(&self, at: &At) -> bool {
        self.memory.may_vote(at.now) || at.setup.planted(Fault::FreshSeatVotes)
    }

    pub fn arm(&mut self, key: Key) {
        let due = self
            .held
            .get(&key)
            .map(|held| held.look.map_or(held.forget, |at| at.min(held.forget)));
        self.timers.set(key, due);
    }

    /// Nothing that is written of a key is forgotten while a repeat of it may be answered from it.
    pub fn forget_at(at: &At, class: Option<&str>, left: Time) -> Time {
        let keep = class
            .and_then(|class| at.setup.rules.get(class))
            .map_or(0, |rule| rule.keep);
        let longest = left.min(at.setup.longest) + keep + at.setup.lease;
        at.now + at.setup.drift.stretched(longest)
    }

    pub fn note(&mut self, at: &mut At, key: Key, ballot: Ballot, stamp: Time, note: Option<Note>) {
        let (verdict, version) = match self.votes(at) {
            true => self.take(at, key, &ballot, note),
            false => (Verdict::NoVote, 0),
        };
        let to = ballot.owner.clone();
        at.send(
            &to,
            Message::Noted {
                key,
                ballot,
                stamp,
                verdict,
                version,
            },
        );
        self.arm(key);
    }

    /// A note, or a renewal without one.
    fn take(
        &mut self,
        at: &mut At,
        key: Key,
        ballot: &Ballot,
        note: Option<Note>,
    ) -> (Verdict, u32) {
        let Some(held) = self.held.get_mut(&key) else {
            return (Verdict::Unknown, 0);
        };
        let old =
            *ballot < held.promised && !(note.is_some() && at.setup.planted(Fault::OldNoteTaken));
        if old {
            return (Verdict::Higher, 0);
        }
        let has = held
            .record
            .as_ref()
            .filter(|r| r.ballot == *ballot)
            .map_or(0, |r| r.version);
        let Some(note) = note else {
            if *ballot != held.promised || held.let_go {
                return (Verdict::Higher, has);
            }
            held.lease = at.now + at.setup.lease;
            held.look = held.look.map(|_| held.lease);
            return (Verdict::Yes, has);
        };
        if *ballot > held.promised {
            // Two others granted it: nobody else's lease holds.
            held.promised = ballot.clone();
            (held.let_go, held.over) = (false, false);
            self.changed
                .iter_mut()
                .for_each(|changed| _ = changed.insert(key));
        }
        if note.version > has {
            let work = note
                .work
                .or_else(|| held.record.as_ref().map(|r| r.work.clone()));
            let Some(work) = work else {
                return (Verdict::Unknown, has);
            };
            let mut new = Record {
                ballot: ballot.clone(),
                version: note.version,
                work,
                left: note.left,
                attempts: note.attempts,
                answer: note.answer,
            };
            held.shown(at.now)
                .iter()
                .for_each(|former| new.elder(&former.attempts));
            let bytes = self.bytes - held.bytes() + new.bytes();
            if bytes > at.setup.bytes && new.bytes() > held.bytes() {
                return (Verdict::Full, has);
            }
            self.bytes = bytes;
            held.forget = held
                .forget
                .max(Replica::forget_at(at, Some(&new.work.class), new.left));
            (held.record, held.at) = (Some(new), at.now);
            self.changed
                .iter_mut()
                .for_each(|changed| _ = changed.insert(key));
        }
        let version = has.max(note.version);
        if held.done() {
            held.look = None;
            for watcher in held.watchers.drain(..) {
                at.out.push(Effect::Send {
                    to: watcher,
                    message: Message::Changed { key },
                });
            }
        } else if !held.let_go {
            held.lease = at.now + at.setup.lease;
            held.look = Some(held.lease);
        }
        (Verdict::Yes, version)
    }

    pub fn release(&mut self, at: &mut At, key: Key, ballot: &Ballot, over: bool) -> bool {
        let Some(held) = self
            .held
            .get_mut(&key)
            .filter(|h| h.promised == *ballot && !h.let_go)
        else {
            return false;
        };
        (held.let_go, held.over, held.lease) = (true, over, at.now);
        // Before the lease that was waited for: nothing is lost by looking at once.
        held.look = (!held.done()).then_some(at.now);
        self.touch(key);
        self.arm(key);
        true
    }

    pub fn forget(&mut self, key: Key) {
        if let Some(held) = self.held.remove(&key) {
            self.bytes -= held.bytes();
        }
        self.timers.set(key, None);
    }
}
