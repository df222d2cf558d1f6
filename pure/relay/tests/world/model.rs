//! The reference model: what the source published, and which events a reader may receive for it.

use foldmux_relay::{Event, Item, Position, SlowReaderPolicy, StartPosition, StreamConfig};
use foldmux_replicas::Time;
use std::collections::{BTreeMap, BTreeSet};

/// All items that the source published, in the current epoch and in earlier ones.
#[derive(Default)]
pub struct SourceLog {
    pub epoch: u64,
    published: Vec<(Time, Item)>,
    earlier_epochs: BTreeMap<u64, Vec<(Time, Item)>>,
    total: u64,
}

impl SourceLog {
    pub fn count(&self) -> u64 {
        self.published.len() as u64
    }

    pub fn push(&mut self, now: Time, key: Option<&str>, deleted: bool) {
        self.total += 1;
        let (number, bytes) = (self.count() + 1, self.total.to_le_bytes().as_slice().into());
        self.published.push((
            now,
            Item {
                number,
                key: key.map(Into::into),
                deleted,
                bytes,
                age: 0,
            },
        ));
    }

    pub fn items(&self, after: u64) -> Vec<Item> {
        self.published[(after.min(self.count())) as usize..]
            .iter()
            .map(|(_, item)| item.clone())
            .collect()
    }

    /// Starts a new epoch: the source numbers its items from 1 again.
    pub fn restart(&mut self) {
        self.earlier_epochs
            .insert(self.epoch, std::mem::take(&mut self.published));
        self.epoch += 1;
    }

    fn epoch_items(&self, epoch: u64) -> &[(Time, Item)] {
        if epoch == self.epoch {
            &self.published
        } else {
            &self.earlier_epochs[&epoch]
        }
    }

    /// Checks that an item is the published one; each has unique bytes. Returns when it was published.
    fn check_item(&self, epoch: u64, item: &Item) -> Time {
        let (at, own) = &self.epoch_items(epoch)[item.number as usize - 1];
        assert_eq!(
            (&own.bytes, &own.key, own.deleted),
            (&item.bytes, &item.key, item.deleted),
            "not the published item"
        );
        *at
    }

    fn keyed(&self, position: Position) -> BTreeMap<String, u64> {
        let mut keyed = BTreeMap::new();
        for (_, item) in &self.epoch_items(position.epoch)[..position.number as usize] {
            let Some(key) = &item.key else { continue };
            match item.deleted {
                true => keyed.remove(&**key),
                false => keyed.insert(key.to_string(), item.number),
            };
        }
        keyed
    }
}

pub struct ReaderModel {
    pub last_number: u64,
    pub ended: bool,
    stream: StreamConfig,
    /// The position by the source's own epochs, whichever process numbered the items: the source's epoch is
    /// in the low bits of a process's.
    position: Option<(u64, u64)>,
    raw_epoch: Option<u64>,
    /// Whether the reader was told that the previous epoch is over, or got a snapshot in its place.
    epoch_ended: bool,
    pub gaps: u64,
    pub snapshots: u64,
    /// The items without a key that the reader received, as (epoch, number).
    pub received: BTreeSet<(u64, u64)>,
    due_from: (u64, u64),
    /// The longest time from publication to receipt.
    pub max_delay: Time,
    pub delays: Vec<Time>,
    pub subscribed_at: Time,
}

impl ReaderModel {
    pub fn new(stream: &StreamConfig, after: u64, log: &SourceLog, now: Time) -> ReaderModel {
        ReaderModel {
            last_number: after,
            ended: false,
            stream: stream.clone(),
            position: None,
            raw_epoch: None,
            epoch_ended: false,
            gaps: 0,
            snapshots: 0,
            received: BTreeSet::new(),
            due_from: (log.epoch, log.count()),
            max_delay: 0,
            delays: Vec::new(),
            subscribed_at: now,
        }
    }

    /// Where each process numbers the items by itself, nobody can know of items that the source itself lost
    /// in a restart.
    pub fn exempt_lost_items(&mut self, log: &SourceLog) {
        if !self.stream.shared_numbering {
            self.due_from = (log.epoch, 0);
        }
    }

    fn epoch(&self, raw: u64) -> u64 {
        if self.stream.shared_numbering {
            raw
        } else {
            raw & 0xf_ffff
        }
    }

    pub fn on_events(&mut self, now: Time, log: &SourceLog, first: u64, events: Vec<Event>) {
        assert!(!self.ended, "events after the subscription ended");
        assert_eq!(
            first,
            self.last_number + 1,
            "the reader's own numbers are consecutive"
        );
        for event in events {
            // The reader has no claim to epochs that ended before its first event.
            if let (
                None,
                Event::Item { epoch, .. }
                | Event::Snapshot {
                    position: Position { epoch, .. },
                    ..
                },
            ) = (self.position, &event)
            {
                let epoch = self.epoch(*epoch);
                if epoch != self.due_from.0 {
                    self.due_from = (epoch, 0);
                }
            }
            self.last_number += event.span();
            self.on_event(now, log, event);
        }
    }

