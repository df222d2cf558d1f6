//! The stream: a source that is read by long polls, a reader at each instance, and what it is told.

use crate::net::{Event, World};
use crate::node::{stream, Local};
use crate::plan::*;
use foldmux_harness::record::{Event as Said, Time};
use foldmux_relay::{Command, Event as News, Item, Notification, Position, Relay};
use foldmux_replicas::StateMachine;

/// A poll without news, and one that is lost.
const WAIT: Time = SECOND;
const LOST: Time = 1_700 * MS;
/// Something new comes so often.
const OFTEN: Time = 60 * MS;

impl World {
    pub fn begin_news(&mut self) {
        self.later(OFTEN, Event::News(Outside::Publish));
        if !self.plan.seed.is_multiple_of(3) {
            let when = self.plan.begins() + self.rng.u64(..self.plan.span);
            self.later(when, Event::News(Outside::Restart));
        }
    }

    pub fn news_outside(&mut self, what: Outside) {
        match what {
            Outside::Publish => {
                // The last ones have time to come to all.
                if self.now < self.plan.ends() - 4 * SECOND {
                    self.publish();
                    self.later(OFTEN, Event::News(Outside::Publish));
                }
            }
            Outside::Restart => {
                self.source.told.clear();
                self.source.epoch += 1;
                self.source.restarts = true;
            }
            Outside::Poll { at, life, poll } => {
                self.source.waiting.insert(at, (life, poll));
                let reading = &mut self.nodes[at].reading;
                let end = (self.source.epoch, self.source.told.len() as u64);
                if reading.tail != end || std::mem::take(&mut reading.first) {
                    self.answer_poll(at, life, poll);
                } else {
                    self.later(
                        WAIT,
                        Event::At {
                            node: at,
                            life,
                            what: Local::News(Step::Quiet { poll }),
                        },
                    );
                }
            }
        }
    }

    fn publish(&mut self) {
        let source = &mut self.source;
        source.count += 1;
        let (number, key) = (source.told.len() as u64 + 1, source.count % 4);
        let key = (key < 3).then(|| format!("k{key}").into());
        let bytes = source.count.to_le_bytes().as_slice().into();
        source.told.push(Item {
            number,
            key,
            deleted: false,
            bytes,
            age: 0,
        });
        let epoch = source.epoch;
        self.say(Said::Sent {
            stream: "list".into(),
            epoch,
            number,
        });
        let waiting: Vec<_> = self
            .source
            .waiting
            .iter()
            .map(|(at, (life, poll))| (*at, *life, *poll))
            .collect();
        waiting
            .into_iter()
            .for_each(|(at, life, poll)| self.answer_poll(at, life, poll));
    }

    fn answer_poll(&mut self, at: usize, life: u64, poll: u64) {
        self.source.waiting.remove(&at);
        let (epoch, tail) = (self.source.epoch, self.nodes[at].reading.tail);
        let after = if tail.0 == epoch { tail.1 as usize } else { 0 };
        let items = self.source.told[after.min(self.source.told.len())..].to_vec();
        let way = self.rng.u64(MS..5 * MS);
        let what = match self.rng.u16(..500) {
            // An answer that is lost on its way.
            0 if self.now < self.plan.begins() + self.plan.span => {
                return self.later(
                    LOST,
                    Event::At {
                        node: at,
                        life,
                        what: Local::News(Step::Unfed { poll }),
                    },
                );
            }
            _ => Local::News(Step::Answer { poll, epoch, items }),
        };
        self.later(
            way,
            Event::At {
                node: at,
                life,
                what,
            },
        );
    }

    fn poll(&mut self, at: usize) {
        self.serial += 1;
        let (life, poll) = (self.nodes[at].life, self.serial);
        self.nodes[at].reading.poll = poll;
        let way = self.rng.u64(MS..5 * MS);
        self.later(way, Event::News(Outside::Poll { at, life, poll }));
    }

    fn relay(&mut self, at: usize, command: Command) {
        self.drive::<Relay>(at, |part, now, out| part.on_command(now, command, out));
    }

