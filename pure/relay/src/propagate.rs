//! The propagation of a stream through a process: demand from the readers outward to the source, and events
//! from the source inward to the readers.

use crate::readers::Batch;
use crate::relay::{Level, Relay};
use crate::types::{EndReason, Event, Notification};
use foldmux_replicas::{Peer, Time};

impl Relay {
    pub(crate) fn tick_stream(&mut self, now: Time, s: usize) {
        let stream = &mut self.streams[s];
        for l in 0..stream.levels.len() {
            let upstream_ready = match l {
                0 => stream.source.is_fresh(),
                l => stream.levels[l - 1].follower.is_fed(),
            };
            let Level {
                follower, relay, ..
            } = &mut stream.levels[l];
            follower.tick(now, &mut self.ctx);
            relay.tick(now, upstream_ready, &mut self.ctx);
        }
        self.propagate(now, s);
    }

    /// Propagates demand outward, then events inward.
    pub(crate) fn propagate(&mut self, now: Time, s: usize) {
        let stream = &mut self.streams[s];
        let mut wanted = !stream.readers.is_empty();
        for level in stream.levels.iter_mut().rev() {
            level.follower.set_wanted(now, wanted, &mut self.ctx);
            wanted = level.relay.is_open();
        }
        let wanted = wanted || stream.levels.iter().any(|level| level.follower.is_direct());
        if stream.source.set_open(wanted) {
            self.ctx.emit(Notification::ReadSource {
                stream: stream.config.name.clone(),
                open: wanted,
            });
        }
        for l in 0..stream.levels.len() {
            let (outer, inner) = stream.levels.split_at_mut(l);
            let Level {
                follower, relay, ..
            } = &mut inner[0];
            follower.read_source(now, &stream.source);
            let (ring, upstream_ready) = match outer.last() {
                None => (&stream.source.ring, stream.source.is_fresh()),
                Some(outer) => (&outer.follower.ring, outer.follower.is_fed()),
            };
            if upstream_ready && relay.sent_position != ring.position() {
                relay.send_events(now, ring, None, &mut self.ctx);
            }
        }
        let Some(leaf) = stream.levels.last() else {
            return;
        };
        let ring = &leaf.follower.ring;
        if stream.sent_position == ring.position() {
            return;
        }
        stream.sent_position = ring.position();
        let ctx = &mut self.ctx;
        let notify = |reader: &u64, batch: Batch| ctx.emit(events_notification(*reader, batch));
        for reader in stream
            .readers
            .send_to_all(now, ring, stream.config.slow_readers, notify)
        {
            self.end_reader(reader);
        }
    }

    fn end_reader(&mut self, reader: u64) {
        self.reader_streams.remove(&reader);
        self.ctx.emit(Notification::Ended {
            reader,
            reason: EndReason::TooSlow,
        });
    }

    pub(crate) fn send_to_reader(&mut self, now: Time, s: usize, reader: u64) {
        let stream = &mut self.streams[s];
        let Some(leaf) = stream.levels.last() else {
            return;
        };
        let ctx = &mut self.ctx;
        let mut notify = |reader: &u64, batch: Batch| ctx.emit(events_notification(*reader, batch));
        if stream.readers.send_to(
            now,
            &reader,
            &leaf.follower.ring,
            stream.config.slow_readers,
            &mut notify,
        ) {
            self.end_reader(reader);
        }
    }

    pub(crate) fn send_to_follower(&mut self, now: Time, s: usize, l: usize, peer: &Peer) {
        let stream = &mut self.streams[s];
        let (outer, inner) = stream.levels.split_at_mut(l);
        let (ring, upstream_ready) = match outer.last() {
            None => (&stream.source.ring, stream.source.is_fresh()),
            Some(outer) => (&outer.follower.ring, outer.follower.is_fed()),
        };
        if upstream_ready {
            inner[0]
                .relay
                .send_events(now, ring, Some(peer), &mut self.ctx);
        }
    }
}

fn events_notification(reader: u64, batch: Batch) -> Notification {
    let (first, events): (u64, Vec<Event>) = (batch.first, batch.events);
    Notification::Events {
        reader,
        first,
        events,
    }
}
