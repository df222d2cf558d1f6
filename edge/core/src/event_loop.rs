//! The event loop: one thread that owns the router, its timers and the table of open requests.
//!
//! It receives [`Command`]s over one bounded channel, and passes each action of the router to the request it concerns. It
//! blocks on nothing but that channel and its timers.

use crate::cancellation::CancelHandle;
use crate::clock::Clock;
use crate::event_loop_handle::EventLoopHandle;
use crate::messages::{AttemptTarget, Command, Directive, DirectiveSink, ProbeSender};
use crate::purges::RecentPurges;
use crate::retry_after::Rejected;
use crate::servers::{Incarnation, Server, ServerList};
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError};
use foldmux::interface::*;
use foldmux::Router;
use foldmux_load_reports::RouterLoadReports;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Capacity of the command channel; senders block while it is full.
const COMMAND_CAPACITY: usize = 4096;
/// How long the loop waits for a command when no timer is set.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// Entry of the table of open requests.
struct RequestEntry {
    cancel: Arc<CancelHandle>,
    directives: Box<dyn DirectiveSink>,
    /// Number of attempts that the router has decided on.
    attempts: u8,
}

/// Load reports and health checks, if the settings have them.
struct LoadReports {
    state: RouterLoadReports,
    probes: Option<Box<dyn ProbeSender>>,
}

impl LoadReports {
    fn probe(&self, cache: CacheId, incarnation: Option<Incarnation>) {
        if let (Some(probes), Some(incarnation)) = (&self.probes, incarnation) {
            probes.probe(cache, incarnation);
        }
    }
}

/// Called with the former entry of a server whose incarnation ended.
type EndedHook = Box<dyn Fn(&Server) + Send>;

/// The event loop; [`EventLoop::run`] runs it.
pub struct EventLoop {
    router: Router,
    clock: Clock,
    commands: Receiver<Command>,
    servers: Arc<ServerList>,
    ended_hooks: Vec<EndedHook>,
    purges: Arc<RecentPurges>,
    requests: HashMap<RequestId, RequestEntry>,
    /// Due time (router time, µs) and token of each timer, the earliest first.
    timers: BinaryHeap<Reverse<(Time, u32)>>,
    /// Kept between events to reuse its allocation.
    actions: Vec<Action>,
    load_reports: Option<LoadReports>,
    /// When every request must have its response (router time, µs); `None` until the process shuts down.
    shutdown_deadline: Option<Time>,
}

impl EventLoop {
    /// Creates an event loop for this router, and a handle that sends commands to it.
    pub fn new(
        router: Router,
        clock: Clock,
        servers: Arc<ServerList>,
    ) -> (EventLoop, EventLoopHandle) {
        let (sender, commands) = bounded(COMMAND_CAPACITY);
        let purges = Arc::<RecentPurges>::default();
        let event_loop = EventLoop {
            router,
            clock,
            commands,
            servers,
            ended_hooks: Vec::new(),
            purges: purges.clone(),
            requests: HashMap::new(),
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            load_reports: None,
            shutdown_deadline: None,
        };
        (event_loop, EventLoopHandle::new(sender, purges))
    }

    /// Registers a hook that is called with the former entry of each server whose incarnation no longer accepts work: the
    /// server drains, is gone, restarted, or moved to another address.
    pub fn on_incarnation_ended(&mut self, hook: impl Fn(&Server) + Send + 'static) {
        self.ended_hooks.push(Box::new(hook));
    }

    /// Tracks load reports in `state`, and sends health checks through `probes`, if given.
    pub fn enable_load_reports(
        &mut self,
        state: RouterLoadReports,
        probes: Option<Box<dyn ProbeSender>>,
    ) {
        self.load_reports = Some(LoadReports { state, probes });
    }

