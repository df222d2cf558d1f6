//! What a node does with a fill: it joins, fetches, tries again and answers.

use crate::net::{name, Fetch, Message, Net, Who};
use foldmux_hierarchy::in_flight::{Admission, AfterFailure, FetchId, FillContext};
use foldmux_hierarchy::node::SourceRequest;

impl Net {
    pub fn failed(&mut self, hub: usize, id: FetchId, attempt: u32) {
        match self.hubs[hub].node.fail(self.now, id, attempt) {
            AfterFailure::Retry(next) => self.seek(hub, id, next),
            AfterFailure::GiveUp => self.end(hub, id, false),
            AfterFailure::Stale => {}
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
                true if self.hubs[hub].node.complete(fetch, attempt) => self.end(hub, fetch, true),
                true => {}
                false => self.failed(hub, fetch, attempt),
            },
            Message::Ask {
                hub,
                key,
                origin,
                way,
                past,
                only_if_cached,
                back,
            } => {
                if way.contains(&hub) {
                    self.faults.push(format!("{hub} twice on {way:?}"));
                }
                if self.hubs[hub].held.contains(&key) || only_if_cached {
                    let got = self.hubs[hub].held.contains(&key);
                    return self.send(Message::Answer { back, got });
                }
                let until = self.now + 40_000;
                let (turn, scope) = self.hubs[hub].node.request(self.now, key, origin, 0, until);
                match turn {
                    Admission::Rejected => self.send(Message::Answer { back, got: false }),
                    Admission::Follow(id, wait) => {
                        self.hubs[hub]
                            .fetches
                            .get_mut(&id)
                            .unwrap()
                            .waits
                            .push((wait, back));
                    }
                    Admission::Lead(id, wait) => {
                        let fetch = Fetch {
                            key,
                            scope,
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
        let seeking = SourceRequest {
            object: fetch.key.object,
            scope: fetch.scope,
            passed: &passed,
            tried: &tried,
        };
        let Ok(choice) = state.node.select_source(now, &seeking) else {
            assert!(state.node.complete(id, attempt));
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
        let origin = FillContext {
            version: Some(choice.version),
            uncollapsed: choice.uncollapsed,
        };
        if !lost {
            self.send(Message::Ask {
                hub: to,
                key,
                origin,
                way,
                past,
                only_if_cached: choice.only_if_cached,
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
