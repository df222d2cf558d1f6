//! The event loop: one thread that owns the router, its timers and the table of open requests.
//!
//! It is fed by one bounded channel of [`Command`]s, and hands each action of the router to the request that it is for. It
//! waits for nothing but that channel and its timers.

use crate::cancellation::CancelHandle;
use crate::clock::Clock;
use crate::messages::{AttemptTarget, Command, Directive, DirectiveSink, ProbeSender};
use crate::retry_after::Rejected;
use crate::servers::{Incarnation, Server, ServerList};
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use foldmux::interface::*;
use foldmux::Router;
use foldmux_load_reports::RouterLoadReports;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Commands that may wait for the event loop; beyond that their senders wait.
const COMMAND_CAPACITY: usize = 4096;
/// How long the loop waits for a command where no timer is set.
const IDLE_WAIT: Duration = Duration::from_secs(60);

/// Sends commands to the event loop.
#[derive(Clone)]
pub struct EventLoopHandle(Sender<Command>);

impl EventLoopHandle {
    /// Sends a command; waits while the channel is full. The loop ends only with the process, so a command to a loop that is
    /// gone has no meaning any more.
    pub fn send(&self, command: Command) {
        let _ = self.0.send(command);
    }
}

/// A request that the router knows.
struct OpenRequest {
    cancel: Arc<CancelHandle>,
    directives: Box<dyn DirectiveSink>,
    /// Attempts decided so far.
    attempts: u8,
}

/// Load reports and health checks, where the settings have them.
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

type EndedHook = Box<dyn Fn(&Server) + Send>;

/// The event loop, before it runs.
pub struct EventLoop {
    router: Router,
    clock: Clock,
    commands: Receiver<Command>,
    servers: Arc<ServerList>,
    ended_hooks: Vec<EndedHook>,
    open: HashMap<RequestId, OpenRequest>,
    timers: BinaryHeap<Reverse<(Time, u32)>>,
    /// Reused from event to event.
    actions: Vec<Action>,
    load_reports: Option<LoadReports>,
    /// When every request must have its response, once the process shuts down.
    shutdown_deadline: Option<Time>,
}

impl EventLoop {
    /// An event loop over this router, and the handle that feeds it.
    pub fn new(
        router: Router,
        clock: Clock,
        servers: Arc<ServerList>,
    ) -> (EventLoop, EventLoopHandle) {
        let (sender, commands) = bounded(COMMAND_CAPACITY);
        let event_loop = EventLoop {
            router,
            clock,
            commands,
            servers,
            ended_hooks: Vec::new(),
            open: HashMap::new(),
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            load_reports: None,
            shutdown_deadline: None,
        };
        (event_loop, EventLoopHandle(sender))
    }

    /// Calls `hook` with the former entry of each server whose incarnation takes no more work: it drains, is gone, or
    /// started anew.
    pub fn on_incarnation_ended(&mut self, hook: impl Fn(&Server) + Send + 'static) {
        self.ended_hooks.push(Box::new(hook));
    }

    /// Keeps load reports in `state`, and sends health checks by `probes` where there are any.
    pub fn enable_load_reports(
        &mut self,
        state: RouterLoadReports,
        probes: Option<Box<dyn ProbeSender>>,
    ) {
        self.load_reports = Some(LoadReports { state, probes });
    }

    /// Runs until every handle is gone.
    pub fn run(mut self) {
        loop {
            match self.commands.recv_timeout(self.until_next_timer()) {
                Ok(command) => self.execute(command),
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

    fn execute(&mut self, command: Command) {
        match command {
            Command::Request {
                request,
                cancel,
                directives,
            } => self.open_request(request, cancel, directives),
            Command::Outcome(report) => self.handle(Event::Outcome(report)),
            Command::ClientGone(id) => {
                if let Some(open) = self.open.get(&id) {
                    open.directives.send(Directive::ClientGone);
                    self.handle(Event::ClientDisconnected { id });
                }
            }
            Command::RequestEnded(id) => {
                // The router forgets a request by itself only with its final decision; of any other end it must hear.
                if self.open.remove(&id).is_some() {
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
            } => self.with_load_reports(cache, incarnation, |reports, now| {
                reports.record_report(now, cache, load)
            }),
            Command::ProbeResult {
                cache,
                incarnation,
                healthy,
                load,
            } => self.with_load_reports(cache, incarnation, |reports, now| {
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
            Command::Invalidate { object, group, age } => {
                self.handle(Event::Purged { object, group, age })
            }
        }
    }

    fn open_request(
        &mut self,
        mut request: IncomingRequest,
        cancel: Arc<CancelHandle>,
        directives: Box<dyn DirectiveSink>,
    ) {
        if cancel.is_client_gone() {
            // The client left before this command arrived, and its `ClientGone` found no request to end.
            directives.send(Directive::ClientGone);
            return;
        }
        self.open.insert(
            request.id,
            OpenRequest {
                cancel,
                directives,
                attempts: 0,
            },
        );
        request.time_budget = request.time_budget.min(self.time_to_shutdown());
        self.handle(Event::Request(request));
    }

    /// How long a request may be open (µs). One that was read before the shutdown began may arrive after it, with a deadline
    /// beyond the end of the process.
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

    /// Applies a load report, unless it is from an incarnation that takes no more work: it may have crossed the news of a
    /// drain or restart.
    fn with_load_reports(
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

    /// Gives the router an event; after a timer, also those that the load reports derive from the time.
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
            self.carry_out(now, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Fetch(fetch) => self.start_attempt(fetch),
            Action::Reject { id, retry_after } => {
                let retry_after = Duration::from_micros(retry_after);
                self.finish(id, Directive::Reject(Rejected { retry_after }))
            }
            Action::Fail { id } => self.finish(id, Directive::Fail),
            Action::Cancel { id, attempt } => {
                if let Some(open) = self.open.get(&id) {
                    open.cancel.cancel_through(attempt);
                }
            }
            Action::StartTimer { after, token } => self.timers.push(Reverse((now + after, token))),
            Action::HealthCheck { cache } => {
                if let Some(reports) = &self.load_reports {
                    reports.probe(cache, self.servers.incarnation(cache));
                }
            }
            // This platform's settings allow no peers, and its server list is pushed.
            Action::MessagePeers { .. } | Action::SubscribeMembers => {}
        }
    }

    fn start_attempt(&mut self, fetch: Fetch) {
        let Some(open) = self.open.get_mut(&fetch.id) else {
            return;
        };
        let target = AttemptTarget {
            cache: self.servers.incarnation(fetch.cache),
            source: self.servers.incarnation(fetch.source),
            attempt: open.attempts,
            decided_at: Instant::now(),
        };
        open.attempts += 1;
        open.directives.send(Directive::Attempt(fetch, target));
    }

    /// Gives a request its final directive. An attempt still in flight is cancelled, as its thread would otherwise hold the
    /// response back until the attempt's own end.
    fn finish(&mut self, id: RequestId, directive: Directive) {
        if let Some(open) = self.open.get(&id) {
            open.cancel.cancel_all();
            open.directives.send(directive);
        }
    }
}
