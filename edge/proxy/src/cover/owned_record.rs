//! The record of one request that this process owns, as the request's thread uses it.

use super::class_policies::ReplicatedClass;
use super::client::TakeoverClient;
use foldmux::interface::{Member, Outcome};
use foldmux_core::records::{AttemptIntent, OwnedRecord, StoredResponse};
use foldmux_takeover::{Answer, AttemptOutcome, Command, Event, Key, Lease, Proof, Record};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::Arc;
use std::time::Instant;

/// The record of a request that this process owns. It is released when it is dropped without a stored answer.
pub struct ReplicatedRecord {
    client: Arc<TakeoverClient>,
    class: ReplicatedClass,
    key: Key,
    term: u64,
    lease: Lease,
    required_group: Option<u32>,
    deadline: Instant,
    /// Of the latest attempt under this term.
    attempt_number: AtomicU8,
    may_have_run: AtomicBool,
    /// The answer is stored, or the record was released or lost to another owner.
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
            Proof::Repeatable { only_group, .. } => only_group,
            Proof::NeverRan | Proof::NotRepeatable => None,
        };
        // Attempts under this term may exist already, made for an earlier client of the request at this process.
        let attempt_number = record
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
            attempt_number: AtomicU8::new(attempt_number),
            may_have_run: AtomicBool::new(proof != Proof::NeverRan),
            closed: AtomicBool::new(false),
        }
    }

    /// Notes that another process owns the record now.
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
        let number = self.attempt_number.fetch_add(1, Ordering::SeqCst) + 1;
        let group = self.class.retry_safety.key_group(server);
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
        // The attempt's number makes a later attempt under the same term rank above an earlier one.
        self.class
            .terms
            .then(|| self.term << 8 | u64::from(self.attempt_number.load(Ordering::SeqCst)))
    }

    fn record_outcome(&self, outcome: Outcome) {
        let number = self.attempt_number.load(Ordering::SeqCst);
        let outcome = if outcome.not_processed() {
            AttemptOutcome::NeverRan
        } else {
            AttemptOutcome::MayHaveRun
        };
        if outcome == AttemptOutcome::MayHaveRun {
            self.may_have_run.store(true, Ordering::SeqCst);
        }
        self.client.send(Command::EndAttempt {
            key: self.key,
            term: self.term,
            number,
            outcome,
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
        let stored = matches!(event, Some(Event::Committed { .. }));
        match event {
            Some(Event::Committed { .. }) => self.closed.store(true, Ordering::SeqCst),
            Some(_) => self.record_loss(),
            None => {}
        }
        stored
    }

    fn abandon(&self) {
        self.release(true);
    }
}

impl Drop for ReplicatedRecord {
    /// A request that ends without a stored answer, for whatever reason, is continued by the next in line.
    fn drop(&mut self) {
        self.release(false);
    }
}
