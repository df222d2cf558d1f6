//! Which links of a peer are live, and the news of it.

use crate::link::Link;
use crate::{Incoming, Session};
use crossbeam_channel::{SendTimeoutError, Sender};
use foldmux_replicas::Peer;
use std::collections::HashMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Links of one name at once: those of the process that began last and of the one before it.
const MOST: usize = 2;

#[derive(Default)]
struct Inside {
    /// Of each peer, in the order in which their processes began.
    links: HashMap<Peer, Vec<Arc<Link>>>,
    ended: bool,
}

pub struct Live {
    own: Peer,
    inside: Mutex<Inside>,
    changed: Condvar,
    /// Links of each session whose end is not told yet. Held while news is handed over, so that it comes in order.
    told: Mutex<HashMap<(Peer, Session), usize>>,
    incoming: Sender<Incoming>,
}

/// How often news that the receiver keeps waiting looks whether all has ended.
const LOOK_EVERY: Duration = Duration::from_millis(50);

impl Live {
    pub fn new(own: Peer, incoming: Sender<Incoming>) -> Live {
        Live {
            own,
            inside: Mutex::default(),
            changed: Condvar::new(),
            told: Mutex::default(),
            incoming,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inside> {
        self.inside.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a link in. One process has one link: of two that were dialled from both ends at once, both ends keep the
    /// one that the lesser name dialled; of two dialled from the same end, the newer.
    pub fn join(&self, link: &Arc<Link>) -> bool {
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        if !self.take(link) {
            return false;
        }
        let (peer, session) = (link.peer.clone(), link.session);
        let links = told.entry((peer.clone(), session)).or_default();
        *links += 1;
        *links > 1 || self.tell(Incoming::Up { peer, session })
    }

    fn take(&self, link: &Arc<Link>) -> bool {
        let mut inside = self.lock();
        if inside.ended {
            return false;
        }
        let links = inside.links.entry(link.peer.clone()).or_default();
        if let Some(at) = links.iter().position(|other| other.session == link.session) {
            let other = &links[at];
            let by_lesser = link.dialled == (self.own < link.peer);
            if other.dialled != link.dialled && !by_lesser && !other.has_ended() {
                return false;
            }
            links.remove(at).end();
        }
        links.push(link.clone());
        links.sort_by_key(|link| link.session);
        if links.len() > MOST {
            links.remove(0).end();
        }
        true
    }

    /// A link that joined has ended.
    pub fn leave(&self, link: &Arc<Link>) {
        self.drop_out(link);
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        let (peer, session) = (link.peer.clone(), link.session);
        let key = (peer.clone(), session);
        match told.get_mut(&key) {
            Some(links) if *links > 1 => *links -= 1,
            _ => {
                told.remove(&key);
                self.tell(Incoming::Down { peer, session });
            }
        }
    }

    /// Hands news over, unless all ends or nobody receives any more.
    fn tell(&self, mut news: Incoming) -> bool {
        loop {
            match self.incoming.send_timeout(news, LOOK_EVERY) {
                Ok(()) => return true,
                Err(SendTimeoutError::Timeout(back)) if !self.has_ended() => news = back,
                Err(_) => return false,
            }
        }
    }

    fn drop_out(&self, link: &Arc<Link>) {
        let mut inside = self.lock();
        if let Some(links) = inside.links.get_mut(&link.peer) {
            links.retain(|other| !Arc::ptr_eq(other, link));
        }
        drop(inside);
        self.changed.notify_all();
    }

    /// The link by which the peer is sent to.
    pub fn newest(&self, peer: &Peer) -> Option<Arc<Link>> {
        self.lock()
            .links
            .get(peer)
            .and_then(|links| links.last())
            .cloned()
    }

    /// The link of one process among those of its name.
    pub fn of(&self, peer: &Peer, session: Session) -> Option<Arc<Link>> {
        self.lock()
            .links
            .get(peer)?
            .iter()
            .find(|link| link.session == session)
            .cloned()
    }

    pub fn all(&self) -> Vec<Arc<Link>> {
        self.lock().links.values().flatten().cloned().collect()
    }

    /// Waits until the peer has no link; not once all ends.
    pub fn wait_for_none(&self, peer: &Peer) -> bool {
        let linked = |inside: &mut Inside| {
            !inside.ended
                && inside
                    .links
                    .get(peer)
                    .is_some_and(|links| !links.is_empty())
        };
        !self
            .changed
            .wait_while(self.lock(), linked)
            .unwrap_or_else(PoisonError::into_inner)
            .ended
    }

    /// Waits so long; not once all ends.
    pub fn pause(&self, time: Duration) -> bool {
        let waited = self
            .changed
            .wait_timeout_while(self.lock(), time, |inside| !inside.ended);
        !waited.unwrap_or_else(PoisonError::into_inner).0.ended
    }

    pub fn has_ended(&self) -> bool {
        self.lock().ended
    }

    pub fn end(&self) {
        let mut inside = self.lock();
        inside.ended = true;
        inside
            .links
            .drain()
            .flat_map(|(_, links)| links)
            .for_each(|link| link.end());
        drop(inside);
        self.changed.notify_all();
    }
}
