//! One request that this process owns, for its thread.

use super::class_policies::ReplicatedClass;
use super::client::TakeoverClient;
use foldmux::interface::{Member, Outcome};
use foldmux_core::records::{AttemptIntent, OwnedRecord, StoredResponse};
use foldmux_takeover::{Answer, AttemptOutcome, Command, Event, Key, Lease, Proof, Record};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Instant;

pub struct ReplicatedRecord {
    client: Arc<TakeoverClient>,
    class: ReplicatedClass,
    key: Key,
    term: u64,
    lease: Lease,
    required_group: Option<u32>,
    deadline: Instant,
    number: AtomicU8,
    may_have_run: AtomicBool,
    /// Its answer is kept, or it was let go, or lost.
    closed: AtomicBool,
}

impl ReplicatedRecord {
    pub fn new(
        client: &Arc<TakeoverClient>,
        class: ReplicatedClass,
        key: Key,
        record: &Record,
        proof: Proof,
        lease: Lease,
        deadline: Instant,
    ) -> ReplicatedRecord {
        let term = record.ballot.term;
        let required_group = match proof {
            Proof::Repeatable {
                only_group: required_group,
                ..
            } => required_group,
            Proof::NeverRan | Proof::NotRepeatable => None,
        };
        // Numbers go on from those of this term, if another client here had it first.
        let number = record
            .attempts
            .iter()
            .filter(|a| a.term == term)
            .map(|a| a.number)
            .max()
            .unwrap_or(0);
        ReplicatedRecord {
            client: client.clone(),
            class,
            key,
            term,
            lease,
            required_group,
            deadline,
            number: AtomicU8::new(number),
            may_have_run: AtomicBool::new(proof != Proof::NeverRan),
            closed: AtomicBool::new(false),
        }
    }

    fn record_loss(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.client.counts.lost.fetch_add(1, Ordering::Relaxed);
    }

    fn release(&self, abandoned: bool) {
        if !self.closed.swap(true, Ordering::SeqCst) {
            self.client.send(Command::Release {
                key: self.key,
                term: self.term,
                abandoned,
            });
        }
    }
}

impl OwnedRecord for ReplicatedRecord {
    fn required_group(&self) -> Option<u32> {
        self.required_group
    }

    fn record_intent(&self, server: &Member) -> AttemptIntent {
        let (key, term) = (self.key, self.term);
        let number = self.number.fetch_add(1, Ordering::SeqCst) + 1;
        let group = self.class.repeat.key_group(server);
        let event = self
            .client
            .call(self.deadline, |ticket| Command::BeginAttempt {
                ticket,
                key,
                term,
                number,
                group,
            });
        match event {
            Some(Event::Committed { .. }) => AttemptIntent::Recorded,
            Some(Event::Rejected { .. }) => AttemptIntent::Declined,
            Some(_) => {
                self.record_loss();
                AttemptIntent::OwnershipLost
            }
            None => AttemptIntent::OwnershipLost,
        }
    }

    fn may_send(&self) -> bool {
        self.client
            .now()
            .is_some_and(|now| self.lease.may_send(now))
    }

    fn term(&self) -> Option<u64> {
        // Later attempts under one term are above its earlier ones, too.
        self.class
            .terms
            .then(|| self.term << 8 | u64::from(self.number.load(Ordering::SeqCst)))
    }

    fn record_outcome(&self, outcome: Outcome) {
        let number = self.number.load(Ordering::SeqCst);
        let end = if outcome.not_processed() {
            AttemptOutcome::NeverRan
        } else {
            AttemptOutcome::MayHaveRun
        };
        if end == AttemptOutcome::MayHaveRun {
            self.may_have_run.store(true, Ordering::SeqCst);
        }
        self.client.send(Command::EndAttempt {
            key: self.key,
            term: self.term,
            number,
            outcome: end,
        });
    }

    fn may_have_executed(&self) -> bool {
        self.may_have_run.load(Ordering::SeqCst)
    }

    fn store_response(&self, response: StoredResponse) -> bool {
        let (key, term) = (self.key, self.term);
        let answer = match response {
            StoredResponse::Served(bytes) => Answer::Served(bytes),
            StoredResponse::NotModified => Answer::NotModified,
            StoredResponse::Failed => Answer::Failed,
        };
        let event = self.client.call(self.deadline, |ticket| Command::Complete {
            ticket,
            key,
            term,
            answer,
        });
        let kept = matches!(event, Some(Event::Committed { .. }));
        match event {
            Some(Event::Committed { .. }) => self.closed.store(true, Ordering::SeqCst),
            Some(_) => self.record_loss(),
            None => {}
        }
        kept
    }

    fn abandon(&self) {
        self.release(true);
    }
}

impl Drop for ReplicatedRecord {
    /// Guards against a request that ends with nothing said of it: the next in line goes on with it.
    fn drop(&mut self) {
        self.release(false);
    }
}
