//! A client's request, at whichever process it arrives: it acquires the key, waits for the owner where there is
//! one, or gets the stored answer.

use super::Owner;
use crate::acquisition::Acquisition;
use crate::context::Context;
use crate::interface::Event;
use crate::record::{Key, Request};
use crate::waiter::{self, Waiter};
use foldmux_replicas::Micros;
use std::sync::Arc;

/// A process that shuts down waits `lease / SHUTDOWN_HEAD_START_DIVISOR` before it acquires a key that it released,
/// so that a successor comes first.
const SHUTDOWN_HEAD_START_DIVISOR: u64 = 4;

impl Owner {
    pub fn acquire(
        &mut self,
        ctx: &mut Context,
        ticket: u64,
        key: Key,
        request: Arc<Request>,
        time_left: Micros,
        ownership_lost: bool,
    ) {
        let mut waiter = Waiter {
            ticket,
            deadline: ctx.now.saturating_add(time_left),
            joined: false,
        };
        if let Some(owned) = self.owned.get_mut(&key) {
            if owned.waiters.len() >= ctx.setup.max_waiters {
                return ctx.emit(Event::Rejected { ticket });
            }
            waiter.join(ctx);
            owned.waiters.push(waiter);
            return self.arm(key);
        }
        if let Some(acquisition) = self.acquisitions.get_mut(&key) {
            if acquisition.waiters.len() >= ctx.setup.max_waiters {
                return ctx.emit(Event::Rejected { ticket });
            }
            acquisition.request.get_or_insert(request);
            acquisition.waiters.push(waiter);
            return self.arm(key);
        }
        let is_replicated = ctx.setup.policies.contains_key(&request.class);
        if !is_replicated || self.len() >= ctx.setup.max_requests {
            return waiter::answer_unreplicated(ctx, ticket, Some(&request.class), false);
        }
        let mut acquisition = Acquisition::new(ctx, key, Some(request));
        acquisition.waiters.push(waiter);
        acquisition.key_known = ownership_lost;
        let head_start = match ownership_lost && self.shutting_down {
            true => ctx.setup.lease / SHUTDOWN_HEAD_START_DIVISOR,
            false => 0,
        };
        acquisition.next_at = ctx.now + head_start;
        self.acquisitions.insert(key, acquisition);
        match head_start {
            0 => self.start_round(ctx, key),
            _ => self.arm(key),
        }
    }

    /// Acquires a key anew for the clients of an owner that lost it.
    pub(super) fn rejoin(
        &mut self,
        ctx: &mut Context,
        key: Key,
        request: Arc<Request>,
        waiters: Vec<Waiter>,
    ) {
        if waiters.is_empty() {
            return self.arm(key);
        }
        let pause = match self.shutting_down {
            true => ctx.setup.lease / SHUTDOWN_HEAD_START_DIVISOR,
            false => self.draw_backoff(ctx.setup.resend_interval()),
        };
        let acquisition = Acquisition {
            waiters,
            key_known: true,
            next_at: ctx.now + pause,
            ..Acquisition::new(ctx, key, Some(request))
        };
        self.acquisitions.insert(key, acquisition);
        self.arm(key);
    }
}
