//! What a reader of a served journal makes of its answers: its own numbers, the list's index, and the purges, which bear the
//! source's numbers. It asserts nothing: all goes to the record, where the checker judges it.

use crate::news::{numbered, PURGES, STREAM};
use crate::record::Event;
use foldmux_event_stream::journal::{Entry, EventBatch};

#[derive(Clone, Debug, Default)]
pub struct Place {
    pub reader: u64,
    /// The last of its own numbers.
    pub own: u64,
    /// The last purge that it heard, by the source's epoch and number.
    pub last: Option<(u64, u64)>,
    /// Behind a whole, what was told before may come again, in order: the last that did.
    again: Option<(u64, u64)>,
    /// It was told that something may be missing.
    lost: bool,
    pub wholes: u64,
    pub losses: u64,
}

impl Place {
    pub fn new(reader: u64) -> Place {
        Place {
            reader,
            ..Place::default()
        }
    }

    /// What an answer says, as lines of the record; and the purges that are new.
    pub fn take(&mut self, feed: &EventBatch) -> (Vec<Event>, Vec<(u64, u64)>) {
        let (mut events, mut fresh) = (Vec::new(), Vec::new());
        for entry in &feed.entries {
            self.entry(entry, &mut events, &mut fresh);
        }
        if feed.pos != self.own {
            // The answer's own end is none of its events'.
            self.numbered(feed.pos, &mut events);
        }
        (events, fresh)
    }

    fn numbered(&mut self, number: u64, events: &mut Vec<Event>) {
        events.push(Event::Numbered {
            stream: STREAM.into(),
            reader: self.reader,
            number,
        });
        self.own = number;
    }

    fn entry(&mut self, entry: &Entry, events: &mut Vec<Event>, fresh: &mut Vec<(u64, u64)>) {
        self.numbered(entry.pos, events);
        if entry.lost.is_some() {
            (self.lost, self.losses) = (true, self.losses + 1);
        }
        if let Some(hosts) = &entry.hosts {
            if hosts.snapshot {
                (self.again, self.wholes) = (Some((0, 0)), self.wholes + 1);
            }
            let (stream, reader) = (STREAM.to_string(), self.reader);
            events.push(Event::Listed {
                stream,
                reader,
                index: hosts.index,
            });
        }
        let name = entry
            .expire
            .as_ref()
            .and_then(|expire| expire.name.as_deref());
        let Some(at) = name
            .and_then(|name| u64::from_str_radix(name, 16).ok())
            .map(numbered)
        else {
            return;
        };
        if let Some(before) = self
            .again
            .filter(|_| self.last.is_some_and(|last| at <= last))
        {
            if at > before {
                self.again = Some(at);
                return;
            }
        }
        self.heard(at, events);
        fresh.push(at);
    }

    fn heard(&mut self, at: (u64, u64), events: &mut Vec<Event>) {
        let (stream, reader, (epoch, number)) = (PURGES.to_string(), self.reader, at);
        let next = match self.last {
            Some((own, last)) if own == epoch => last + 1,
            Some((own, _)) if own < epoch => 1,
            _ => number,
        };
        if std::mem::take(&mut self.lost) && next < number {
            let (from, to) = (next, number - 1);
            events.push(Event::Gap {
                stream: stream.clone(),
                reader,
                epoch,
                from,
                to,
            });
        }
        events.push(Event::Heard {
            stream,
            reader,
            epoch,
            number,
        });
        (self.last, self.again) = (Some(at).max(self.last), None);
    }
}
