//! How one stream goes through a process: what is wanted from the readers outwards to the source, and what came from the
//! source inwards to the readers.

use crate::part::{Level, Relay};
use crate::readers::Run;
use crate::types::{Ended, Event, Told};
use foldmux_replicas::{Peer, Time};

impl Relay {
    pub(crate) fn tick_flow(&mut self, now: Time, f: usize) {
        let flow = &mut self.flows[f];
        for l in 0..flow.levels.len() {
            let ready = match l {
                0 => flow.source.fresh(),
                l => flow.levels[l - 1].follower.fed(),
            };
            let Level { follower, role, .. } = &mut flow.levels[l];
            follower.tick(now, &mut self.shared);
            role.tick(now, ready, &mut self.shared);
        }
        self.settle(now, f);
    }

    /// Wants go outwards, then news inwards.
    pub(crate) fn settle(&mut self, now: Time, f: usize) {
        let flow = &mut self.flows[f];
        let mut wanted = !flow.readers.is_empty();
        for level in flow.levels.iter_mut().rev() {
            level.follower.want(now, wanted, &mut self.shared);
            wanted = level.role.open();
        }
        let wanted = wanted || flow.levels.iter().any(|level| level.follower.direct());
        if flow.source.want(wanted) {
            self.shared.tell(Told::Source {
                stream: flow.stream.name.clone(),
                open: wanted,
            });
        }
        for l in 0..flow.levels.len() {
            let (outer, inner) = flow.levels.split_at_mut(l);
            let Level { follower, role, .. } = &mut inner[0];
            follower.read_source(now, &flow.source);
            let (ring, ready) = match outer.last() {
                None => (&flow.source.ring, flow.source.fresh()),
                Some(outer) => (&outer.follower.ring, outer.follower.fed()),
            };
            if ready && role.pumped != ring.place() {
                role.pump(now, ring, None, &mut self.shared);
            }
        }
        let Some(leaf) = flow.levels.last() else {
            return;
        };
        let ring = &leaf.follower.ring;
        if flow.pumped == ring.place() {
            return;
        }
        flow.pumped = ring.place();
        let shared = &mut self.shared;
        let tell = |reader: &u64, run: Run| shared.tell(news(*reader, run));
        for reader in flow.readers.pump(now, ring, flow.stream.slow, tell) {
            self.end(reader);
        }
    }

    fn end(&mut self, reader: u64) {
        self.by_reader.remove(&reader);
        self.shared.tell(Told::Ended {
            reader,
            why: Ended::TooSlow,
        });
    }

    pub(crate) fn pump_reader(&mut self, now: Time, f: usize, reader: u64) {
        let flow = &mut self.flows[f];
        let Some(leaf) = flow.levels.last() else {
            return;
        };
        let shared = &mut self.shared;
        let mut tell = |reader: &u64, run: Run| shared.tell(news(*reader, run));
        if flow.readers.pump_one(
            now,
            &reader,
            &leaf.follower.ring,
            flow.stream.slow,
            &mut tell,
        ) {
            self.end(reader);
        }
    }

    pub(crate) fn pump_one(&mut self, now: Time, f: usize, l: usize, peer: &Peer) {
        let flow = &mut self.flows[f];
        let (outer, inner) = flow.levels.split_at_mut(l);
        let (ring, ready) = match outer.last() {
            None => (&flow.source.ring, flow.source.fresh()),
            Some(outer) => (&outer.follower.ring, outer.follower.fed()),
        };
        if ready {
            inner[0].role.pump(now, ring, Some(peer), &mut self.shared);
        }
    }
}

fn news(reader: u64, run: Run) -> Told {
    let (first, events): (u64, Vec<Event>) = (run.first, run.events);
    Told::News {
        reader,
        first,
        events,
    }
}
