//! One attempt that the caller makes, with all that is held for it; its drop gives that back.

use crate::keyed::Grip;
use crate::outcome::Ended;
use foldmux::interface::Outcome;
use foldmux_core::delegated::{DelegatedRequest, Route};
use foldmux_core::limits::{FillPermit, RequestLimits};
use foldmux_core::messages::{Directive, DirectiveSink};
use foldmux_idempotency::table::AttemptEnd;
use foldmux_idempotency::token::KeyHash;
use std::time::Instant;
use tokio::sync::mpsc;

/// Orders of the desk, which never waits, for a task that does.
pub(crate) struct Sent(pub(crate) mpsc::Sender<Directive>);

impl DirectiveSink for Sent {
    fn send(&self, directive: Directive) {
        let _ = self.0.try_send(directive);
    }
}

/// One attempt that the caller makes, or is about to make.
pub struct Attempt {
    pub(crate) delegated: DelegatedRequest,
    pub(crate) directives: mpsc::Receiver<Directive>,
    /// Chosen already, where the module did so when the attempt before failed.
    pub(crate) way: Option<Box<Route>>,
    pub(crate) grip: Option<Grip>,
    pub(crate) request: KeyHash,
    pub(crate) number: u8,
    pub(crate) text: String,
    pub(crate) class: usize,
    pub(crate) holds: bool,
    /// Its response has begun, and went on to the client.
    pub(crate) begun: bool,
    /// The limits of its class and route, with its place among theirs; and what it fills at a source.
    pub(crate) limits: Option<RequestLimits>,
    pub(crate) fill: Option<FillPermit>,
    pub(crate) sent: Instant,
}

impl Attempt {
    pub(crate) fn told(&mut self) {
        self.delegated.mark_sent();
        self.grip.iter_mut().for_each(Grip::told);
    }

    /// What is known of the attempt's end, to the module and to the ledger.
    pub(crate) fn end(&mut self, ended: Ended, last: bool) {
        self.delegated.finish_attempt(ended.outcome, last);
        self.fill = None;
        let (served, never_ran) = (
            ended.outcome == Outcome::Served,
            ended.outcome.not_processed(),
        );
        self.limits
            .iter_mut()
            .for_each(|limits| limits.record_attempt(self.sent, served, never_ran));
        if let Some(mut grip) = self.grip.take() {
            if ended.over {
                grip.end(if ended.outcome.not_processed() {
                    AttemptEnd::NotExecuted
                } else {
                    AttemptEnd::MayHaveExecuted
                });
            }
        }
    }
}
