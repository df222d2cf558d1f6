//! Edge proxies and their cache boxes.

use super::events::{Back, Event, Fill, Got};
use super::setup::{hub_of, settings};
use super::state::Open;
use super::*;
use foldmux_hierarchy::in_flight::FillContext;
use rand::SeedableRng;

impl Day<'_> {
    /// Tells an edge's router of its hubs under a tree.
    pub(super) fn wire(&mut self, edge: usize, change: usize) {
        let tree = &self.trees[change];
        let office = tree.find(&format!("office-{edge}")).expect("there");
        let hubs = tree
            .node(office)
            .parents
            .iter()
            .filter_map(|p| hub_of(tree.name(*p)))
            .collect();
        let hub_of = settings(self.s, edge).hub_by_zone;
        self.tell(
            edge,
            foldmux::interface::Event::TopologyChanged {
                parent_zones: hubs,
                hub_by_zone: hub_of,
            },
        );
    }

    pub(super) fn tell(&mut self, edge: usize, event: foldmux::interface::Event) {
        let mut actions = Vec::new();
        self.edges[edge]
            .router
            .handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Fetch(fetch) => {
                    let Some(open) = self.edges[edge].open.get_mut(&fetch.id) else {
                        continue;
                    };
                    let attempt = open.attempts;
                    open.attempts += 1;
                    self.after(
                        self.s.near_ms * 1e3,
                        Event::AtBox {
                            edge,
                            fetch,
                            attempt,
                        },
                    );
                }
                Action::Reject { id, .. } => {
                    self.result.refused += self.edges[edge].open.remove(&id).is_some() as u64;
                }
                Action::Fail { id } => {
                    self.result.failed += self.edges[edge].open.remove(&id).is_some() as u64;
                }
                Action::StartTimer { after, token } => {
                    self.after(after as f64, Event::Timer { edge, token })
                }
                _ => {}
            }
        }
    }

    pub(super) fn arrive(&mut self, edge: usize) {
        if self.now >= self.end {
            return;
        }
        let gap = self.gap.sample(&mut self.rng);
        self.after(gap * SECOND, Event::Arrive { edge });
        self.requests += 1;
        let id = RequestId(self.requests);
        let object = self.zipf.sample(&mut self.rng) as u64;
        let class = (object % 16 > 8) as usize;
        // An object has one size: its own draw.
        let mut own = StdRng::seed_from_u64(object);
        let size_kb = self.size.sample(&mut own).clamp(10.0, 2_000.0);
        let work = size_kb / CLIENT_KB_PER_S * SECOND;
        let (worth, aim) = if class == 0 {
            (2.0, 500_000.0)
        } else {
            (1.0, 250_000.0)
        };
        self.worth.1 += worth;
        let told = self.edges[edge].told.get(&object);
        let bound = told
            .filter(|t| t.0 + 1_000_000 <= self.now)
            .map_or(0, |t| t.1);
        let aim = (aim + 2.0 * work) as Time;
        let open = Open {
            part: (object, 0),
            size_kb,
            asked: self.now,
            aim,
            worth,
            bound,
            attempts: 0,
            hops: 0,
        };
        self.edges[edge].open.insert(id, open);
        let ask = IncomingRequest {
            id,
            class,
            object: ObjectId(object),
            part: 0,
            group: 0,
            size_kb,
            time_budget: DEADLINE,
            placement_ttl: 0,
            required_group: None,
        };
        self.tell(edge, foldmux::interface::Event::Request(ask));
    }

    /// A cache box, a hub or the archive is asked by an edge proxy.
    pub(super) fn at_box(&mut self, edge: usize, fetch: Fetch, attempt: u8) {
        let Some(open) = self.edges[edge].open.get(&fetch.id) else {
            return;
        };
        let (part, size_kb, until) = (open.part, open.size_kb, open.asked + DEADLINE);
        let request = fetch.id;
        let cache = fetch.cache.0 as usize;
        let born_after = if fetch.max_age > 0 {
            self.now.saturating_sub(fetch.max_age)
        } else {
            0
        };
        if cache >= self.s.caches {
            // Straight to a hub or the archive: none of the classes here wants it.
            return self.finish(edge, request, attempt, Got::Refused);
        }
        if let Some(born) = self.boxes[cache].get(part, born_after) {
            return self.finish(edge, request, attempt, Got::Copy { born, hops: 0 });
        }
        let back = Back::Box {
            cache,
            request,
            attempt,
        };
        let (arrival, way, past) = (FillContext::LOCAL, vec![], vec![]);
        let fill = Fill {
            part,
            size_kb,
            arrival,
            way,
            past,
            born_after,
            hold_only: fetch.only_if_cached,
            until,
        };
        let source = fetch.source;
        if source == fetch.cache {
            self.finish(edge, request, attempt, Got::Lacks);
        } else if source == ARCHIVE_ID {
            self.after(self.s.far_ms * 1e3, Event::AtArchive { fill, back });
        } else if source.0 >= HUB_IDS {
            let hub = (source.0 - HUB_IDS) as usize;
            self.after(self.s.hub_ms * 1e3, Event::AtHub { hub, fill, back });
        } else {
            let got = match self.boxes[source.0 as usize].get(part, born_after) {
                Some(born) => Got::Copy { born, hops: 0 },
                None => Got::Lacks,
            };
            self.after(2.0 * self.s.hub_ms * 1e3, Event::Answer { back, got });
        }
    }

    /// A cache box's answer begins to go to the client.
    pub(super) fn finish(&mut self, edge: usize, request: RequestId, attempt: u8, got: Got) {
        let Some(open) = self.edges[edge].open.get(&request) else {
            return;
        };
        let (outcome, born, sends) = match got {
            Got::Copy { born, .. } => (
                Outcome::Served,
                born,
                open.size_kb / CLIENT_KB_PER_S * SECOND + self.s.near_ms * 1e3,
            ),
            Got::Lacks => (Outcome::Miss, 0, self.s.near_ms * 1e3),
            Got::Refused => (Outcome::Overloaded, 0, self.s.near_ms * 1e3),
        };
        let (note, sent) = (CacheStatus::Unknown, open.asked);
        self.after(
            sends,
            Event::Done {
                edge,
                request,
                attempt,
                outcome,
                note,
                born,
                sent,
            },
        );
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn done(
        &mut self,
        edge: usize,
        request: RequestId,
        attempt: u8,
        outcome: Outcome,
        note: CacheStatus,
        born: Time,
        sent: Time,
    ) {
        let Some(open) = self.edges[edge].open.get(&request) else {
            return;
        };
        if outcome == Outcome::Served && born < open.bound {
            self.result.older_than_purge += 1;
        }
        let elapsed = self.now - sent;
        let last = outcome == Outcome::Served;
        if last {
            self.after(0.0, Event::Served { edge, request });
        }
        let report = AttemptReport {
            id: request,
            attempt,
            outcome,
            cache_status: note,
            elapsed,
            last,
        };
        self.tell(edge, foldmux::interface::Event::Outcome(report));
    }
}
