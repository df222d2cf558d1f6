//! What the parts want done: messages on links, polls of the source, news for subscribers.

use super::queue::What;
use super::world::{World, MS, NAME, WAIT};
use foldmux_relay::{Command, Item, Notification, Relay, RelayEffect};
use foldmux_replicas::{Effect, StateMachine};

/// An answer's head, and what stands around an event.
const HEAD: u64 = 60;
const ROUND: u64 = 40;

impl World {
    pub fn drive(&mut self, n: usize, step: impl FnOnce(&mut Relay, &mut Vec<RelayEffect>)) {
        let Some(relay) = self.instances[n].relay.as_mut() else {
            return;
        };
        let mut out = Vec::new();
        step(relay, &mut out);
        let mut takes = Vec::new();
        for act in out {
            match act {
                Effect::Send { to, message } => {
                    self.sent += 1;
                    let to = self.name(&to);
                    let delay = if to == n {
                        0
                    } else {
                        self.drawn(MS / 2, 3 * MS)
                    };
                    let last = self.last_sent.get(&(n, to)).copied().unwrap_or(0);
                    let time = last.max(self.now + delay);
                    self.last_sent.insert((n, to), time);
                    if self.instances[to].relay.is_some() {
                        self.at(time - self.now, to, What::Hear(n, to, message));
                    }
                }
                Effect::Emit(told) => self.told(n, told, &mut takes),
            }
        }
        let due = self.instances[n]
            .relay
            .as_ref()
            .and_then(|relay| relay.next_tick());
        if let Some(due) = due
            .map(|due| due.max(self.now + 1))
            .filter(|due| *due < self.instances[n].tick_at)
        {
            self.instances[n].tick_at = due;
            self.at(due - self.now, n, What::Tick(n));
        }
        for (reader, number) in takes {
            self.ask(n, Command::Acknowledge { reader, number });
        }
    }

    fn told(&mut self, n: usize, told: Notification, takes: &mut Vec<(u64, u64)>) {
        match told {
            Notification::ReadSource { open, .. } => {
                let own = &mut self.instances[n];
                self.open = self.open + usize::from(open) - usize::from(own.open);
                (own.open, own.first) = (open, open);
                self.waiting.remove(&n);
                if open {
                    self.poll(n);
                }
            }
            Notification::Events {
                reader,
                first,
                events,
            } => {
                if let Some(number) = self
                    .subscribers
                    .told(self.now, reader, first, &events, &self.log)
                {
                    takes.push((reader, number));
                }
            }
            Notification::Ended { reader, .. } => self.subscribers.ended(reader),
            Notification::Refused { .. } => self.subscribers.refused += 1,
            Notification::Upstream { .. } | Notification::Opened { .. } => {}
        }
    }

    pub fn poll(&mut self, n: usize) {
        self.instances[n].poll += 1;
        let (poll, delay) = (self.instances[n].poll, self.drawn(MS, 5 * MS));
        self.at(delay, n, What::Poll(n, poll));
    }

    pub fn polled(&mut self, n: usize, poll: u64) {
        if poll != self.instances[n].poll || !self.instances[n].open {
            return;
        }
        self.waiting.insert(n, (self.instances[n].life, poll));
        if self.instances[n].tail < self.log.len() || std::mem::take(&mut self.instances[n].first) {
            self.answer(n, poll);
        } else {
            self.at(WAIT, n, What::Quiet(n, poll));
        }
    }

    /// The source answers a poll that waits.
    pub fn answer(&mut self, n: usize, poll: u64) {
        self.waiting.remove(&n);
        self.answers += 1;
        let from = self.instances[n].tail.min(self.log.len());
        self.bytes += HEAD
            + self.log[from..]
                .iter()
                .map(|(_, i)| i.bytes.len() as u64 + ROUND)
                .sum::<u64>();
        let (upto, delay) = (self.log.len(), self.drawn(MS, 5 * MS));
        self.at(delay, n, What::Answer(n, poll, upto));
    }

    pub fn answered(&mut self, n: usize, poll: u64, upto: usize) {
        if poll != self.instances[n].poll || !self.instances[n].open {
            return;
        }
        let from = std::mem::replace(&mut self.instances[n].tail, upto);
        if self.relayed {
            let items = self.log[from..upto]
                .iter()
                .map(|(_, item)| item.clone())
                .collect();
            let epoch = (n as u64 + 1) << 32 | self.instances[n].life;
            self.ask(
                n,
                Command::SourceItems {
                    stream: NAME.into(),
                    epoch,
                    items,
                },
            );
        } else if from > 0 {
            let told: Vec<u64> = self.log[from..upto]
                .iter()
                .map(|(at, _)| self.now - at)
                .collect();
            told.into_iter()
                .for_each(|delay| self.subscribers.delayed(delay));
        }
        if self.instances[n].open && self.instances[n].poll == poll {
            self.poll(n);
        }
    }

    /// The source tells something: a line of the list where there is a key, else a purge.
    pub fn publish(&mut self, key: Option<String>) {
        self.purges += u64::from(key.is_none());
        let bytes = match key {
            Some(_) => [0u8; 150].to_vec(),
            None => [self.purges.to_le_bytes().as_slice(), &[0; 60]].concat(),
        };
        let number = self.log.len() as u64 + 1;
        let key = key.map(|key| key.as_str().into());
        self.log.push((
            self.now,
            Item {
                number,
                key,
                deleted: false,
                bytes: bytes.into(),
                age: 0,
            },
        ));
        let waiting: Vec<(usize, u64)> = self
            .waiting
            .iter()
            .map(|(n, (_, poll))| (*n, *poll))
            .collect();
        waiting
            .into_iter()
            .for_each(|(n, poll)| self.answer(n, poll));
    }
}