    /// Runs until every handle has been dropped.
    pub fn run(mut self) {
        loop {
            match self.commands.recv_timeout(self.until_next_timer()) {
                Ok(command) => self.execute_command(command),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.fire_timers();
        }
    }

    fn until_next_timer(&self) -> Duration {
        let Some(Reverse((due, _))) = self.timers.peek() else {
            return IDLE_WAIT;
        };
        Duration::from_micros(due.saturating_sub(self.clock.now()))
    }

    fn fire_timers(&mut self) {
        let now = self.clock.now();
        while let Some(&Reverse((due, token))) = self.timers.peek() {
            if due > now {
                return;
            }
            self.timers.pop();
            self.handle(Event::Timer { token });
        }
    }

    fn execute_command(&mut self, command: Command) {
        match command {
            Command::Request {
                request,
                cancel,
                directives,
            } => self.open_request(request, cancel, directives),
            Command::Outcome(report) => self.handle(Event::Outcome(report)),
            Command::ClientGone(id) => {
                if let Some(entry) = self.requests.get(&id) {
                    entry.directives.send(Directive::ClientGone);
                    self.handle(Event::ClientDisconnected { id });
                }
            }
            Command::RequestEnded(id) => {
                // The router removes a request by itself only at its final decision; of any other end it has to be told.
                if self.requests.remove(&id).is_some() {
                    self.handle(Event::ClientDisconnected { id });
                }
            }
            Command::Shutdown { deadline } => {
                self.shutdown_deadline = Some(deadline);
                self.handle(Event::Shutdown { deadline });
            }
            Command::Servers { full, servers } => self.update_servers(full, servers),
            Command::LoadReport {
                cache,
                incarnation,
                load,
            } => self.apply_load_report(cache, incarnation, |reports, now| {
                reports.record_report(now, cache, load)
            }),
            Command::ProbeResult {
                cache,
                incarnation,
                healthy,
                load,
            } => self.apply_load_report(cache, incarnation, |reports, now| {
                reports.record_probe(now, cache, healthy, load)
            }),
            Command::Topology {
                parent_zones,
                hub_by_zone,
            } => self.handle(Event::TopologyChanged {
                parent_zones,
                hub_by_zone,
            }),
            Command::Settings(settings) => self.router.retune(*settings),
            Command::Invalidate { object, group, age } => self.purge(object, group, age),
        }
    }

    /// Records the purge for the attempts that the router has decided on already, and passes it to the router for all others.
    fn purge(&mut self, object: Option<ObjectId>, group: u32, age: Time) {
        let (now, retention) = (self.clock.now(), self.router.purge_retention());
        self.purges.record(now, object, group, age, retention);
        self.handle(Event::Purged { object, group, age });
    }

    fn open_request(
        &mut self,
        mut request: IncomingRequest,
        cancel: Arc<CancelHandle>,
        directives: Box<dyn DirectiveSink>,
    ) {
        if cancel.is_client_gone() {
            // The client disconnected before this command arrived, and its `ClientGone` found no entry.
            directives.send(Directive::ClientGone);
            return;
        }
        self.requests.insert(
            request.id,
            RequestEntry {
                cancel,
                directives,
                attempts: 0,
            },
        );
        request.time_budget = request.time_budget.min(self.time_to_shutdown());
        self.handle(Event::Request(request));
    }

    /// Time (µs) until the shutdown deadline; unlimited while the process is not shutting down. A request that was read
    /// before the shutdown began may be registered after it, with a deadline past the end of the process.
    fn time_to_shutdown(&self) -> Time {
        self.shutdown_deadline.map_or(Time::MAX, |deadline| {
            deadline.saturating_sub(self.clock.now())
        })
    }

    fn update_servers(&mut self, full: bool, servers: Vec<Server>) {
        let servers = self.servers.resolve_address_conflicts(full, servers);
        let members = servers.iter().map(|server| server.member.clone()).collect();
        for former in self.servers.apply(full, servers) {
            self.ended_hooks.iter().for_each(|hook| hook(&former));
        }
        self.handle(Event::Members { full, members });
    }

    /// Applies a load report, unless its incarnation no longer accepts work: the report may arrive after the server list
    /// showed a drain or restart.
    fn apply_load_report(
        &mut self,
        cache: CacheId,
        incarnation: Incarnation,
        apply: impl FnOnce(&mut RouterLoadReports, Time),
    ) {
        let now = self.clock.now();
        let Some(reports) = &mut self.load_reports else {
            return;
        };
        if self.servers.accepts(cache, incarnation) {
            apply(&mut reports.state, now);
        }
    }

    /// Passes an event to the router; after a timer, also the events that the load reports derive from the current time.
    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        if let Some(reports) = &mut self.load_reports {
            reports.state.observe_event(now, &event);
        }
        let is_timer = matches!(event, Event::Timer { .. });
        self.feed_router(now, event);
        if is_timer {
            self.check_load_reports(now);
        }
    }

    fn check_load_reports(&mut self, now: Time) {
        let Some(reports) = &mut self.load_reports else {
            return;
        };
        let (mut events, mut to_probe) = (Vec::new(), Vec::new());
        reports.state.poll(now, &mut events, &mut to_probe);
        for cache in to_probe {
            reports.probe(cache, self.servers.incarnation(cache));
        }
        for event in events {
            self.feed_router(now, event);
        }
    }

    fn feed_router(&mut self, now: Time, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            if let Some(reports) = &mut self.load_reports {
                reports.state.observe_action(now, &action);
            }
            self.execute_action(now, action);
        }
        self.actions = actions;
    }

    fn execute_action(&mut self, now: Time, action: Action) {
        match action {
            Action::Fetch(fetch) => self.start_attempt(fetch),
            Action::Reject { id, retry_after } => {
                let retry_after = Duration::from_micros(retry_after);
                self.finish(id, Directive::Reject(Rejected { retry_after }))
            }
            Action::Fail { id } => self.finish(id, Directive::Fail),
            Action::Cancel { id, attempt } => {
                if let Some(entry) = self.requests.get(&id) {
                    entry.cancel.cancel_through(attempt);
                }
            }
            Action::StartTimer { after, token } => self.timers.push(Reverse((now + after, token))),
            Action::HealthCheck { cache } => {
                if let Some(reports) = &self.load_reports {
                    reports.probe(cache, self.servers.incarnation(cache));
                }
            }
            // The settings allow no peers, and the server list arrives as commands, so there is nothing to subscribe to.
            Action::MessagePeers { .. } | Action::SubscribeMembers => {}
        }
    }

    fn start_attempt(&mut self, fetch: Fetch) {
        let Some(entry) = self.requests.get_mut(&fetch.id) else {
            return;
        };
        let target = AttemptTarget {
            cache: self.servers.incarnation(fetch.cache),
            source: self.servers.incarnation(fetch.source),
            attempt: entry.attempts,
            decided_at: Instant::now(),
        };
        entry.attempts += 1;
        entry.directives.send(Directive::Attempt(fetch, target));
    }

    /// Sends a request its final directive. An attempt still in flight is cancelled, as its thread would otherwise respond
    /// only after the attempt ended.
    fn finish(&mut self, id: RequestId, directive: Directive) {
        if let Some(entry) = self.requests.get(&id) {
            entry.cancel.cancel_all();
            entry.directives.send(directive);
        }
    }
}
