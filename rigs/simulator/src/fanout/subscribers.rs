//! The subscribers: what each was told, and what breaks a promise.

use foldmux_relay::{Event, Item};
use foldmux_replicas::Time;
use hdrhistogram::Histogram;

/// A ticket is a subscriber's number, and how often it has begun.
const LIVES: u32 = 24;

struct One {
    site: usize,
    at: Option<usize>,
    lives: u64,
    /// Its own last number, and the last purge.
    own: u64,
    last: Option<u64>,
    lost: bool,
    heard: Time,
    /// The longest silence since it is watched; and whether it had to go elsewhere meanwhile.
    longest: Time,
    moved: bool,
}

pub struct Subscribers {
    all: Vec<One>,
    pub heard: u64,
    /// Breaks: numbers twice or out of order, gaps untold. Told losses, and whole streams ended.
    pub twice: u64,
    pub untold: u64,
    pub losses: u64,
    pub ended: u64,
    pub refused: u64,
    pub delays: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are fine")
}

impl Default for Subscribers {
    fn default() -> Subscribers {
        Subscribers {
            all: Vec::new(),
            heard: 0,
            twice: 0,
            untold: 0,
            losses: 0,
            ended: 0,
            refused: 0,
            delays: histogram(),
        }
    }
}

fn purge(item: &Item) -> Option<u64> {
    let number = item.bytes.get(..8).filter(|_| item.key.is_none())?;
    Some(u64::from_le_bytes(number.try_into().ok()?))
}

impl Subscribers {
    pub fn add(&mut self, site: usize) -> usize {
        let (at, last, lost, moved) = (None, None, false, false);
        self.all.push(One {
            site,
            at,
            lives: 0,
            own: 0,
            last,
            lost,
            heard: 0,
            longest: 0,
            moved,
        });
        self.all.len() - 1
    }

    pub fn site(&self, sub: usize) -> usize {
        self.all[sub].site
    }

    pub fn reads(&self, sub: usize) -> bool {
        self.all[sub].at.is_some()
    }

    /// Its ticket, and its own last number.
    pub fn begin(&mut self, sub: usize, at: usize) -> (u64, u64) {
        let one = &mut self.all[sub];
        (one.at, one.lives) = (Some(at), one.lives + 1);
        ((sub as u64) << LIVES | one.lives, one.own)
    }

    pub fn end(&mut self, sub: usize) -> Option<(usize, u64)> {
        let one = &mut self.all[sub];
        let ticket = (sub as u64) << LIVES | one.lives;
        let at = one.at.take()?;
        // Whoever comes next knows nothing.
        (one.own, one.last, one.lost) = (0, None, false);
        Some((at, ticket))
    }

    /// Their instance went.
    pub fn parted(&mut self, at: usize) -> Vec<usize> {
        let gone: Vec<usize> = (0..self.all.len())
            .filter(|sub| self.all[*sub].at == Some(at))
            .collect();
        gone.iter()
            .for_each(|sub| (self.all[*sub].at, self.all[*sub].moved) = (None, true));
        gone
    }

    pub fn ended(&mut self, ticket: u64) {
        self.ended += 1;
        self.all[(ticket >> LIVES) as usize].at = None;
    }

    pub fn delayed(&mut self, delay: Time) {
        let _ = self.delays.record(delay);
    }

    /// What it was told, judged; its own last number from here on.
    pub fn told(
        &mut self,
        now: Time,
        ticket: u64,
        first: u64,
        events: &[Event],
        log: &[(Time, Item)],
    ) -> Option<u64> {
        let one = &mut self.all[(ticket >> LIVES) as usize];
        if one.lives != ticket & ((1 << LIVES) - 1) || one.at.is_none() {
            return None;
        }
        self.twice += u64::from(first <= one.own);
        self.untold += u64::from(first > one.own + 1);
        one.own = first - 1 + events.iter().map(Event::span).sum::<u64>();
        // What one that comes new is told of before is no delay.
        let (own, new) = (one.own, one.last.is_none());
        for event in events {
            match event {
                Event::Start { .. } => {}
                Event::Gap { .. } => {
                    self.losses += 1;
                    self.all[(ticket >> LIVES) as usize].lost = true;
                }
                Event::Item { item, .. } => self.heard(now, ticket, item, (false, new), log),
                Event::Snapshot { recent, .. } => recent
                    .iter()
                    .for_each(|item| self.heard(now, ticket, item, (true, new), log)),
            }
        }
        Some(own)
    }

    fn heard(
        &mut self,
        now: Time,
        ticket: u64,
        item: &Item,
        (whole, new): (bool, bool),
        log: &[(Time, Item)],
    ) {
        let Some(number) = purge(item) else { return };
        let one = &mut self.all[(ticket >> LIVES) as usize];
        let next = one.last.map_or(number, |last| last + 1);
        if number < next {
            self.twice += u64::from(!whole);
            return;
        }
        if number > next {
            self.untold += u64::from(!one.lost);
        }
        if !new {
            one.longest = one.longest.max(now - one.heard);
            let told = log[item.number as usize - 1].0;
            let _ = self.delays.record(now.saturating_sub(told));
        }
        (one.last, one.lost, one.heard) = (Some(number), false, now);
        self.heard += 1;
    }

    pub fn watch(&mut self) {
        self.all
            .iter_mut()
            .for_each(|one| (one.longest, one.moved) = (0, false));
    }

    /// The longest silences of those at these sites since then: of who stayed at one instance, and of who had to go elsewhere.
    pub fn silences(&self, sites: &[usize]) -> [Histogram<u64>; 2] {
        let mut found = [histogram(), histogram()];
        let of = self
            .all
            .iter()
            .filter(|one| sites.contains(&one.site) && one.longest > 0);
        of.for_each(|one| found[usize::from(one.moved)] += one.longest);
        found
    }
}
