//! Delegated requests, whose caller makes the attempts itself at the servers it is given, and reports their outcomes.
//!
//! [`DelegatedRequest`] is a state machine that never blocks: the front waits for the directives and for the outcomes
//! of the attempts, and passes both in.

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

/// The servers of an attempt that the router decided on.
#[derive(Clone, Debug)]
pub struct Route {
    /// The cache that the attempt goes to.
    pub cache: Server,
    /// The server that a miss is filled from; `None` if a miss is not filled.
    pub source: Option<Server>,
    /// The attempt as the router decided it.
    pub fetch: Fetch,
    target: AttemptTarget,
}

/// What the front of a delegated request must do after a directive.
#[derive(Debug)]
pub enum Instruction {
    /// Make this attempt.
    Attempt(Box<Route>),
    /// The attempt must not be made: it is too late to send it, or one of its servers no longer accepts work. Wait for
    /// the next directive.
    AwaitNext,
    /// The request is rejected.
    Rejected(Rejected),
    /// The request has failed.
    Failed,
    /// No response is owed.
    ClientGone,
}

/// One delegated request. Its drop reports the outcome of the attempt in flight, if there is one, and the end of the
/// request, and takes the request off the number of delegated ones.
pub struct DelegatedRequest {
    core: Arc<Core>,
    id: RequestId,
    in_flight: Option<InFlightAttempt>,
    object: u64,
    /// The object's purge group.
    group: u32,
    /// When the client gives up.
    pub deadline: Instant,
}

impl DelegatedRequest {
    /// Passes the request to the router, whose directives go to `directives`. Returns `None` if `max` requests are
    /// delegated already; the router then never learns of the request. The caller may send requests along the route for
    /// `placement_ttl` (µs), or make a single attempt if that is 0.
    pub fn start(
        core: &Arc<Core>,
        request: &ClientRequest,
        placement_ttl: Time,
        directives: Box<dyn DirectiveSink>,
        max: usize,
    ) -> Option<DelegatedRequest> {
        let is_full = core.count_delegated() >= max;
        let cancel = core.new_cancel_handle();
        // `count_delegated` has counted this request; from here on, the drop of `delegated` takes it off again.
        let delegated = DelegatedRequest {
            core: core.clone(),
            id: cancel.id,
            in_flight: None,
            object: request.object,
            group: request.group,
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

    /// Processes a directive. Checks the servers of an attempt again, as the list may have changed since the router
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

    /// Returns the route of an attempt; `None` if it is too late to send it, or if one of its servers no longer accepts
    /// work.
    fn route(&self, mut fetch: Fetch, target: AttemptTarget) -> Option<Route> {
        let now = self.core.clock.now();
        self.limit_age(&mut fetch, now);
        let in_time = fetch.may_send(now);
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

    /// Brings a route that was kept up to date with the purges since then. False if it must not be used any more.
    pub fn refresh(&self, route: &mut Route) -> bool {
        let now = self.core.clock.now();
        self.limit_age(&mut route.fetch, now);
        let Route { fetch, target, .. } = route;
        if !fetch.may_send(now) {
            return false;
        }
        let accepts = |cache, incarnation: Option<_>| {
            incarnation.is_some_and(|incarnation| self.core.servers.accepts(cache, incarnation))
        };
        let source_accepts = route.source.is_none() || accepts(fetch.source, target.source);
        source_accepts && accepts(fetch.cache, target.cache)
    }

    /// Purges that were told after the router decided bound the age of the copy, too.
    fn limit_age(&self, fetch: &mut Fetch, now: Time) {
        let purges = self.core.event_loop.purges();
        purges.limit(fetch, now, self.object, self.group);
    }

    /// Records that the caller has the route: from here on, the attempt may execute.
    pub fn mark_sent(&mut self) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.mark_sent();
        }
    }

    /// Reports the outcome of the attempt in flight. If `last`, no other attempt follows, whatever the router decides;
    /// otherwise, wait for its next directive.
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

/// The result of [`route_once`].
pub enum Routing<T> {
    /// The request was routed.
    To(T),
    /// The maximum number of requests is open; the router did not get the request.
    Overloaded,
    /// The router rejected it.
    Rejected,
    /// The router failed it, or made no decision before the deadline.
    Failed,
}

/// Routes a request whose outcome is never known: the router decides, `make_response` makes the client's response from
/// the route, and the attempt is reported as cancelled at once. Blocks until the router has decided.
pub fn route_once<T>(
    core: &Arc<Core>,
    request: &ClientRequest,
    placement_ttl: Time,
    make_response: impl FnOnce(&Route) -> T,
) -> Routing<T> {
    let Some(_open): Option<OpenRequest> = core.try_open() else {
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
                let response = make_response(&route);
                delegated.finish_attempt(Outcome::Cancelled, true);
                return Routing::To(response);
            }
            Instruction::AwaitNext => {}
            Instruction::Rejected(_) => return Routing::Rejected,
            Instruction::Failed | Instruction::ClientGone => return Routing::Failed,
        }
    }
}
