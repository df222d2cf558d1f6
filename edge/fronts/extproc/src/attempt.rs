//! One attempt that the caller makes, with all that is held for it; its drop gives that back.

use crate::keyed::Grip;
use crate::outcome::Ended;
use foldmux::interface::Outcome;
use foldmux_core::desk::{Order, Orders};
use foldmux_core::lent::{Lent, Way};
use foldmux_core::limits::{Fill, Held};
use foldmux_idempotency::ledger::End as Word;
use foldmux_idempotency::token::Mark;
use std::time::Instant;
use tokio::sync::mpsc;

/// Orders of the desk, which never waits, for a task that does.
pub(crate) struct Sent(pub(crate) mpsc::Sender<Order>);

impl Orders for Sent {
    fn order(&self, order: Order) {
        let _ = self.0.try_send(order);
    }
}

/// One attempt that the caller makes, or is about to make.
pub struct Attempt {
    pub(crate) lent: Lent,
    pub(crate) orders: mpsc::Receiver<Order>,
    /// Chosen already, where the module did so when the attempt before failed.
    pub(crate) way: Option<Box<Way>>,
    pub(crate) grip: Option<Grip>,
    pub(crate) request: Mark,
    pub(crate) number: u8,
    pub(crate) text: String,
    pub(crate) class: usize,
    pub(crate) holds: bool,
    /// Its response has begun, and went on to the client.
    pub(crate) begun: bool,
    /// The limits of its class and route, with its place among theirs; and what it fills at a source.
    pub(crate) limits: Option<Held>,
    pub(crate) fill: Option<Fill>,
    pub(crate) sent: Instant,
}

impl Attempt {
    pub(crate) fn told(&mut self) {
        self.lent.told();
        self.grip.iter_mut().for_each(Grip::told);
    }

    /// What is known of the attempt's end, to the module and to the ledger.
    pub(crate) fn end(&mut self, ended: Ended, last: bool) {
        self.lent.end(ended.outcome, last);
        self.fill = None;
        let (served, never_ran) = (ended.outcome == Outcome::Served, ended.outcome.never_ran());
        self.limits
            .iter_mut()
            .for_each(|held| held.heard(self.sent, served, never_ran));
        if let Some(mut grip) = self.grip.take() {
            if ended.over {
                grip.end(if ended.outcome.never_ran() {
                    Word::NeverRan
                } else {
                    Word::MayHaveRun
                });
            }
        }
    }
}