    pub fn news_step(&mut self, at: usize, step: Step) {
        let reading = &mut self.nodes[at].reading;
        match step {
            Step::Taken { reader, number } => {
                self.relay(at, Command::Acknowledge { reader, number })
            }
            Step::Answer { poll, epoch, items } if reading.open && reading.poll == poll => {
                if reading.tail.0 != epoch {
                    reading.tail = (epoch, 0);
                }
                reading.tail.1 = items.last().map_or(reading.tail.1, |item| item.number);
                self.relay(
                    at,
                    Command::SourceItems {
                        stream: stream().name,
                        epoch,
                        items,
                    },
                );
                self.poll(at);
            }
            Step::Quiet { poll } if reading.open && reading.poll == poll => {
                let life = self.nodes[at].life;
                if self.source.waiting.get(&at) == Some(&(life, poll)) {
                    self.answer_poll(at, life, poll);
                }
            }
            Step::Unfed { poll } if reading.open && reading.poll == poll => {
                self.relay(
                    at,
                    Command::SourceFailed {
                        stream: stream().name,
                    },
                );
                self.poll(at);
            }
            _ => {}
        }
    }

    pub fn subscribe(&mut self, at: usize) {
        self.source.next_reader += 1;
        let reader = self.source.next_reader;
        (self.nodes[at].reading.reader, self.nodes[at].reading.at) = (Some(reader), None);
        self.say(Said::Joined {
            stream: "list".into(),
            site: site(at).to_string(),
            reader,
        });
        let (stream, after) = (stream().name, 0);
        self.relay(
            at,
            Command::Subscribe {
                reader,
                stream,
                after,
                position: None,
            },
        );
    }

    /// The instance is gone, and its reader with it.
    pub fn part(&mut self, at: usize) {
        let reading = std::mem::take(&mut self.nodes[at].reading);
        self.source.waiting.remove(&at);
        let (stream, site) = (|| "list".to_string(), site(at).to_string());
        reading.reader.iter().for_each(|reader| {
            self.say(Said::Parted {
                stream: stream(),
                site: site.clone(),
                reader: *reader,
            });
        });
        if reading.open {
            self.say(Said::Closed {
                stream: stream(),
                site,
            });
        }
    }

    pub fn news_told(&mut self, at: usize, told: Notification) {
        let (stream, site) = ("list".to_string(), site(at).to_string());
        match told {
            Notification::ReadSource { open, .. } => {
                self.source.waiting.remove(&at);
                let reading = &mut self.nodes[at].reading;
                (reading.open, reading.first) = (open, open);
                let said = if open {
                    Said::Opened { stream, site }
                } else {
                    Said::Closed { stream, site }
                };
                self.say(said);
                if open {
                    self.poll(at);
                }
            }
            Notification::Events {
                reader,
                first,
                events,
            } => {
                let taken = first + events.iter().map(News::span).sum::<u64>() - 1;
                events
                    .into_iter()
                    .for_each(|event| self.heard(at, reader, event));
                let after = self.rng.u64(..20 * MS);
                self.then(
                    at,
                    after,
                    Local::News(Step::Taken {
                        reader,
                        number: taken,
                    }),
                );
            }
            Notification::Ended { .. } | Notification::Refused { .. } => {
                self.nodes[at].reading.at = None
            }
            Notification::Opened { .. } | Notification::Upstream { .. } => {}
        }
    }

    fn heard(&mut self, at: usize, reader: u64, event: News) {
        let stream = "list".to_string();
        let (place, said) = match event {
            News::Item { epoch, item } => {
                let number = item.number;
                (
                    (epoch, number),
                    Said::Heard {
                        stream,
                        reader,
                        epoch,
                        number,
                    },
                )
            }
            News::Start {
                position: Position { epoch, number },
            }
            | News::Snapshot {
                position: Position { epoch, number },
                ..
            } => (
                (epoch, number),
                Said::Snapshot {
                    stream,
                    reader,
                    epoch,
                    number,
                },
            ),
            News::Gap {
                epoch,
                from,
                to: Some(to),
            } => (
                (epoch, to),
                Said::Gap {
                    stream,
                    reader,
                    epoch,
                    from,
                    to,
                },
            ),
            // An epoch's end.
            News::Gap { .. } => return,
        };
        self.nodes[at].reading.at = Some(place);
        self.say(said);
    }

    pub fn readers_behind(&self) -> Vec<String> {
        let end = Some((self.source.epoch, self.source.told.len() as u64));
        let up = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.parts.is_some());
        let behind = up.filter(|(_, node)| node.reading.at != end);
        behind
            .map(|(at, node)| format!("n{at} at {:?} of {end:?}", node.reading.at))
            .collect()
    }
}

mod state;

pub use state::{Outside, Reading, Source, Step};
