//! The effects of the state machines: messages over links that delay and lose them, polls of the source, and
//! events for readers.

use super::{Scheduled, World, MS, POLL_TIMEOUT, POLL_WAIT, SOURCE};
use foldmux_relay::{Message, Notification, Position};
use foldmux_replicas::{Effect, Peer, StateMachine};
use rand::RngExt;

impl World {
    /// Carries out the effects of a process's state machine.
    pub fn carry_out(&mut self, i: usize, effects: Vec<Effect<Message, Notification>>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(i, to, message),
                Effect::Emit(notification) => self.on_notification(i, notification),
            }
        }
        let (now, process) = (self.now, &mut self.processes[i]);
        let due = process.relay.as_ref().and_then(|relay| relay.next_tick());
        if let Some(due) = due
            .map(|due| due.max(now + 1))
            .filter(|due| *due < process.tick_at)
        {
            process.tick_at = due;
            let incarnation = process.incarnation;
            self.schedule(due, Scheduled::Tick(i, incarnation));
        }
        let open = self
            .processes
            .iter()
            .filter(|p| p.reads_source && p.relay.is_some())
            .count();
        self.max_open_sources = self.max_open_sources.max(open);
    }

    fn send(&mut self, from: usize, to: Peer, message: Message) {
        self.sent += 1;
        let to: usize = to.as_str()[1..].parse().unwrap();
        let lost = self.loss_probability > 0.0 && self.rng.random_bool(self.loss_probability);
        if from != to && (self.cut_links.contains(&(from, to)) || lost)
            || self.processes[to].relay.is_none()
        {
            return;
        }
        let last = self.last_delivery.get(&(from, to)).copied().unwrap_or(0);
        let delay = if from == to {
            0
        } else {
            self.random_between(MS / 2, 3 * MS)
        };
        let time = last.max(self.now + delay);
        self.last_delivery.insert((from, to), time);
        let incarnation = self.processes[to].incarnation;
        self.schedule(time, Scheduled::Deliver(from, to, incarnation, message));
    }

    fn on_notification(&mut self, i: usize, notification: Notification) {
        match notification {
            Notification::ReadSource { open, .. } => {
                self.processes[i].reads_source = open;
                self.waiting.remove(&i);
                self.processes[i].answer_at_once = open;
                if open {
                    self.start_poll(i);
                }
            }
            Notification::Events {
                reader,
                first,
                events,
            } => {
                let Some((_, model)) = self.readers.get_mut(&reader) else {
                    return;
                };
                model.on_events(self.now, &self.log, first, events);
                let (now, number) = (self.now, model.last_number);
                match self.slow_readers.get(&reader) {
                    Some(None) => {}
                    Some(Some(wait)) => {
                        self.schedule(now + wait, Scheduled::Acknowledge(reader, number))
                    }
                    None => self.schedule(now, Scheduled::Acknowledge(reader, number)),
                }
            }
            Notification::Ended { reader, .. } => {
                self.readers.get_mut(&reader).expect("opened").1.ended = true;
            }
            Notification::Upstream { from, .. } => self.direct_reads += u64::from(from.is_none()),
            Notification::Opened { .. } => {}
            Notification::Refused { reader, reason } => {
                panic!("reader {reader} was refused: {reason:?}")
            }
        }
    }

    pub(super) fn start_poll(&mut self, i: usize) {
        self.order += 1;
        let (incarnation, order) = (self.processes[i].incarnation, self.order);
        self.processes[i].poll = order;
        self.polls += 1;
        let delay = self.random_between(MS, 5 * MS);
        self.schedule(self.now + delay, Scheduled::Poll(i, incarnation, order));
    }

    pub(super) fn on_poll(&mut self, i: usize, incarnation: u64, poll: u64) {
        if self.cut_links.contains(&(i, SOURCE)) || self.cut_links.contains(&(SOURCE, i)) {
            return self.schedule(
                self.now + POLL_TIMEOUT,
                Scheduled::PollFailed(i, incarnation, poll),
            );
        }
        self.waiting.insert(i, (incarnation, poll));
        let end = Position {
            epoch: self.epoch(i),
            number: self.log.count(),
        };
        if self.processes[i].source_position != end
            || std::mem::take(&mut self.processes[i].answer_at_once)
        {
            self.answer_poll(i, incarnation, poll);
        } else {
            self.schedule(
                self.now + POLL_WAIT,
                Scheduled::PollExpired(i, incarnation, poll),
            );
        }
    }

    pub(super) fn answer_poll(&mut self, i: usize, incarnation: u64, poll: u64) {
        self.waiting.remove(&i);
        if self.cut_links.contains(&(SOURCE, i)) {
            return self.schedule(
                self.now + POLL_TIMEOUT,
                Scheduled::PollFailed(i, incarnation, poll),
            );
        }
        self.answers += 1;
        let (source_position, epoch) = (self.processes[i].source_position, self.epoch(i));
        let after = if source_position.epoch == epoch {
            source_position.number
        } else {
            0
        };
        let (items, delay) = (self.log.items(after), self.random_between(MS, 5 * MS));
        self.schedule(
            self.now + delay,
            Scheduled::PollAnswered(i, incarnation, poll, epoch, items),
        );
    }

    /// Publishes an item at the source.
    pub fn publish(&mut self, key: Option<&str>, deleted: bool) {
        self.log.push(self.now, key, deleted);
        let waiting: Vec<_> = self
            .waiting
            .iter()
            .map(|(i, (incarnation, poll))| (*i, *incarnation, *poll))
            .collect();
        for (i, incarnation, poll) in waiting {
            self.answer_poll(i, incarnation, poll);
        }
    }
}
