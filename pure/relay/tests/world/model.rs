//! The plain model: what the source told, and what one reader may be told of it.

use foldmux_relay::{Event, First, Item, Place, Slow, Stream};
use foldmux_replicas::Time;
use std::collections::{BTreeMap, BTreeSet};

/// All that the source told in its epoch, and in those before.
#[derive(Default)]
pub struct Log {
    pub epoch: u64,
    told: Vec<(Time, Item)>,
    before: BTreeMap<u64, Vec<(Time, Item)>>,
    count: u64,
}

impl Log {
    pub fn count(&self) -> u64 {
        self.told.len() as u64
    }

    pub fn push(&mut self, now: Time, key: Option<&str>, gone: bool) {
        self.count += 1;
        let (number, bytes) = (self.count() + 1, self.count.to_le_bytes().as_slice().into());
        self.told.push((
            now,
            Item {
                number,
                key: key.map(Into::into),
                gone,
                bytes,
                age: 0,
            },
        ));
    }

    pub fn items(&self, after: u64) -> Vec<Item> {
        self.told[(after.min(self.count())) as usize..]
            .iter()
            .map(|(_, item)| item.clone())
            .collect()
    }

    /// The source starts again at 1.
    pub fn restart(&mut self) {
        self.before
            .insert(self.epoch, std::mem::take(&mut self.told));
        self.epoch += 1;
    }

    fn of(&self, epoch: u64) -> &[(Time, Item)] {
        if epoch == self.epoch {
            &self.told
        } else {
            &self.before[&epoch]
        }
    }

    /// By its bytes, which no other item has.
    fn is(&self, epoch: u64, item: &Item) -> Time {
        let (at, own) = &self.of(epoch)[item.number as usize - 1];
        assert_eq!(
            (&own.bytes, &own.key, own.gone),
            (&item.bytes, &item.key, item.gone),
            "not what was told"
        );
        *at
    }

    fn keyed(&self, place: Place) -> BTreeMap<String, u64> {
        let mut keyed = BTreeMap::new();
        for (_, item) in &self.of(place.epoch)[..place.number as usize] {
            let Some(key) = &item.key else { continue };
            match item.gone {
                true => keyed.remove(&**key),
                false => keyed.insert(key.to_string(), item.number),
            };
        }
        keyed
    }
}

pub struct Model {
    pub own: u64,
    pub ended: bool,
    stream: Stream,
    /// By the source's epochs, whoever counts: the epoch is told apart in its low bits.
    at: Option<(u64, u64)>,
    raw: Option<u64>,
    /// The epoch before was told to be over, or a whole stands for it.
    turned: bool,
    pub losses: u64,
    pub wholes: u64,
    /// Items without a key that came, as (epoch, number).
    pub came: BTreeSet<(u64, u64)>,
    since: (u64, u64),
    /// When each came, after it was told: the longest; and when the last came.
    pub longest: Time,
    pub delays: Vec<Time>,
    pub subscribed: Time,
}

impl Model {
    pub fn new(stream: &Stream, after: u64, log: &Log, now: Time) -> Model {
        Model {
            own: after,
            ended: false,
            stream: stream.clone(),
            at: None,
            raw: None,
            turned: false,
            losses: 0,
            wholes: 0,
            came: BTreeSet::new(),
            since: (log.epoch, log.count()),
            longest: 0,
            delays: Vec::new(),
            subscribed: now,
        }
    }

    /// Where each counts for itself, what the source itself forgot nobody can know of.
    pub fn forget(&mut self, log: &Log) {
        if !self.stream.shared {
            self.since = (log.epoch, 0);
        }
    }

    fn epoch(&self, raw: u64) -> u64 {
        if self.stream.shared {
            raw
        } else {
            raw & 0xf_ffff
        }
    }

    pub fn told(&mut self, now: Time, log: &Log, first: u64, events: Vec<Event>) {
        assert!(!self.ended, "told after its end");
        assert_eq!(first, self.own + 1, "its own numbers");
        for event in events {
            // What was over before it was told anything is none of its.
            if let (
                None,
                Event::Item { epoch, .. }
                | Event::Whole {
                    place: Place { epoch, .. },
                    ..
                },
            ) = (self.at, &event)
            {
                let epoch = self.epoch(*epoch);
                if epoch != self.since.0 {
                    self.since = (epoch, 0);
                }
            }
            self.own += event.span();
            self.one(now, log, event);
        }
    }

