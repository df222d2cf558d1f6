//! Which peers count as alive for the parts: those that are linked, unless members say that they are not.

use foldmux_replicas::Peer;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What members say, to be taken by the fleet's thread at its next step. Given to the sink of the part for members.
#[derive(Clone, Default)]
pub struct Views(Arc<Mutex<HashMap<Peer, bool>>>);

impl Views {
    pub fn say(&self, peer: &Peer, alive: bool) {
        self.lock().insert(peer.clone(), alive);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Peer, bool>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Default)]
struct One {
    sessions: usize,
    dead: bool,
    told: bool,
}

/// Of the listed peers alone: bounded by the list.
pub struct Alive {
    peers: HashMap<Peer, One>,
    pub views: Views,
}

impl Alive {
    pub fn new(listed: impl Iterator<Item = Peer>) -> Alive {
        Alive {
            peers: listed.map(|peer| (peer, One::default())).collect(),
            views: Views::default(),
        }
    }

    /// A session of the peer is linked or no longer linked.
    pub fn linked(&mut self, peer: &Peer, up: bool) {
        if let Some(one) = self.peers.get_mut(peer) {
            one.sessions = if up {
                one.sessions + 1
            } else {
                one.sessions.saturating_sub(1)
            };
            // A new session is another process: what members said of the one before it has passed.
            one.dead &= !up;
        }
    }

    /// Peers of whom something else holds than the parts were told.
    pub fn news(&mut self) -> Vec<(Peer, bool)> {
        for (peer, alive) in self.views.lock().drain() {
            self.peers.entry(peer).and_modify(|one| one.dead = !alive);
        }
        let mut news = Vec::new();
        for (peer, one) in &mut self.peers {
            let alive = one.sessions > 0 && !one.dead;
            if alive != std::mem::replace(&mut one.told, alive) {
                news.push((peer.clone(), alive));
            }
        }
        // In one order, whatever the table's.
        news.sort();
        news
    }
}
