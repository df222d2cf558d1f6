//! What a ring holds for a reader, by the reader's place alone: what follows, a gap told, or the whole.

use crate::planted::{planted, Fault};
use crate::ring::{Kept, Ring};
use crate::types::{Event, First, Item, Place};
use foldmux_replicas::Time;

impl Ring {
    pub(crate) fn given(kept: &Kept, now: Time) -> Item {
        Item {
            age: now.saturating_sub(kept.at),
            ..kept.item.clone()
        }
    }

    /// The whole for one who has heard all to `after` of this epoch.
    fn snapshot(&self, now: Time, place: Place, after: u64) -> Event {
        let mut keyed: Vec<Item> = self
            .keyed
            .values()
            .map(|kept| Ring::given(kept, now))
            .collect();
        keyed.sort_by_key(|item| item.number);
        let young = |kept: &&Kept| {
            kept.item.key.is_none()
                && kept.item.number > after
                && now.saturating_sub(kept.at) <= self.window
        };
        let recent = self
            .items
            .iter()
            .filter(young)
            .map(|kept| Ring::given(kept, now))
            .collect();
        Event::Whole {
            place,
            keyed,
            recent,
        }
    }

    pub fn has_whole(&self) -> bool {
        self.first == First::Whole && self.complete && self.epoch.is_some()
    }

    /// The next for a reader at `at`, and where that brings it. `latest`: an item whose key comes again is passed over.
    pub fn next(&self, now: Time, at: Option<Place>, latest: bool) -> Option<(Vec<Event>, Place)> {
        let end = self.place()?;
        let Some(mut at) = at else {
            return Some(self.newcomer(now, end));
        };
        if at.epoch != end.epoch {
            return self.other_epoch(now, at, end);
        }
        // Ahead of this ring, or level: it catches up.
        while at.number < end.number {
            let index = self
                .items
                .partition_point(|kept| kept.item.number <= at.number);
            let next = self.items.get(index);
            let to = next.map_or(end.number, |kept| kept.item.number - 1);
            if to > at.number {
                let lost = |to| Event::Lost {
                    epoch: end.epoch,
                    from: at.number + 1,
                    to: Some(to),
                };
                return Some(if self.has_whole() {
                    (
                        vec![lost(end.number), self.snapshot(now, end, at.number)],
                        end,
                    )
                } else {
                    (vec![lost(to)], Place { number: to, ..end })
                });
            }
            let kept = next?;
            at.number = kept.item.number;
            if !latest || self.stands(kept) {
                return Some((
                    vec![Event::Item {
                        epoch: end.epoch,
                        item: Ring::given(kept, now),
                    }],
                    at,
                ));
            }
        }
        None
    }

    /// Whether no later item of its key is held.
    fn stands(&self, kept: &Kept) -> bool {
        let last = kept.item.key.as_ref().and_then(|key| self.keyed.get(key));
        last.is_none_or(|last| last.item.number <= kept.item.number)
    }

    fn newcomer(&self, now: Time, end: Place) -> (Vec<Event>, Place) {
        match self.first {
            First::Whole if self.has_whole() => {
                let mut events = vec![self.snapshot(now, end, 0)];
                if self.cut_short(now) {
                    events.insert(
                        0,
                        Event::Lost {
                            epoch: end.epoch,
                            from: 1,
                            to: Some(end.number),
                        },
                    );
                }
                (events, end)
            }
            First::Whole if end.number > 0 => (
                vec![Event::Lost {
                    epoch: end.epoch,
                    from: 1,
                    to: Some(end.number),
                }],
                end,
            ),
            First::Whole | First::Live => (vec![Event::From { place: end }], end),
            First::Ring => {
                let oldest = self
                    .items
                    .front()
                    .map_or(end.number, |kept| kept.item.number - 1);
                let place = Place {
                    number: oldest,
                    ..end
                };
                (vec![Event::From { place }], place)
            }
        }
    }

    fn other_epoch(&self, now: Time, at: Place, end: Place) -> Option<(Vec<Event>, Place)> {
        if self.shared && at.epoch > end.epoch && !planted(Fault::OldEpochTaken) {
            return None;
        }
        let mut events = Vec::new();
        // Where each reader counts for itself the whole tells all: who was away for longer than the window asks the
        // source first.
        if self.shared || !self.has_whole() || self.gap == Some(at.epoch) || self.cut_short(now) {
            events.push(Event::Lost {
                epoch: at.epoch,
                from: at.number + 1,
                to: None,
            });
        }
        if self.has_whole() {
            events.push(self.snapshot(now, end, 0));
            return Some((events, end));
        }
        Some((
            events,
            Place {
                epoch: end.epoch,
                number: if self.shared { 0 } else { end.number },
            },
        ))
    }
}
