//! Places for connections, bounded. When all are taken, a connection on which nothing is open makes way for a
//! newcomer: first one that has never asked for anything, then the one that has been idle for longest.

use std::collections::BTreeMap;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long one that is to make way may take to be gone.
const MAKE_WAY: Duration = Duration::from_millis(200);
/// A newcomer has so long to ask before one that has asked and is idle makes way first.
const NEW: Duration = Duration::from_millis(100);

pub struct Places {
    most: usize,
    state: Mutex<State>,
    freed: Condvar,
}

#[derive(Default)]
struct State {
    taken: BTreeMap<u64, Taken>,
    next: u64,
    /// The process leaves: a connection ends as soon as nothing is open on it.
    leaving: bool,
}

struct Taken {
    stream: Arc<TcpStream>,
    /// Since when nothing is open on it.
    idle: Option<Instant>,
    asked: bool,
    ending: bool,
}

/// One connection's place, given back however its thread ends, also where it never started.
pub struct Place {
    places: Arc<Places>,
    number: u64,
    pub stream: Arc<TcpStream>,
}

impl Places {
    pub fn new(most: usize) -> Arc<Places> {
        Arc::new(Places { most, state: Mutex::default(), freed: Condvar::new() })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A place for a newcomer, or none where all are busy: never that of a connection with an open request.
    pub fn take(self: &Arc<Self>, stream: TcpStream) -> Option<Place> {
        let mut state = self.state();
        if state.taken.len() >= self.most {
            let now = Instant::now();
            let victim = state.taken.values_mut().filter(|t| !t.ending).filter_map(|t| {
                let idle = t.idle?;
                let new = !t.asked && now.saturating_duration_since(idle) < NEW;
                Some(((new, t.asked, idle), t))
            });
            let victim = victim.min_by_key(|(order, _)| *order);
            victim.into_iter().for_each(|(_, taken)| taken.end());
            let full = |s: &mut State| s.taken.len() >= self.most && s.taken.values().any(|t| t.ending);
            let waited = self.freed.wait_timeout_while(state, MAKE_WAY, full);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
            if state.taken.len() >= self.most {
                return None;
            }
        }
        let (number, stream) = (state.next, Arc::new(stream));
        let taken = Taken { stream: stream.clone(), idle: Some(Instant::now()), asked: false, ending: false };
        state.taken.insert(number, taken);
        state.next += 1;
        Some(Place { places: self.clone(), number, stream })
    }

    /// The process leaves: connections with nothing open end now, the others with their last answer. A client
    /// whose request crosses such a close sends it again on a new connection, to whoever listens then.
    pub fn leave(&self) {
        let mut state = self.state();
        state.leaving = true;
        let idle = state.taken.values_mut().filter(|t| t.idle.is_some() && t.asked && !t.ending);
        idle.for_each(Taken::end);
    }
}

impl Taken {
    /// It is to make way, or the process leaves: its reader hears the close, and its thread gives the place back.
    fn end(&mut self) {
        self.ending = true;
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

impl Place {
    /// Something is open on the connection now; false if it has been told to make way.
    pub fn busy(&self) -> bool {
        let mut state = self.places.state();
        let Some(taken) = state.taken.get_mut(&self.number) else { return false };
        (taken.idle, taken.asked) = (None, true);
        !taken.ending
    }

    /// How many connections have something open, this one among them.
    pub fn among(&self) -> usize {
        self.places.state().taken.values().filter(|t| t.idle.is_none()).count().max(1)
    }

    /// Nothing is open on it any more.
    pub fn idle(&self) {
        let mut state = self.places.state();
        let leaving = state.leaving;
        if let Some(taken) = state.taken.get_mut(&self.number) {
            taken.idle = Some(Instant::now());
            if leaving && !taken.ending {
                taken.end();
            }
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.places.state().taken.remove(&self.number);
        self.places.freed.notify_all();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Read;
    use std::net::TcpListener;

    #[test]
    fn the_idle_make_way_and_the_busy_never_do() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let places = Places::new(2);
        let mut fars = Vec::new();
        let mut connect = || {
            fars.push(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
            listener.accept().unwrap().0
        };
        let (asked, silent) = (places.take(connect()).unwrap(), places.take(connect()).unwrap());
        assert!(asked.busy());
        asked.idle();
        // The silent one makes way once it is no newcomer, before the one that asked first.
        places.state().taken.get_mut(&silent.number).unwrap().idle = Instant::now().checked_sub(2 * NEW);
        let gone = std::thread::spawn(move || {
            let ended = (&*silent.stream).read(&mut [0]).unwrap_or(0);
            drop(silent);
            ended
        });
        let third = places.take(connect()).unwrap();
        assert_eq!(gone.join().unwrap(), 0);
        // Its place is kept by one that does not go, or that has something open.
        assert!(asked.busy() && third.busy());
        assert!(places.take(connect()).is_none(), "both are busy");
        asked.idle();
        assert!(places.take(connect()).is_none(), "it was told to make way, and has not gone");
        assert!(!asked.busy(), "what is read now comes too late");
        drop(asked);
        assert!(places.take(connect()).is_some());
    }
}
