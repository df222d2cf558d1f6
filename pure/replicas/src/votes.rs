//! What a key's seats have answered to one question, and whether that decides it.

use crate::seats::{MAJORITY, SEATS};
use crate::Peer;

/// The grants and refusals of one question. Each seat counts once, by what it said first; strangers count for
/// nothing. A question asked again (another term, another renewal) has votes of its own.
///
/// ```
/// use foldmux_replicas::{Peer, Seats, Votes};
/// let seats = Seats::new(["n1", "n2", "n3"].map(Peer::new)).unwrap();
/// let mut votes = Votes::new(seats.of(b"key"));
/// votes.grant(&Peer::new("n2"));
/// votes.grant(&Peer::new("n2"));
/// votes.grant(&Peer::new("stranger"));
/// assert!(!votes.won());
/// votes.grant(&Peer::new("n1"));
/// assert!(votes.won());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Votes {
    now: Three,
    /// The seats by the list before, while a change of the list goes on.
    before: Option<Three>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Three {
    seats: [Peer; SEATS],
    said: [Option<bool>; SEATS],
    #[cfg(feature = "planted")]
    gone: [bool; SEATS],
}

impl Three {
    fn new(seats: [&Peer; SEATS]) -> Three {
        Three {
            seats: seats.map(Peer::clone),
            said: [None; SEATS],
            #[cfg(feature = "planted")]
            gone: [false; SEATS],
        }
    }

    fn say(&mut self, from: &Peer, granted: bool) -> bool {
        match self.seats.iter().position(|seat| seat == from) {
            Some(i) if self.said[i].is_none() => {
                self.said[i] = Some(granted);
                true
            }
            _ => false,
        }
    }

    #[cfg(feature = "planted")]
    fn gone(&self) -> usize {
        (0..SEATS)
            .filter(|i| self.gone[*i] && self.said[*i].is_none())
            .count()
    }

    fn count(&self, granted: bool) -> usize {
        self.said
            .iter()
            .filter(|said| **said == Some(granted))
            .count()
    }
}

impl Votes {
    pub fn new(seats: [&Peer; SEATS]) -> Votes {
        Votes {
            now: Three::new(seats),
            before: None,
        }
    }

    /// Votes that must win in both.
    pub fn both(now: [&Peer; SEATS], before: [&Peer; SEATS]) -> Votes {
        Votes {
            now: Three::new(now),
            before: Some(Three::new(before)),
        }
    }

    /// Whether this counted: a repeat or a stranger doesn't.
    pub fn grant(&mut self, from: &Peer) -> bool {
        self.say(from, true)
    }

    /// Whether this counted.
    pub fn refuse(&mut self, from: &Peer) -> bool {
        self.say(from, false)
    }

    fn say(&mut self, from: &Peer, granted: bool) -> bool {
        let now = self.now.say(from, granted);
        self.before
            .as_mut()
            .is_some_and(|before| before.say(from, granted))
            || now
    }

    fn threes(&self) -> impl Iterator<Item = &Three> {
        std::iter::once(&self.now).chain(&self.before)
    }

    /// A majority of each three has granted.
    pub fn won(&self) -> bool {
        #[cfg(feature = "planted")]
        if crate::planted::on(crate::planted::Fault::MajorityOfTheLiving) {
            return self
                .threes()
                .all(|three| three.count(true) * 2 > SEATS - three.gone());
        }
        self.threes().all(|three| three.count(true) >= MAJORITY)
    }

    /// So many have refused that it can't be won any more.
    pub fn lost(&self) -> bool {
        self.threes()
            .any(|three| three.count(false) > SEATS - MAJORITY)
    }

    /// A seat that seems dead: of no weight but for a planted fault.
    #[cfg(feature = "planted")]
    pub fn gone(&mut self, peer: &Peer) {
        for three in std::iter::once(&mut self.now).chain(&mut self.before) {
            (0..SEATS)
                .filter(|i| three.seats[*i] == *peer)
                .for_each(|i| three.gone[i] = true);
        }
    }

    /// Those who have granted, each once.
    pub fn granted(&self) -> impl Iterator<Item = &Peer> {
        let said = |three: &Three, i: usize| three.said[i] == Some(true);
        let now = (0..SEATS)
            .filter(move |i| said(&self.now, *i))
            .map(|i| &self.now.seats[i]);
        let before = self.before.iter().flat_map(move |three| {
            (0..SEATS)
                .filter(move |i| said(three, *i))
                .map(|i| &three.seats[i])
        });
        now.chain(before.filter(|peer| !self.now.seats.contains(peer)))
    }
}
