//! What a reader is sent next, as a function of the ring and the reader's position alone: the following
//! items, a gap or a snapshot.

use crate::planted::{planted, Fault};
use crate::ring::{BufferedItem, Ring};
use crate::types::{Event, Item, Position, StartPosition};
use foldmux_replicas::Time;

impl Ring {
    /// The item with its age as of `now`.
    pub(crate) fn aged_item(entry: &BufferedItem, now: Time) -> Item {
        Item {
            age: now.saturating_sub(entry.published_at),
            ..entry.item.clone()
        }
    }

    /// A snapshot for a reader that has received this epoch up to `after`.
    fn snapshot(&self, now: Time, position: Position, after: u64) -> Event {
        let mut keyed: Vec<Item> = self
            .keyed
            .values()
            .map(|entry| Ring::aged_item(entry, now))
            .collect();
        keyed.sort_by_key(|item| item.number);
        let within_window = |entry: &&BufferedItem| {
            entry.item.key.is_none()
                && entry.item.number > after
                && now.saturating_sub(entry.published_at) <= self.window
        };
        let recent = self
            .items
            .iter()
            .filter(within_window)
            .map(|entry| Ring::aged_item(entry, now))
            .collect();
        Event::Snapshot {
            position,
            keyed,
            recent,
        }
    }

    pub fn has_snapshot(&self) -> bool {
        self.start == StartPosition::Snapshot && self.complete && self.epoch.is_some()
    }

    /// The next events for a reader at `at`, and the position that they bring it to. With `conflate`, an item
    /// is left out if a later one has the same key.
    pub fn next_events(
        &self,
        now: Time,
        at: Option<Position>,
        conflate: bool,
    ) -> Option<(Vec<Event>, Position)> {
        let end = self.position()?;
        let Some(mut at) = at else {
            return Some(self.initial_events(now, end));
        };
        if at.epoch != end.epoch {
            return self.events_of_new_epoch(now, at, end);
        }
        // A reader that is level with this ring, or ahead of it, gets nothing until the ring catches up.
        while at.number < end.number {
            let index = self
                .items
                .partition_point(|entry| entry.item.number <= at.number);
            let next = self.items.get(index);
            let to = next.map_or(end.number, |entry| entry.item.number - 1);
            if to > at.number {
                let gap = |to| Event::Gap {
                    epoch: end.epoch,
                    from: at.number + 1,
                    to: Some(to),
                };
                return Some(if self.has_snapshot() {
                    (
                        vec![gap(end.number), self.snapshot(now, end, at.number)],
                        end,
                    )
                } else {
                    (vec![gap(to)], Position { number: to, ..end })
                });
            }
            let entry = next?;
            at.number = entry.item.number;
            if !conflate || self.is_latest_of_key(entry) {
                return Some((
                    vec![Event::Item {
                        epoch: end.epoch,
                        item: Ring::aged_item(entry, now),
                    }],
                    at,
                ));
            }
        }
        None
    }

    /// Whether the ring holds no later item with the same key.
    fn is_latest_of_key(&self, entry: &BufferedItem) -> bool {
        let last = entry.item.key.as_ref().and_then(|key| self.keyed.get(key));
        last.is_none_or(|last| last.item.number <= entry.item.number)
    }

    fn initial_events(&self, now: Time, end: Position) -> (Vec<Event>, Position) {
        match self.start {
            StartPosition::Snapshot if self.has_snapshot() => {
                let mut events = vec![self.snapshot(now, end, 0)];
                if self.is_truncated(now) {
                    events.insert(
                        0,
                        Event::Gap {
                            epoch: end.epoch,
                            from: 1,
                            to: Some(end.number),
                        },
                    );
                }
                (events, end)
            }
            StartPosition::Snapshot if end.number > 0 => (
                vec![Event::Gap {
                    epoch: end.epoch,
                    from: 1,
                    to: Some(end.number),
                }],
                end,
            ),
            StartPosition::Snapshot | StartPosition::Live => {
                (vec![Event::Start { position: end }], end)
            }
            StartPosition::Buffered => {
                let oldest = self
                    .items
                    .front()
                    .map_or(end.number, |entry| entry.item.number - 1);
                let position = Position {
                    number: oldest,
                    ..end
                };
                (vec![Event::Start { position }], position)
            }
        }
    }

    fn events_of_new_epoch(
        &self,
        now: Time,
        at: Position,
        end: Position,
    ) -> Option<(Vec<Event>, Position)> {
        if self.shared_numbering && at.epoch > end.epoch && !planted(Fault::AcceptsOldEpoch) {
            return None;
        }
        let mut events = Vec::new();
        // Where each process numbers the items by itself, a snapshot is complete: a process that was away for
        // longer than the window reads the source before it uses another's snapshot.
        if self.shared_numbering
            || !self.has_snapshot()
            || self.gap_epoch == Some(at.epoch)
            || self.is_truncated(now)
        {
            events.push(Event::Gap {
                epoch: at.epoch,
                from: at.number + 1,
                to: None,
            });
        }
        if self.has_snapshot() {
            events.push(self.snapshot(now, end, 0));
            return Some((events, end));
        }
        Some((
            events,
            Position {
                epoch: end.epoch,
                number: if self.shared_numbering { 0 } else { end.number },
            },
        ))
    }
}
