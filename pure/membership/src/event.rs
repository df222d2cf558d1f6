//! What the process is told of the others.

use crate::identity::NodeIdentity;
use foca::Member;
use foldmux_replicas::Peer;
use std::net::SocketAddr;
use std::sync::Arc;

/// News of a peer. For each peer *up* and *down* or *left* take turns; *restarted* comes only while it is up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Up(MemberView),
    /// It did not answer, nor refute the suspicion: a hint where not to turn, never a proof.
    Down(Peer),
    /// On purpose: it said so itself.
    Left(Peer),
    /// What was up is gone without a word; this is another life under the same name.
    Restarted(MemberView),
    /// Someone else speaks under this process's name, or did with a clock that was ahead. Reported once for each.
    Rival(MemberView),
}

/// What is known of a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    pub peer: Peer,
    pub site: Arc<str>,
    pub address: SocketAddr,
    /// Grows with each life, and with each return of one that was taken for dead.
    pub generation: u64,
    /// Grows within a generation, with each suspicion that it refuted.
    pub incarnation: u16,
    pub state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Alive,
    /// One did not get its answer; it is treated as alive until it has had time to refute.
    Suspect,
    Down,
    Left,
}

impl State {
    /// Whether one may turn to it.
    pub fn alive(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

impl MemberView {
    pub(crate) fn of(member: &Member<NodeIdentity>) -> MemberView {
        let who = member.id();
        let state = match member.state() {
            _ if who.left => State::Left,
            foca::State::Alive => State::Alive,
            foca::State::Suspect => State::Suspect,
            foca::State::Down => State::Down,
        };
        MemberView {
            peer: who.name.clone(),
            site: who.site.clone(),
            address: who.address,
            generation: who.generation,
            incarnation: member.incarnation(),
            state,
        }
    }
}
