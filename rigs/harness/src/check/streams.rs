//! Streams: in order, no number twice, no gap untold; and how many are open at the source.

use super::Verdict;
use crate::record::{Event, Line};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What a reader has: the epoch and the number up to which it knows.
type Place = (u64, u64);

#[derive(Default)]
pub(super) struct Streams {
    /// By stream and reader; none: it has heard nothing yet.
    readers: HashMap<(String, u64), Option<Place>>,
    /// Open upstream streams, and readers, by stream and site.
    open: BTreeMap<(String, String), u64>,
    sites: BTreeMap<(String, String), u64>,
    /// The last number that the source sent, by stream and epoch.
    sent: HashMap<(String, u64), u64>,
    /// The last of each reader's own numbers, and the index of its list.
    own: HashMap<(String, u64), u64>,
    lists: HashMap<(String, u64), u64>,
    /// Streams that were once as few as their sites: before that all begin.
    settled: BTreeSet<String>,
}

impl Streams {
    pub fn take(&mut self, line: &Line, verdict: &mut Verdict) {
        match &line.event {
            Event::Sent {
                stream,
                epoch,
                number,
            } => {
                self.sent.insert((stream.clone(), *epoch), *number);
            }
            Event::Opened { stream, site } => {
                *self.open.entry((stream.clone(), site.clone())).or_default() += 1;
                self.beyond(stream, verdict);
            }
            Event::Closed { stream, site } => {
                less(&mut self.open, stream, site);
                self.beyond(stream, verdict);
            }
            Event::Numbered {
                stream,
                reader,
                number,
            } => {
                self.numbered(line, verdict, (stream, *reader), *number);
            }
            Event::Listed {
                stream,
                reader,
                index,
            } => {
                self.listed(line, verdict, (stream, *reader), *index);
            }
            Event::Joined {
                stream,
                site,
                reader,
            } => {
                let new = self
                    .readers
                    .insert((stream.clone(), *reader), None)
                    .is_none();
                *self
                    .sites
                    .entry((stream.clone(), site.clone()))
                    .or_default() += new as u64;
            }
            Event::Parted {
                stream,
                site,
                reader,
            } => {
                let was = self.readers.remove(&(stream.clone(), *reader)).is_some();
                was.then(|| less(&mut self.sites, stream, site));
            }
            Event::Heard {
                stream,
                reader,
                epoch,
                number,
            } => {
                self.heard(line, verdict, (stream, *reader), (*epoch, *number));
            }
            Event::Gap {
                stream,
                reader,
                epoch,
                from,
                to,
            } => {
                verdict.gaps += 1;
                self.follows(line, verdict, (stream, *reader), *epoch, *from, *to);
            }
            Event::Snapshot {
                stream,
                reader,
                epoch,
                number,
            } => {
                self.snapshot(line, verdict, (stream, *reader), (*epoch, *number));
            }
            _ => {}
        }
    }

    /// A reader's own numbers go up by one.
    fn numbered(
        &mut self,
        line: &Line,
        verdict: &mut Verdict,
        (stream, reader): (&str, u64),
        number: u64,
    ) {
        let had = self
            .own
            .insert((stream.to_string(), reader), number)
            .unwrap_or(0);
        if number == had + 1 {
            return;
        }
        if number <= had {
            verdict.numbers_twice += 1;
        } else {
            verdict.gaps_untold += 1;
        }
        verdict.tell(line.at, || {
            format!("{stream}, reader {reader}: own {number} after {had}")
        });
    }

    /// The index of a reader's list never goes back.
    fn listed(
        &mut self,
        line: &Line,
        verdict: &mut Verdict,
        (stream, reader): (&str, u64),
        index: u64,
    ) {
        let had = self
            .lists
            .insert((stream.to_string(), reader), index)
            .unwrap_or(0);
        if index < had {
            verdict.numbers_twice += 1;
            verdict.tell(line.at, || {
                format!("{stream}, reader {reader}: list {index} after {had}")
            });
        }
    }

    /// An event reaches a reader: the source sent it, and it follows what the reader has.
    fn heard(
        &mut self,
        line: &Line,
        verdict: &mut Verdict,
        (stream, reader): (&str, u64),
        (epoch, number): Place,
    ) {
        verdict.heard += 1;
        let sent = self
            .sent
            .get(&(stream.to_string(), epoch))
            .copied()
            .unwrap_or(0);
        if number > sent {
            verdict.numbers_twice += 1;
            verdict.tell(line.at, || {
                format!("{stream}: {number} of {epoch} was never sent")
            });
        }
        self.follows(line, verdict, (stream, reader), epoch, number, number);
    }

    /// A snapshot never takes a reader back.
    fn snapshot(
        &mut self,
        line: &Line,
        verdict: &mut Verdict,
        (stream, reader): (&str, u64),
        to: Place,
    ) {
        let place = self
            .readers
            .entry((stream.to_string(), reader))
            .or_default();
        if place.is_some_and(|had| had > to) {
            verdict.numbers_twice += 1;
            verdict.tell(line.at, || {
                format!("{stream}, reader {reader}: a snapshot of before")
            });
        }
        *place = Some(to);
    }

    /// What a reader is told next must begin right behind what it has. A new epoch begins at 1.
    fn follows(
        &mut self,
        line: &Line,
        verdict: &mut Verdict,
        (stream, reader): (&str, u64),
        epoch: u64,
        from: u64,
        to: u64,
    ) {
        let place = self
            .readers
            .entry((stream.to_string(), reader))
            .or_default();
        let next = match *place {
            None => from,
            Some((own, number)) if own == epoch => number + 1,
            Some((own, _)) if own < epoch => 1,
            Some(_) => u64::MAX,
        };
        let had = *place;
        if from < next {
            verdict.numbers_twice += 1;
            verdict.tell(line.at, || {
                format!("{stream}, reader {reader}: {from} of {epoch} after {had:?}")
            });
        } else if from > next {
            verdict.gaps_untold += 1;
            verdict.tell(line.at, || {
                format!("{stream}, reader {reader}: nothing of {next} to {from}")
            });
        }
        *place = Some((epoch, to)).max(had);
    }

    fn beyond(&mut self, stream: &str, verdict: &mut Verdict) {
        let of = |counts: &BTreeMap<(String, String), u64>| -> Vec<u64> {
            counts
                .iter()
                .filter(|((name, _), _)| name == stream)
                .map(|(_, count)| *count)
                .collect()
        };
        let (open, sites) = (
            of(&self.open).iter().sum::<u64>(),
            of(&self.sites).len() as u64,
        );
        if sites > 0 && open <= sites {
            self.settled.insert(stream.to_string());
        } else if sites > 0 && !self.settled.contains(stream) {
            return;
        }
        verdict.streams_beyond = verdict.streams_beyond.max(open.saturating_sub(sites));
    }
}

fn less(counts: &mut BTreeMap<(String, String), u64>, stream: &str, site: &str) {
    let key = (stream.to_string(), site.to_string());
    if let Some(count) = counts.get_mut(&key) {
        *count = count.saturating_sub(1);
        if *count == 0 {
            counts.remove(&key);
        }
    }
}
