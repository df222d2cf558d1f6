//! What parts want done: messages on links that delay and lose them, polls of the source, news for readers.

use super::{What, World, LOST, MS, SOURCE, WAIT};
use foldmux_relay::{Message, Place, Told};
use foldmux_replicas::{Effect, Peer, StateMachine};
use rand::RngExt;

impl World {
    /// Carries out what a part wants.
    pub fn done(&mut self, i: usize, out: Vec<Effect<Message, Told>>) {
        for act in out {
            match act {
                Effect::Send { to, message } => self.send(i, to, message),
                Effect::Emit(told) => self.told(i, told),
            }
        }
        let (now, process) = (self.now, &mut self.processes[i]);
        let due = process.relay.as_ref().and_then(|relay| relay.next_tick());
        if let Some(due) = due
            .map(|due| due.max(now + 1))
            .filter(|due| *due < process.tick_at)
        {
            process.tick_at = due;
            let life = process.life;
            self.at(due, What::Tick(i, life));
        }
        let open = self
            .processes
            .iter()
            .filter(|p| p.open && p.relay.is_some())
            .count();
        self.most_open = self.most_open.max(open);
    }

    fn send(&mut self, from: usize, to: Peer, message: Message) {
        self.sent += 1;
        let to: usize = to.as_str()[1..].parse().unwrap();
        let lost = self.loss > 0.0 && self.draws.random_bool(self.loss);
        if from != to && (self.cut.contains(&(from, to)) || lost)
            || self.processes[to].relay.is_none()
        {
            return;
        }
        let last = self.last_sent.get(&(from, to)).copied().unwrap_or(0);
        let delay = if from == to {
            0
        } else {
            self.drawn(MS / 2, 3 * MS)
        };
        let time = last.max(self.now + delay);
        self.last_sent.insert((from, to), time);
        let life = self.processes[to].life;
        self.at(time, What::Hear(from, to, life, message));
    }

    fn told(&mut self, i: usize, told: Told) {
        match told {
            Told::Source { open, .. } => {
                self.processes[i].open = open;
                self.waiting.remove(&i);
                self.processes[i].first = open;
                if open {
                    self.poll(i);
                }
            }
            Told::News {
                reader,
                first,
                events,
            } => {
                let Some((_, model)) = self.readers.get_mut(&reader) else {
                    return;
                };
                model.told(self.now, &self.log, first, events);
                let (now, number) = (self.now, model.own);
                match self.slow.get(&reader) {
                    Some(None) => {}
                    Some(Some(wait)) => self.at(now + wait, What::Take(reader, number)),
                    None => self.at(now, What::Take(reader, number)),
                }
            }
            Told::Ended { reader, .. } => {
                self.readers.get_mut(&reader).expect("opened").1.ended = true;
            }
            Told::Relay { from, .. } => self.directs += u64::from(from.is_none()),
            Told::Opened { .. } => {}
            Told::Refused { ticket, why } => panic!("{ticket} refused: {why:?}"),
        }
    }

    pub(super) fn poll(&mut self, i: usize) {
        self.order += 1;
        let (life, order) = (self.processes[i].life, self.order);
        self.processes[i].poll = order;
        self.polls += 1;
        let delay = self.drawn(MS, 5 * MS);
        self.at(self.now + delay, What::Poll(i, life, order));
    }

    pub(super) fn polled(&mut self, i: usize, life: u64, poll: u64) {
        if self.cut.contains(&(i, SOURCE)) || self.cut.contains(&(SOURCE, i)) {
            return self.at(self.now + LOST, What::Unfed(i, life, poll));
        }
        self.waiting.insert(i, (life, poll));
        let end = Place {
            epoch: self.epoch(i),
            number: self.log.count(),
        };
        if self.processes[i].tail != end || std::mem::take(&mut self.processes[i].first) {
            self.answer(i, life, poll);
        } else {
            self.at(self.now + WAIT, What::Quiet(i, life, poll));
        }
    }

    pub(super) fn answer(&mut self, i: usize, life: u64, poll: u64) {
        self.waiting.remove(&i);
        if self.cut.contains(&(SOURCE, i)) {
            return self.at(self.now + LOST, What::Unfed(i, life, poll));
        }
        self.answers += 1;
        let (tail, epoch) = (self.processes[i].tail, self.epoch(i));
        let after = if tail.epoch == epoch { tail.number } else { 0 };
        let (items, delay) = (self.log.items(after), self.drawn(MS, 5 * MS));
        self.at(self.now + delay, What::Answer(i, life, poll, epoch, items));
    }

    /// The source tells something new.
    pub fn publish(&mut self, key: Option<&str>, gone: bool) {
        self.log.push(self.now, key, gone);
        let waiting: Vec<_> = self
            .waiting
            .iter()
            .map(|(i, (life, poll))| (*i, *life, *poll))
            .collect();
        for (i, life, poll) in waiting {
            self.answer(i, life, poll);
        }
    }
}
