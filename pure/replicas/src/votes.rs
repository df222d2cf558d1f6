//! What a key's replicas have answered to one question, and whether that decides it.

use crate::replica_set::{QUORUM, REPLICAS_PER_KEY};
use crate::Peer;

/// The votes on one question. Each replica counts once, by its first vote; votes of other processes are
/// ignored. A question that is asked again (another term, another renewal) has votes of its own.
///
/// ```
/// use foldmux_replicas::{Peer, ReplicaSet, Votes};
/// let set = ReplicaSet::new(["n1", "n2", "n3"].map(Peer::new)).unwrap();
/// let mut votes = Votes::new(set.replicas_of(b"key"));
/// votes.grant(&Peer::new("n2"));
/// votes.grant(&Peer::new("n2"));
/// votes.grant(&Peer::new("stranger"));
/// assert!(!votes.won());
/// votes.grant(&Peer::new("n1"));
/// assert!(votes.won());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Votes {
    current: Ballots,
    /// The votes by the former replica set, during a change.
    former: Option<Ballots>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Vote {
    Granted,
    Rejected,
}

/// The votes of one set of replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Ballots {
    replicas: [Peer; REPLICAS_PER_KEY],
    votes: [Option<Vote>; REPLICAS_PER_KEY],
    #[cfg(feature = "planted")]
    seems_dead: [bool; REPLICAS_PER_KEY],
}

impl Ballots {
    fn new(replicas: [&Peer; REPLICAS_PER_KEY]) -> Ballots {
        Ballots {
            replicas: replicas.map(Peer::clone),
            votes: [None; REPLICAS_PER_KEY],
            #[cfg(feature = "planted")]
            seems_dead: [false; REPLICAS_PER_KEY],
        }
    }

    /// Whether the vote counted.
    fn cast(&mut self, from: &Peer, vote: Vote) -> bool {
        match self.replicas.iter().position(|replica| replica == from) {
            Some(i) if self.votes[i].is_none() => {
                self.votes[i] = Some(vote);
                true
            }
            _ => false,
        }
    }

    fn count(&self, vote: Vote) -> usize {
        self.votes
            .iter()
            .filter(|cast| **cast == Some(vote))
            .count()
    }

    fn granted(&self) -> impl Iterator<Item = &Peer> {
        self.replicas
            .iter()
            .zip(&self.votes)
            .filter(|(_, vote)| **vote == Some(Vote::Granted))
            .map(|(replica, _)| replica)
    }

    #[cfg(feature = "planted")]
    fn dead_without_vote(&self) -> usize {
        (0..REPLICAS_PER_KEY)
            .filter(|i| self.seems_dead[*i] && self.votes[*i].is_none())
            .count()
    }
}

impl Votes {
    /// No votes yet, of these replicas.
    pub fn new(replicas: [&Peer; REPLICAS_PER_KEY]) -> Votes {
        Votes {
            current: Ballots::new(replicas),
            former: None,
        }
    }

    /// Votes that have to be won by both sets of replicas.
    pub fn joint(current: [&Peer; REPLICAS_PER_KEY], former: [&Peer; REPLICAS_PER_KEY]) -> Votes {
        Votes {
            current: Ballots::new(current),
            former: Some(Ballots::new(former)),
        }
    }

    /// Records a grant. Returns whether it counted.
    pub fn grant(&mut self, from: &Peer) -> bool {
        self.cast(from, Vote::Granted)
    }

    /// Records a rejection. Returns whether it counted.
    pub fn reject(&mut self, from: &Peer) -> bool {
        self.cast(from, Vote::Rejected)
    }

    fn cast(&mut self, from: &Peer, vote: Vote) -> bool {
        let current_counts = self.current.cast(from, vote);
        let former_counts = self
            .former
            .as_mut()
            .is_some_and(|former| former.cast(from, vote));
        current_counts || former_counts
    }

    fn sets(&self) -> impl Iterator<Item = &Ballots> {
        std::iter::once(&self.current).chain(&self.former)
    }

    /// Whether a quorum of each set has granted.
    pub fn won(&self) -> bool {
        #[cfg(feature = "planted")]
        if crate::planted::is_planted(crate::planted::Fault::QuorumOfAliveReplicas) {
            return self.sets().all(|ballots| {
                ballots.count(Vote::Granted) * 2 > REPLICAS_PER_KEY - ballots.dead_without_vote()
            });
        }
        self.sets()
            .all(|ballots| ballots.count(Vote::Granted) >= QUORUM)
    }

    /// Whether so many replicas have rejected that a quorum is out of reach.
    pub fn lost(&self) -> bool {
        self.sets()
            .any(|ballots| ballots.count(Vote::Rejected) > REPLICAS_PER_KEY - QUORUM)
    }

    /// Marks a replica that seems dead. Only a planted fault uses the mark.
    #[cfg(feature = "planted")]
    pub fn mark_dead(&mut self, peer: &Peer) {
        for ballots in std::iter::once(&mut self.current).chain(&mut self.former) {
            for i in 0..REPLICAS_PER_KEY {
                ballots.seems_dead[i] |= ballots.replicas[i] == *peer;
            }
        }
    }

    /// The replicas that have granted, each once.
    pub fn granted(&self) -> impl Iterator<Item = &Peer> {
        let former = self.former.iter().flat_map(Ballots::granted);
        let only_former = former.filter(|peer| !self.current.replicas.contains(peer));
        self.current.granted().chain(only_former)
    }
}