    fn on_item(&mut self, now: Time, log: &SourceLog, epoch: u64, item: &Item) {
        let published_at = log.check_item(epoch, item);
        if item.key.is_none()
            && self.received.insert((epoch, item.number))
            && published_at >= self.subscribed_at
        {
            self.max_delay = self.max_delay.max(now - published_at);
            self.delays.push(now - published_at);
        }
    }

    fn on_event(&mut self, now: Time, log: &SourceLog, event: Event) {
        match event {
            Event::Item { epoch: raw, item } => {
                let epoch = self.epoch(raw);
                self.on_item(now, log, epoch, &item);
                match self.position {
                    Some((own, number)) if self.raw_epoch == Some(raw) => {
                        assert!(
                            item.number > number,
                            "{} after {number} in epoch {own}",
                            item.number
                        );
                        let skipped =
                            &log.epoch_items(epoch)[number as usize..item.number as usize - 1];
                        let replaced = |old: &Item| {
                            log.epoch_items(epoch)[old.number as usize..]
                                .iter()
                                .any(|i| i.1.key == old.key)
                        };
                        let conflated =
                            |(_, old): &(Time, Item)| old.key.is_some() && replaced(old);
                        let conflates = self.stream.slow_readers == SlowReaderPolicy::Conflate;
                        assert!(
                            skipped.iter().all(|p| conflates && conflated(p)),
                            "unreported gap before {}",
                            item.number
                        );
                    }
                    Some((own, _)) => {
                        assert!(
                            self.epoch_ended,
                            "unreported change from epoch {own} to {epoch}"
                        );
                        assert!(
                            !self.stream.shared_numbering || epoch > own,
                            "epochs do not increase"
                        );
                        assert_eq!(
                            item.number, 1,
                            "unreported gap at the start of epoch {epoch}"
                        );
                    }
                    None => {}
                }
                (self.position, self.raw_epoch, self.epoch_ended) =
                    (Some((epoch, item.number)), Some(raw), false);
            }
            Event::Start { position } => {
                assert!(self.position.is_none(), "a second start event");
                if self.stream.start != StartPosition::Snapshot {
                    self.due_from = (self.epoch(position.epoch), position.number);
                }
                (self.position, self.raw_epoch) = (
                    Some((self.epoch(position.epoch), position.number)),
                    Some(position.epoch),
                );
            }
            Event::Gap { epoch, from, to } => self.on_gap(epoch, from, to),
            Event::Snapshot {
                position,
                keyed,
                recent,
            } => self.on_snapshot(now, log, position, &keyed, &recent),
        }
    }

    fn on_gap(&mut self, raw: u64, from: u64, to: Option<u64>) {
        self.gaps += 1;
        let epoch = self.epoch(raw);
        if let Some((_, number)) = self.position.filter(|_| self.raw_epoch == Some(raw)) {
            assert!(
                from > number,
                "gap from {from} to {to:?} after item {number} was received"
            );
        } else if let Some((own, _)) = self.position {
            assert!(
                self.epoch_ended && (!self.stream.shared_numbering || epoch > own) && from == 1
            );
        }
        match to {
            Some(to) => {
                (self.position, self.raw_epoch, self.epoch_ended) =
                    (Some((epoch, to)), Some(raw), false)
            }
            None => self.epoch_ended = true,
        }
    }

    fn on_snapshot(
        &mut self,
        now: Time,
        log: &SourceLog,
        position: Position,
        keyed: &[Item],
        recent: &[Item],
    ) {
        self.snapshots += 1;
        let (raw, epoch) = (position.epoch, self.epoch(position.epoch));
        let received: BTreeMap<String, u64> = keyed
            .iter()
            .map(|i| (i.key.as_ref().unwrap().to_string(), i.number))
            .collect();
        assert_eq!(
            received,
            log.keyed(Position {
                epoch,
                number: position.number
            }),
            "the items of the snapshot"
        );
        recent
            .iter()
            .for_each(|item| self.on_item(now, log, epoch, item));
        if let (Some(at), true) = (self.position, self.stream.shared_numbering) {
            assert!(
                at <= (epoch, position.number),
                "a snapshot older than the reader's position"
            );
            assert!(
                at.0 == epoch || self.epoch_ended,
                "unreported end of an epoch"
            );
        }
        (self.position, self.raw_epoch, self.epoch_ended) =
            (Some((epoch, position.number)), Some(raw), false);
    }

    /// Checks at the end, with all faults healed: the reader is where the source is, and received everything
    /// without a reported gap.
    pub fn assert_complete(&self, log: &SourceLog, who: &str) {
        let at = self
            .position
            .unwrap_or_else(|| panic!("{who} received no events"));
        assert_eq!(
            at,
            (log.epoch, log.count()),
            "{who} is at the source's position"
        );
        if self.gaps == 0
            && (self.stream.start == StartPosition::Snapshot || self.due_from.0 == log.epoch)
        {
            let (epoch, after) = self.due_from;
            let due = |epoch: u64, after: u64| {
                let published = log.epoch_items(epoch)[after as usize..].iter();
                published
                    .filter(|(_, item)| item.key.is_none())
                    .map(move |(_, item)| (epoch, item.number))
            };
            let missing: Vec<_> = due(epoch, after)
                .filter(|item| !self.received.contains(item))
                .collect();
            assert!(missing.is_empty(), "{who} did not receive {missing:?}");
        }
    }
}
