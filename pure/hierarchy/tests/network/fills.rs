//! What a node does with a fill: it joins, fetches, tries again and answers.

use crate::net::{name, Fetch, Message, Net, Who};
use foldmux_hierarchy::ledger::{Arrival, FetchId, Next, Turn};
use foldmux_hierarchy::node::Seeking;

impl Net {
    pub fn failed(&mut self, hub: usize, id: FetchId, attempt: u32) {
        match self.hubs[hub].node.failed(self.now, id, attempt) {
            Next::Again(next) => self.seek(hub, id, next),
            Next::Over => self.end(hub, id, false),
            Next::Stale => {}
        }
    }

    pub fn take(&mut self, message: Message) {
        match message {
            Message::Answer {
                back: Who::Client(number),
                got,
            } => {
                if self.clients.insert(number, Some(got)).flatten().is_some() {
                    self.faults.push("a second answer".to_string());
                }
            }
            Message::Answer {
                back:
                    Who::Hub {
                        hub,
                        fetch,
                        attempt,
                    },
                got,
            } => match got {
                true if self.hubs[hub].node.done(fetch, attempt) => self.end(hub, fetch, true),
                true => {}
                false => self.failed(hub, fetch, attempt),
            },
            Message::Ask {
                hub,
                key,
                arrival,
                way,
                past,
                hold_only,
                back,
            } => {
                if way.contains(&hub) {
                    self.faults.push(format!("{hub} twice on {way:?}"));
                }
                if self.hubs[hub].held.contains(&key) || hold_only {
                    let got = self.hubs[hub].held.contains(&key);
                    return self.send(Message::Answer { back, got });
                }
                let until = self.now + 40_000;
                let (turn, lane) = self.hubs[hub].node.want(self.now, key, arrival, 0, until);
                match turn {
                    Turn::Full => self.send(Message::Answer { back, got: false }),
                    Turn::Join(id, wait) => {
                        self.hubs[hub]
                            .fetches
                            .get_mut(&id)
                            .unwrap()
                            .waits
                            .push((wait, back));
                    }
                    Turn::Lead(id, wait) => {
                        let fetch = Fetch {
                            key,
                            lane,
                            way,
                            tried: past,
                            waits: vec![(wait, back)],
                        };
                        self.hubs[hub].fetches.insert(id, fetch);
                        self.seek(hub, id, 0);
                    }
                }
            }
        }
    }

    fn seek(&mut self, hub: usize, id: FetchId, attempt: u32) {
        let now = self.now;
        let state = &mut self.hubs[hub];
        let fetch = state.fetches.get_mut(&id).unwrap();
        let names = |hubs: &[usize]| hubs.iter().map(|h| name(*h)).collect::<Vec<_>>();
        let (passed, tried) = (names(&fetch.way), names(&fetch.tried));
        let passed: Vec<&str> = passed.iter().map(String::as_str).collect();
        let tried: Vec<&str> = tried.iter().map(String::as_str).collect();
        let seeking = Seeking {
            object: fetch.key.object,
            lane: fetch.lane,
            passed: &passed,
            tried: &tried,
        };
        let Ok(choice) = state.node.choose(now, &seeking) else {
            assert!(state.node.done(id, attempt));
            return self.end(hub, id, false);
        };
        let back = Who::Hub {
            hub,
            fetch: id,
            attempt,
        };
        let lost = self.lost > 0 && self.draw(100) < self.lost;
        let fetch = self.hubs[hub].fetches.get_mut(&id).unwrap();
        if choice.archive {
            // The archive may be slow or lose a word too; it is asked again.
            if !lost {
                self.send(Message::Answer { back, got: true });
            }
            return;
        }
        let to: usize = choice.name[1..].parse().unwrap();
        fetch.tried.push(to);
        let (key, past) = (fetch.key, fetch.tried.clone());
        let way = fetch.way.iter().copied().chain([hub]).collect();
        let arrival = Arrival {
            stamp: Some(choice.stamp),
            solo: choice.solo,
        };
        if !lost {
            self.send(Message::Ask {
                hub: to,
                key,
                arrival,
                way,
                past,
                hold_only: choice.hold_only,
                back,
            });
        }
    }

    fn end(&mut self, hub: usize, id: FetchId, got: bool) {
        let fetch = self.hubs[hub].fetches.remove(&id).unwrap();
        if got {
            self.hubs[hub].held.insert(fetch.key);
        }
        for (wait, back) in fetch.waits {
            self.hubs[hub].node.leave(wait);
            self.send(Message::Answer { back, got });
        }
    }
}
