//! Hubs and the archive.

use super::events::{Back, Event, Fill, Got};
use super::setup::{hub_name, hub_of};
use super::state::Flight;
use super::*;
use foldmux_hierarchy::in_flight::{Admission, AfterFailure, FetchId, FetchKey, FillContext};
use foldmux_hierarchy::node::SourceRequest;

impl Day<'_> {
    pub(super) fn at_hub(&mut self, hub: usize, fill: Fill, back: Back) {
        if fill.way.contains(&hub) {
            self.result.node_visited_twice += 1;
        }
        let now = self.now;
        let state = &mut self.hubs[hub];
        if let Some(born) = state.store.get(fill.part, fill.born_after) {
            return self.give(hub, &fill, back, Got::Copy { born, hops: 1 });
        }
        if fill.hold_only {
            return self.give(hub, &fill, back, Got::Lacks);
        }
        let key = FetchKey {
            class: 0,
            object: fill.part.0,
            part: fill.part.1,
        };
        let (turn, lane) = state
            .node
            .request(now, key, fill.arrival, fill.born_after, fill.until);
        match turn {
            Admission::Rejected => self.give(hub, &fill, back, Got::Refused),
            Admission::Follow(id, wait) => {
                state
                    .fetches
                    .get_mut(&id)
                    .expect("under way")
                    .waits
                    .push((wait, back));
            }
            Admission::Lead(id, wait) => {
                let tried = fill.past.clone();
                state.fetches.insert(
                    id,
                    Flight {
                        fill,
                        lane,
                        tried,
                        waits: vec![(wait, back)],
                    },
                );
                let open = self.hubs.iter().map(|h| h.fetches.len()).sum();
                self.result.most_open_fetches = self.result.most_open_fetches.max(open);
                self.seek(hub, id, 0);
            }
        }
    }

    /// Sends a fetch's next try.
    pub(super) fn seek(&mut self, hub: usize, id: FetchId, attempt: u32) {
        let now = self.now;
        let state = &mut self.hubs[hub];
        let Some(flight) = state.fetches.get_mut(&id) else {
            return;
        };
        let back = Back::Hub {
            hub,
            fetch: id,
            attempt,
        };
        let mut fill = flight.fill.clone();
        fill.way.push(hub);
        if !self.s.shield {
            return self.after(self.s.far_ms * 1e3, Event::AtArchive { fill, back });
        }
        let names = |hubs: &[usize]| hubs.iter().map(|h| hub_name(*h)).collect::<Vec<_>>();
        let (passed, tried) = (names(&flight.fill.way), names(&flight.tried));
        let passed: Vec<&str> = passed.iter().map(String::as_str).collect();
        let tried: Vec<&str> = tried.iter().map(String::as_str).collect();
        let seeking = SourceRequest {
            object: fill.part.0,
            scope: flight.lane,
            passed: &passed,
            tried: &tried,
        };
        let choice = match state.node.select_source(now, &seeking) {
            Ok(choice) => choice,
            Err(_) => return self.end(hub, id, attempt, Got::Refused),
        };
        self.result.loops_broken += choice.loop_avoided as u64;
        fill.arrival = FillContext {
            version: Some(choice.version),
            uncollapsed: choice.uncollapsed,
        };
        fill.past = flight.tried.clone();
        fill.hold_only = choice.only_if_cached;
        match hub_of(&choice.name) {
            Some(next) => {
                flight.tried.push(next);
                self.after(
                    self.s.far_ms * 1e3,
                    Event::AtHub {
                        hub: next,
                        fill,
                        back,
                    },
                );
            }
            None => self.after(self.s.far_ms * 1e3, Event::AtArchive { fill, back }),
        }
    }

    pub(super) fn at_archive(&mut self, fill: Fill, back: Back) {
        let version = self.versions.get(&fill.part.0).copied().unwrap_or(0);
        self.result.archive_fetches += 1;
        self.fetched.insert((fill.part, version));
        let each = SECOND / self.s.archive_fills_per_s;
        self.archive_free = self.archive_free.max(self.now) + each as Time;
        let waits = (self.archive_free - self.now) as f64;
        let sends = fill.size_kb / (CLIENT_KB_PER_S * FILL_PACE) * SECOND;
        let took = waits + self.s.archive_ms * 1e3 + sends + self.s.far_ms * 1e3;
        // It is born when it leaves.
        let born = self.now + (waits + self.s.archive_ms * 1e3) as Time;
        self.after(
            took,
            Event::Answer {
                back,
                got: Got::Copy { born, hops: 0 },
            },
        );
    }

    /// A hub's answer goes out over its link.
    pub(super) fn give(&mut self, hub: usize, fill: &Fill, back: Back, got: Got) {
        let way = match back {
            Back::Box { .. } => self.s.hub_ms,
            Back::Hub { .. } => self.s.far_ms,
        };
        let mut took = way * 1e3;
        if matches!(got, Got::Copy { .. }) {
            let state = &mut self.hubs[hub];
            let link = fill.size_kb / self.s.hub_kb_per_s * SECOND;
            state.link_free = state.link_free.max(self.now) + link as Time;
            let pace = fill.size_kb / (CLIENT_KB_PER_S * FILL_PACE) * SECOND;
            took += ((state.link_free - self.now) as f64).max(pace);
        }
        self.after(took, Event::Answer { back, got });
    }

    pub(super) fn answered(&mut self, back: Back, got: Got) {
        match back {
            Back::Box {
                cache,
                request,
                attempt,
            } => {
                let edge = cache % self.s.edges;
                if let Got::Copy { born, hops } = got {
                    if let Some(open) = self.edges[edge].open.get_mut(&request) {
                        open.hops = hops;
                        let part = open.part;
                        self.boxes[cache].put(part, born);
                        self.hops = (self.hops.0 + hops as u64, self.hops.1 + 1);
                    }
                }
                self.finish(edge, request, attempt, got);
            }
            Back::Hub {
                hub,
                fetch,
                attempt,
            } => {
                let Some(flight) = self.hubs[hub].fetches.get(&fetch) else {
                    return;
                };
                match got {
                    Got::Copy { born, .. } if born >= flight.fill.born_after => {
                        self.end(hub, fetch, attempt, got)
                    }
                    _ => match self.hubs[hub].node.fail(self.now, fetch, attempt) {
                        AfterFailure::Retry(next) => self.seek(hub, fetch, next),
                        AfterFailure::GiveUp => self.end_all(hub, fetch, Got::Refused),
                        AfterFailure::Stale => {}
                    },
                }
            }
        }
    }

    pub(super) fn end(&mut self, hub: usize, id: FetchId, attempt: u32, got: Got) {
        if self.hubs[hub].node.complete(id, attempt) {
            self.end_all(hub, id, got);
        }
    }

    pub(super) fn end_all(&mut self, hub: usize, id: FetchId, got: Got) {
        let state = &mut self.hubs[hub];
        let Some(flight) = state.fetches.remove(&id) else {
            return;
        };
        let mut told = got;
        if let Got::Copy { born, hops } = got {
            state.store.put(flight.fill.part, born);
            told = Got::Copy {
                born,
                hops: hops + 1,
            };
        }
        for (wait, back) in flight.waits {
            self.hubs[hub].node.leave(wait);
            self.give(hub, &flight.fill, back, told);
        }
    }
}
