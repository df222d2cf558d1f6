//! The desk: one thread that owns the module, its timers and the table of open requests. It is fed by one
//! bounded channel and hands each action to the request that it is for; it never waits for anything else.

use crate::clock::{span, Clock};
use crate::members::{Listed, Members, Start};
pub use crate::orders::{DeskHandle, Notice, Order, Orders, Probes, Target, ORDERS};
use crate::slot::Slot;
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError};
use foldmux::interface::*;
use foldmux::Router;
use foldmux_load_reports::Beside;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Messages that wait for the desk; senders wait beyond that, the desk for none of them.
const QUEUE: usize = 4096;

pub struct Open {
    slot: Arc<Slot>,
    orders: Box<dyn Orders>,
    attempts: u8,
}

type Hook = Box<dyn Fn(&Listed) + Send>;

pub struct Desk {
    router: Router,
    clock: Clock,
    notices: Receiver<Notice>,
    members: Arc<Members>,
    /// Called with the former lines of members whose start takes no more work.
    ended: Vec<Hook>,
    open: HashMap<RequestId, Open>,
    timers: BinaryHeap<Reverse<(Time, u32)>>,
    actions: Vec<Action>,
    /// What servers report, where the settings have reports or probes, and who sends probes.
    reports: Option<(Beside, Option<Box<dyn Probes>>)>,
    /// When all must be answered, once the process ends.
    closing: Option<Time>,
}

impl Desk {
    pub fn new(router: Router, clock: Clock, members: Arc<Members>) -> (Desk, DeskHandle) {
        let (sender, notices) = bounded(QUEUE);
        let desk = Desk {
            router,
            clock,
            notices,
            members,
            ended: Vec::new(),
            open: HashMap::new(),
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            reports: None,
            closing: None,
        };
        (desk, DeskHandle(sender))
    }

    /// Tells of members that drain, go or start anew.
    pub fn when_ended(&mut self, hook: impl Fn(&Listed) + Send + 'static) {
        self.ended.push(Box::new(hook));
    }

    /// Has reports kept, and probes sent.
    pub fn report_to(&mut self, beside: Beside, probes: Option<Box<dyn Probes>>) {
        self.reports = Some((beside, probes));
    }

