//! What each event does.

use super::events::{Event, Who};
use super::*;
use rand::RngExt;

impl Day<'_> {
    /// Takes one event.
    pub(super) fn step(&mut self, event: Event) {
        match event {
            Event::Arrive { edge } => self.arrive(edge),
            Event::Timer { edge, token } => {
                if self.now <= self.end + DEADLINE {
                    self.tell(edge, foldmux::interface::Event::Timer { token });
                }
            }
            Event::AtBox {
                edge,
                fetch,
                attempt,
            } => self.at_box(edge, fetch, attempt),
            Event::AtHub { hub, fill, back } => self.at_hub(hub, fill, back),
            Event::AtArchive { fill, back } => self.at_archive(fill, back),
            Event::Answer { back, got } => self.answered(back, got),
            Event::Done {
                edge,
                request,
                attempt,
                outcome,
                note,
                born,
                sent,
            } => {
                self.done(edge, request, attempt, outcome, note, born, sent);
            }
            Event::Served { edge, request } => self.served(edge, request),
            Event::Purge => self.purge(),
            Event::Purged { edge, object, at } => {
                self.edges[edge].told.insert(object, (self.now, at));
                let (object, ago) = (Some(ObjectId(object)), self.now - at);
                self.tell(
                    edge,
                    foldmux::interface::Event::Purged {
                        object,
                        group: 0,
                        age: ago,
                    },
                );
            }
            Event::Drop { cache, object, at } => self.drop_copies(cache, object, at),
            Event::Rewire { change } => self.rewire(change),
            Event::Told {
                node: Who::Hub(hub),
                change,
            } => {
                let tree = self.trees[change].clone();
                let _ = self.hubs[hub]
                    .node
                    .apply_tree(self.now, tree, HashMap::new());
            }
            Event::Told {
                node: Who::Edge(edge),
                change,
            } => {
                if self.s.shield {
                    self.wire(edge, change);
                }
            }
        }
    }

    /// A client has its whole answer.
    fn served(&mut self, edge: usize, request: RequestId) {
        let Some(open) = self.edges[edge].open.remove(&request) else {
            return;
        };
        self.result.served += 1;
        let took = self.now - open.asked;
        self.worth.0 += if took <= open.aim {
            open.worth
        } else {
            open.worth * 0.1
        };
        let _ = self.latency.record(took.max(1));
    }

    /// Purges one object: edges hear of it, caches and hubs drop their copies, each in its own time.
    fn purge(&mut self) {
        let object = self.zipf.sample(&mut self.rng) as u64;
        *self.versions.entry(object).or_default() += 1;
        for edge in 0..self.s.edges {
            let lag = self.rng.random_range(30_000.0..400_000.0);
            self.after(
                lag,
                Event::Purged {
                    edge,
                    object,
                    at: self.now,
                },
            );
        }
        // Boxes and hubs drop their older copies by themselves, each in its own time.
        for cache in 0..self.s.caches + self.s.hubs {
            let lag = self.rng.random_range(30_000.0..6_000_000.0);
            self.after(
                lag,
                Event::Drop {
                    cache,
                    object,
                    at: self.now,
                },
            );
        }
        if self.now < self.end {
            self.after(SECOND / self.s.purges_per_s, Event::Purge);
        }
    }

    /// A cache or hub drops the copies that are older than a purge.
    fn drop_copies(&mut self, cache: usize, object: u64, at: Time) {
        let store = match cache.checked_sub(self.s.caches) {
            Some(hub) => &mut self.hubs[hub].store,
            None => &mut self.boxes[cache],
        };
        // What was fetched since the purge is as good as any.
        if store.copies.get(&(object, 0)).is_some_and(|c| c.0 < at) {
            store.drop_object(object, 1);
        }
    }

    /// Each hub and edge hears of a new tree after a lag of its own.
    fn rewire(&mut self, change: usize) {
        for node in (0..self.s.hubs)
            .map(Who::Hub)
            .chain((0..self.s.edges).map(Who::Edge))
        {
            let lag = self.rng.random_range(0.0..self.s.news_lag_ms.max(0.001)) * 1e3;
            self.after(lag, Event::Told { node, change });
        }
    }
}
