//! The handling of fills at a node: following or leading a fetch, retries, and responses.

use crate::net::{name, Fetch, Message, Network, ReplyTo};
use foldmux_hierarchy::in_flight::{Admission, AfterFailure, FetchId, FillContext};
use foldmux_hierarchy::node::SourceRequest;

impl Network {
    pub fn attempt_failed(&mut self, hub: usize, id: FetchId, attempt: u32) {
        match self.hubs[hub].node.fail(self.now, id, attempt) {
            AfterFailure::Retry(next) => self.start_attempt(hub, id, next),
            AfterFailure::GiveUp => self.finish_fetch(hub, id, false),
            AfterFailure::Stale => {}
        }
    }

    pub fn deliver(&mut self, message: Message) {
        match message {
            Message::Response {
                reply_to: ReplyTo::Client(number),
                success,
            } => {
                if self
                    .clients
                    .insert(number, Some(success))
                    .flatten()
                    .is_some()
                {
                    self.violations
                        .push("a client got a second response".to_string());
                }
            }
            Message::Response {
                reply_to:
                    ReplyTo::Hub {
                        hub,
                        fetch,
                        attempt,
                    },
                success,
            } => match success {
                true if self.hubs[hub].node.complete(fetch, attempt) => {
                    self.finish_fetch(hub, fetch, true)
                }
                true => {}
                false => self.attempt_failed(hub, fetch, attempt),
            },
            Message::Request {
                hub,
                key,
                context,
                path,
                tried,
                only_if_cached,
                reply_to,
            } => {
                if path.contains(&hub) {
                    self.violations
                        .push(format!("hub {hub} is twice on the path {path:?}"));
                }
                if self.hubs[hub].cached.contains(&key) || only_if_cached {
                    let success = self.hubs[hub].cached.contains(&key);
                    return self.send(Message::Response { reply_to, success });
                }
                let deadline = self.now + 40_000;
                let (admission, scope) = self.hubs[hub]
                    .node
                    .request(self.now, key, context, 0, deadline);
                match admission {
                    Admission::Rejected => self.send(Message::Response {
                        reply_to,
                        success: false,
                    }),
                    Admission::Follow(id, waiter) => {
                        self.hubs[hub]
                            .fetches
                            .get_mut(&id)
                            .unwrap()
                            .waiters
                            .push((waiter, reply_to));
                    }
                    Admission::Lead(id, waiter) => {
                        let fetch = Fetch {
                            key,
                            scope,
                            path,
                            tried,
                            waiters: vec![(waiter, reply_to)],
                        };
                        self.hubs[hub].fetches.insert(id, fetch);
                        self.start_attempt(hub, id, 0);
                    }
                }
            }
        }
    }

    fn start_attempt(&mut self, hub: usize, id: FetchId, attempt: u32) {
        let now = self.now;
        let state = &mut self.hubs[hub];
        let fetch = state.fetches.get_mut(&id).unwrap();
        let names = |hubs: &[usize]| hubs.iter().map(|h| name(*h)).collect::<Vec<_>>();
        let (passed, tried) = (names(&fetch.path), names(&fetch.tried));
        let passed: Vec<&str> = passed.iter().map(String::as_str).collect();
        let tried: Vec<&str> = tried.iter().map(String::as_str).collect();
        let source_request = SourceRequest {
            object: fetch.key.object,
            scope: fetch.scope,
            passed: &passed,
            tried: &tried,
        };
        let Ok(choice) = state.node.select_source(now, &source_request) else {
            assert!(state.node.complete(id, attempt));
            return self.finish_fetch(hub, id, false);
        };
        let reply_to = ReplyTo::Hub {
            hub,
            fetch: id,
            attempt,
        };
        let message_lost = self.loss_percent > 0 && self.random_below(100) < self.loss_percent;
        let fetch = self.hubs[hub].fetches.get_mut(&id).unwrap();
        if choice.archive {
            // The archive's response may be lost too; then the attempt fails by its lease.
            if !message_lost {
                self.send(Message::Response {
                    reply_to,
                    success: true,
                });
            }
            return;
        }
        let to: usize = choice.name[1..].parse().unwrap();
        fetch.tried.push(to);
        let (key, tried) = (fetch.key, fetch.tried.clone());
        let path = fetch.path.iter().copied().chain([hub]).collect();
        let context = FillContext {
            version: Some(choice.version),
            uncollapsed: choice.uncollapsed,
        };
        if !message_lost {
            self.send(Message::Request {
                hub: to,
                key,
                context,
                path,
                tried,
                only_if_cached: choice.only_if_cached,
                reply_to,
            });
        }
    }

    fn finish_fetch(&mut self, hub: usize, id: FetchId, success: bool) {
        let fetch = self.hubs[hub].fetches.remove(&id).unwrap();
        if success {
            self.hubs[hub].cached.insert(fetch.key);
        }
        for (waiter, reply_to) in fetch.waiters {
            self.hubs[hub].node.leave(waiter);
            self.send(Message::Response { reply_to, success });
        }
    }
}