    /// Runs until every handle is gone.
    pub fn run(mut self) {
        loop {
            let wait = self
                .timers
                .peek()
                .map_or(Duration::from_secs(60), |Reverse((due, _))| {
                    span(due.saturating_sub(self.clock.now()))
                });
            match self.notices.recv_timeout(wait) {
                Ok(notice) => self.take(notice),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.fire();
        }
    }

    fn fire(&mut self) {
        let now = self.clock.now();
        while let Some(&Reverse((due, token))) = self.timers.peek() {
            if due > now {
                return;
            }
            self.timers.pop();
            self.handle(Event::Timer { token });
        }
    }

    pub fn take(&mut self, notice: Notice) {
        match notice {
            Notice::Ask {
                mut ask,
                slot,
                orders,
            } => {
                if slot.left() {
                    // Guards against a client that left before its ask came here: no one would end it.
                    orders.order(Order::Over);
                    return;
                }
                self.open.insert(
                    ask.id,
                    Open {
                        slot,
                        orders,
                        attempts: 0,
                    },
                );
                ask.budget = ask.budget.min(self.left_to_close());
                self.handle(Event::Request(ask));
            }
            Notice::Outcome(report) => self.handle(Event::Outcome(report)),
            Notice::Left(id) => {
                if let Some(open) = self.open.get(&id) {
                    open.orders.order(Order::Over);
                    self.handle(Event::ClientGone { id });
                }
            }
            Notice::Ended(id) => {
                // The module hears of an end that it did not bring about; of any other it knows.
                if self.open.remove(&id).is_some() {
                    self.handle(Event::ClientGone { id });
                }
            }
            Notice::Closing { by } => {
                self.closing = Some(by);
                self.handle(Event::Closing { by });
            }
            Notice::Members { full, listed } => {
                let listed = self.members.one_at_an_address(full, listed);
                let members = listed.iter().map(|l| l.member.clone()).collect();
                for former in self.members.apply(full, listed) {
                    self.ended.iter().for_each(|hook| hook(&former));
                }
                self.handle(Event::Members { full, members });
            }
            Notice::Load { cache, start, load } => {
                self.hear(cache, start, |b, now| b.heard(now, cache, load))
            }
            Notice::Probed {
                cache,
                start,
                well,
                load,
            } => {
                self.hear(cache, start, |b, now| b.probed(now, cache, well, load));
            }
            Notice::Wired { hubs, hub_of } => self.handle(Event::Wired { hubs, hub_of }),
            Notice::Retuned(settings) => self.router.retune(*settings),
            Notice::Purged { object, group, ago } => {
                self.handle(Event::Purged { object, group, ago })
            }
        }
    }

    /// For how long a request may be open. Guards against one that was read before the end was decided and comes here after
    /// it: its client's own time may be over only once the process has gone.
    fn left_to_close(&self) -> Time {
        self.closing
            .map_or(Time::MAX, |by| by.saturating_sub(self.clock.now()))
    }

    /// Guards against word of a process that takes no work any more: it may have crossed a drain or a restart.
    fn hear(&mut self, cache: CacheId, start: Start, hear: impl FnOnce(&mut Beside, Time)) {
        let now = self.clock.now();
        if let Some((beside, _)) = self
            .reports
            .as_mut()
            .filter(|_| self.members.allows(cache, start))
        {
            hear(beside, now);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        self.reports
            .iter_mut()
            .for_each(|(beside, _)| beside.event(now, &event));
        let looks = matches!(event, Event::Timer { .. });
        self.feed(now, event);
        let Some((beside, probes)) = self.reports.as_mut().filter(|_| looks) else {
            return;
        };
        let (mut events, mut asked) = (Vec::new(), Vec::new());
        beside.look(now, &mut events, &mut asked);
        for cache in asked {
            let to = probes.as_ref().zip(self.members.get(cache));
            to.into_iter()
                .for_each(|(probes, m)| probes.probe(cache, m.start()));
        }
        events.into_iter().for_each(|event| self.feed(now, event));
    }

    fn feed(&mut self, now: Time, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.reports
                .iter_mut()
                .for_each(|(beside, _)| beside.action(now, &action));
            self.carry_out(now, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, now: Time, action: Action) {
        let start = |cache| self.members.get(cache).map(|m| m.start());
        match action {
            Action::Fetch(fetch) => {
                let Some(open) = self.open.get_mut(&fetch.id) else {
                    return;
                };
                let target = Target {
                    cache: start(fetch.cache),
                    source: start(fetch.source),
                    attempt: open.attempts,
                    decided: Instant::now(),
                };
                open.attempts += 1;
                open.orders.order(Order::Fetch(fetch, target));
            }
            Action::Refuse { id, retry_after } => {
                self.answer(id, Order::Refuse { wait: retry_after })
            }
            Action::Fail { id } => self.answer(id, Order::Fail),
            Action::Cancel { id, attempt } => {
                if let Some(open) = self.open.get(&id) {
                    open.slot.call_off(attempt);
                }
            }
            Action::Timer { after, token } => self.timers.push(Reverse((now + after, token))),
            Action::Probe { cache } => {
                let probes = self
                    .reports
                    .as_ref()
                    .and_then(|(_, probes)| probes.as_ref());
                let to = probes.zip(start(cache));
                to.into_iter()
                    .for_each(|(probes, start)| probes.probe(cache, start));
            }
            // No peers, and the list is pushed: the settings of this platform allow neither.
            Action::TellPeers { .. } | Action::Watch => {}
        }
    }

    /// Gives a request its final answer. Guards against an attempt that is still out keeping the request's thread, and
    /// with it the answer, until the attempt's own end.
    fn answer(&mut self, id: RequestId, order: Order) {
        if let Some(open) = self.open.get(&id) {
            open.slot.call_off(u8::MAX);
            open.orders.order(order);
        }
    }
}
