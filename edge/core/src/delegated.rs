//! A delegated request: its caller makes the attempts itself, where it is directed, and reports how they ended.
//!
//! [`DelegatedRequest`] is a state machine that never waits: its holder waits for directives and for the attempts' ends, and
//! hands both in.

use crate::core::Core;
use crate::in_flight::InFlightAttempt;
use crate::messages::{AttemptTarget, Command, Directive, DirectiveSink, DIRECTIVE_CAPACITY};
use crate::open_requests::OpenRequest;
use crate::request::ClientRequest;
use crate::retry_after::Rejected;
use crate::servers::Server;
use crossbeam_channel::bounded;
use foldmux::interface::*;
use std::sync::Arc;
use std::time::Instant;

/// Where an attempt goes, as the router decided it.
#[derive(Clone, Debug)]
pub struct Route {
    /// The cache to ask.
    pub cache: Server,
    /// Where a miss is filled from; `None` where it is not filled.
    pub source: Option<Server>,
    /// The attempt as the router decided it.
    pub fetch: Fetch,
    target: AttemptTarget,
}

/// What a directive means for the holder of a delegated request.
#[derive(Debug)]
pub enum Instruction {
    /// Make this attempt.
    Attempt(Box<Route>),
    /// A server that the router chose takes no more work by now: another directive follows.
    AwaitNext,
    /// The request is rejected.
    Rejected(Rejected),
    /// The request has failed.
    Failed,
    /// No response is owed.
    ClientGone,
}

/// One delegated request. However it is dropped, the outcome of its attempt and the end of the request are reported, and it
/// counts as delegated no longer.
pub struct DelegatedRequest {
    core: Arc<Core>,
    id: RequestId,
    in_flight: Option<InFlightAttempt>,
    /// When the client gives up.
    pub deadline: Instant,
}

impl DelegatedRequest {
    /// Gives the request to the router, which sends its directives to `directives`; or `None` where `max` requests are
    /// delegated already, which the router never hears of. `placement_ttl` is for how long (µs) the caller may use what it is
    /// told, 0 for one attempt.
    pub fn start(
        core: &Arc<Core>,
        request: &ClientRequest,
        placement_ttl: Time,
        directives: Box<dyn DirectiveSink>,
        max: usize,
    ) -> Option<DelegatedRequest> {
        let is_full = core.count_delegated() >= max;
        let cancel = core.new_cancel_handle();
        // From here on its drop takes it off the count.
        let delegated = DelegatedRequest {
            core: core.clone(),
            id: cancel.id,
            in_flight: None,
            deadline: request.deadline(),
        };
        if is_full {
            return None;
        }
        core.event_loop.send(Command::Request {
            request: request.to_router(cancel.id, placement_ttl, request.deadline()),
            cancel,
            directives,
        });
        Some(delegated)
    }

    /// Takes a directive. The servers of an attempt are checked once more, as the list may have changed since the router
    /// chose them.
    pub fn take(&mut self, directive: Directive) -> Instruction {
        match directive {
            Directive::Attempt(fetch, target) => self.begin_attempt(fetch, target),
            Directive::Reject(rejected) => Instruction::Rejected(rejected),
            Directive::Fail => Instruction::Failed,
            Directive::ClientGone => Instruction::ClientGone,
        }
    }

    fn begin_attempt(&mut self, fetch: Fetch, target: AttemptTarget) -> Instruction {
        if let Some(superseded) = self.in_flight.take() {
            superseded.discard();
        }
        self.in_flight = Some(InFlightAttempt::new(
            &self.core.event_loop,
            &self.core.metrics,
            self.id,
            target,
        ));
        match self.route(fetch, target) {
            Some(route) => Instruction::Attempt(Box::new(route)),
            None => {
                self.finish_attempt(Outcome::NeverSent, false);
                Instruction::AwaitNext
            }
        }
    }

    fn route(&self, fetch: Fetch, target: AttemptTarget) -> Option<Route> {
        let in_time = fetch.may_send(self.core.clock.now());
        let servers = &self.core.servers;
        let cache = servers.get_accepting(fetch.cache, target.cache);
        let source = match fetch.source == fetch.cache {
            true => None,
            false => Some(servers.get_accepting(fetch.source, target.source)?),
        };
        Some(Route {
            cache: cache.filter(|_| in_time)?,
            source,
            fetch,
            target,
        })
    }

    /// Whether a route that was kept for later may still be used.
    pub fn is_current(&self, route: &Route) -> bool {
        let Route { fetch, target, .. } = route;
        if !fetch.may_send(self.core.clock.now()) {
            return false;
        }
        let accepts = |cache, incarnation: Option<_>| {
            incarnation.is_some_and(|incarnation| self.core.servers.accepts(cache, incarnation))
        };
        let source_accepts = route.source.is_none() || accepts(fetch.source, target.source);
        source_accepts && accepts(fetch.cache, target.cache)
    }

    /// The route was handed to the caller: from here on the attempt may execute.
    pub fn mark_sent(&mut self) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.mark_sent();
        }
    }

    /// Reports how the attempt in flight ended. `last`: no other attempt follows, whatever the router decides; else its next
    /// directive follows.
    pub fn finish_attempt(&mut self, outcome: Outcome, last: bool) {
        if let Some(in_flight) = self.in_flight.take() {
            in_flight.finish(outcome, last);
        }
    }
}

impl Drop for DelegatedRequest {
    fn drop(&mut self) {
        // The attempt's outcome must reach the router before the end of the request.
        drop(self.in_flight.take());
        self.core.event_loop.send(Command::RequestEnded(self.id));
        self.core.uncount_delegated();
    }
}

/// What became of a request that was to be routed once.
pub enum Routing<T> {
    /// It was routed.
    To(T),
    /// As many requests are open as may be; the router never heard of it.
    Overloaded,
    /// The router rejected it.
    Rejected,
    /// The router failed it, or did not decide in time.
    Failed,
}

/// Routes a request whose attempt is never reported: the router decides, `answer` tells the client where to go, and the
/// router learns nothing of how that ended.
pub fn route_once<T>(
    core: &Arc<Core>,
    request: &ClientRequest,
    placement_ttl: Time,
    answer: impl FnOnce(&Route) -> T,
) -> Routing<T> {
    let Some(_open): Option<OpenRequest> = core.enter() else {
        return Routing::Overloaded;
    };
    let (sender, directives) = bounded(DIRECTIVE_CAPACITY);
    let delegated =
        DelegatedRequest::start(core, request, placement_ttl, Box::new(sender), usize::MAX);
    let Some(mut delegated) = delegated else {
        return Routing::Overloaded;
    };
    loop {
        let Ok(directive) = directives.recv_deadline(delegated.deadline) else {
            return Routing::Failed;
        };
        match delegated.take(directive) {
            Instruction::Attempt(route) => {
                let answer = answer(&route);
                delegated.finish_attempt(Outcome::Cancelled, true);
                return Routing::To(answer);
            }
            Instruction::AwaitNext => {}
            Instruction::Rejected(_) => return Routing::Rejected,
            Instruction::Failed | Instruction::ClientGone => return Routing::Failed,
        }
    }
}