    fn came(&mut self, now: Time, log: &Log, epoch: u64, item: &Item) {
        let told = log.is(epoch, item);
        if item.key.is_none() && self.came.insert((epoch, item.number)) && told >= self.subscribed {
            self.longest = self.longest.max(now - told);
            self.delays.push(now - told);
        }
    }

    fn one(&mut self, now: Time, log: &Log, event: Event) {
        match event {
            Event::Item { epoch: raw, item } => {
                let epoch = self.epoch(raw);
                self.came(now, log, epoch, &item);
                match self.at {
                    Some((own, number)) if self.raw == Some(raw) => {
                        assert!(
                            item.number > number,
                            "{} after {number} in epoch {own}",
                            item.number
                        );
                        let passed = &log.of(epoch)[number as usize..item.number as usize - 1];
                        let again = |old: &Item| {
                            log.of(epoch)[old.number as usize..]
                                .iter()
                                .any(|i| i.1.key == old.key)
                        };
                        let conflated = |(_, old): &(Time, Item)| old.key.is_some() && again(old);
                        let latest = self.stream.slow == Slow::Latest;
                        assert!(
                            passed.iter().all(|p| latest && conflated(p)),
                            "a gap untold before {}",
                            item.number
                        );
                    }
                    Some((own, _)) => {
                        assert!(self.turned, "from epoch {own} to {epoch} with nothing told");
                        assert!(!self.stream.shared || epoch > own, "an epoch again");
                        assert_eq!(item.number, 1, "a gap untold at the start of epoch {epoch}");
                    }
                    None => {}
                }
                (self.at, self.raw, self.turned) = (Some((epoch, item.number)), Some(raw), false);
            }
            Event::From { place } => {
                assert!(self.at.is_none(), "begun again");
                if self.stream.first != First::Whole {
                    self.since = (self.epoch(place.epoch), place.number);
                }
                (self.at, self.raw) = (
                    Some((self.epoch(place.epoch), place.number)),
                    Some(place.epoch),
                );
            }
            Event::Lost {
                epoch: raw,
                from,
                to,
            } => {
                self.losses += 1;
                let epoch = self.epoch(raw);
                if let Some((_, number)) = self.at.filter(|_| self.raw == Some(raw)) {
                    assert!(
                        from > number,
                        "{from} to {to:?} lost, and {number} had come"
                    );
                } else if let Some((own, _)) = self.at {
                    assert!(self.turned && (!self.stream.shared || epoch > own) && from == 1);
                }
                match to {
                    Some(to) => {
                        (self.at, self.raw, self.turned) = (Some((epoch, to)), Some(raw), false)
                    }
                    None => self.turned = true,
                }
            }
            Event::Whole {
                place,
                keyed,
                recent,
            } => {
                self.wholes += 1;
                let (raw, epoch) = (place.epoch, self.epoch(place.epoch));
                let told: BTreeMap<String, u64> = keyed
                    .iter()
                    .map(|i| (i.key.as_ref().unwrap().to_string(), i.number))
                    .collect();
                assert_eq!(
                    told,
                    log.keyed(Place {
                        epoch,
                        number: place.number
                    }),
                    "the whole"
                );
                recent
                    .iter()
                    .for_each(|item| self.came(now, log, epoch, item));
                if let (Some(at), true) = (self.at, self.stream.shared) {
                    assert!(at <= (epoch, place.number), "a whole of before");
                    assert!(at.0 == epoch || self.turned, "an epoch's end untold");
                }
                (self.at, self.raw, self.turned) = (Some((epoch, place.number)), Some(raw), false);
            }
        }
    }

    /// At the end, with all healed: it is where the source is, and nothing is missing that was not told.
    pub fn has_all(&self, log: &Log, who: &str) {
        let at = self.at.unwrap_or_else(|| panic!("{who} was told nothing"));
        assert_eq!(at, (log.epoch, log.count()), "{who} is where the source is");
        if self.losses == 0 && (self.stream.first == First::Whole || self.since.0 == log.epoch) {
            let (epoch, after) = self.since;
            let due = |epoch: u64, after: u64| {
                let told = log.of(epoch)[after as usize..].iter();
                told.filter(|(_, item)| item.key.is_none())
                    .map(move |(_, item)| (epoch, item.number))
            };
            let missing: Vec<_> = due(epoch, after)
                .filter(|item| !self.came.contains(item))
                .collect();
            assert!(missing.is_empty(), "{who} never heard of {missing:?}");
        }
    }
}
