//! A line between two parties: a port that passes every connection on to its target, and delays, cuts, resets, tears and
//! repeats as it is told, for everyone or for one dialling process. A cut is silent: what is sent is held back, also the
//! end of a connection, and goes on when the cut is healed.

use crate::pump::pass;
use crate::who::Who;
use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Connections of a line at one time; those beyond are closed.
const MOST: usize = 96;
pub const STACK: usize = 96 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From the one who dialled.
    There,
    Back,
    Both,
}

impl Way {
    pub fn word(self) -> &'static str {
        ["there", "back", "both"][self as usize]
    }

    fn has(self, way: usize) -> bool {
        self == Way::Both || self as usize == way
    }
}

/// What a line does to one way (0 there, 1 back) of somebody's connections.
#[derive(Clone, Default)]
pub(crate) struct Rule {
    pub delay: [Duration; 2],
    pub cut: [bool; 2],
    /// After so many more bytes the connection breaks.
    pub tear: [Option<usize>; 2],
    /// So many bytes of the next piece are sent once more.
    pub again: [usize; 2],
}

#[derive(Default)]
pub(crate) struct State {
    /// By the one who dialled; none: for all.
    rules: HashMap<Option<usize>, Rule>,
    /// Both ends of each connection, and who dialled it.
    held: HashMap<u64, (TcpStream, Option<TcpStream>, Option<usize>)>,
    pub over: bool,
}

impl State {
    pub fn rule(&mut self, of: Option<usize>) -> &mut Rule {
        self.rules.entry(of).or_default()
    }

    /// What holds for this dialler's bytes: (delay, cut).
    pub fn now(&self, dialler: Option<usize>, way: usize) -> (Duration, bool) {
        let of = |key| {
            self.rules
                .get(&key)
                .map_or_else(Default::default, |r: &Rule| (r.delay[way], r.cut[way]))
        };
        let (all, own) = (
            of(None),
            if dialler.is_some() {
                of(dialler)
            } else {
                Default::default()
            },
        );
        (all.0.max(own.0), all.1 || own.1)
    }

    pub fn is_held(&self, number: u64) -> bool {
        self.held.contains_key(&number)
    }

    /// Breaks the connection, so that both ends see a reset where the kernel gives one.
    pub fn drop_connection(&mut self, number: u64) {
        if let Some((near, far, _)) = self.held.remove(&number) {
            [Some(near), far]
                .into_iter()
                .flatten()
                .for_each(|end| drop(end.shutdown(Shutdown::Both)));
        }
    }
}

pub(crate) struct Shared {
    pub state: Mutex<State>,
    pub changed: Condvar,
    pub who: Who,
    /// Where one process alone dials it: the kernel's table needs no look, which takes long where it is full.
    owner: Option<usize>,
    target: Mutex<SocketAddr>,
}

impl Shared {
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

pub struct Line {
    pub address: SocketAddr,
    pub name: String,
    shared: Arc<Shared>,
}

/// A line as far as one dialler goes, or as a whole.
pub struct Control<'a> {
    line: &'a Line,
    of: Option<usize>,
}

impl Line {
    pub fn to(name: &str, target: SocketAddr, who: &Who) -> Line {
        Line::by(None, name, target, who)
    }

    /// One that this process alone dials.
    pub fn by(owner: Option<usize>, name: &str, target: SocketAddr, who: &Who) -> Line {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
            who: who.clone(),
            owner,
            target: Mutex::new(target),
        });
        let own = shared.clone();
        let accept = move || {
            for (number, near) in listener.incoming().enumerate() {
                let Ok(near) = near else { continue };
                if own.state().over {
                    return;
                }
                open(&own, number as u64, near);
            }
        };
        let _ = thread::Builder::new()
            .name("line".into())
            .stack_size(STACK)
            .spawn(accept)
            .expect("a thread");
        Line {
            address,
            name: name.to_string(),
            shared,
        }
    }

    /// Where it leads from now on; connections that it has stay.
    pub fn leads_to(&self, target: SocketAddr) {
        *self
            .shared
            .target
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = target;
    }

    pub fn all(&self) -> Control<'_> {
        Control {
            line: self,
            of: None,
        }
    }

    /// For what this process dialled.
    pub fn of(&self, process: usize) -> Control<'_> {
        Control {
            line: self,
            of: Some(process),
        }
    }

    pub fn connections(&self) -> usize {
        self.shared.state().held.len()
    }
}

/// Takes one connection in: a thread finds out whose it is and dials, then carries the way there; another carries the way back.
fn open(shared: &Arc<Shared>, number: u64, near: TcpStream) {
    let Ok(kept) = near.try_clone() else { return };
    let mut state = shared.state();
    if state.held.len() >= MOST {
        return;
    }
    state.held.insert(number, (kept, None, None));
    drop(state);
    let shared = shared.clone();
    let carry = move || {
        let dialler = shared.owner.or_else(|| shared.who.dialled(&near));
        if let Some(held) = shared.state().held.get_mut(&number) {
            held.2 = dialler;
        }
        // Not held while it carries.
        let target = *shared.target.lock().unwrap_or_else(PoisonError::into_inner);
        pass(&shared, number, dialler, near, target);
        shared.state().drop_connection(number);
    };
    drop(thread::Builder::new().stack_size(STACK).spawn(carry));
}

impl Shared {
    /// The dialled end; false where the connection was broken meanwhile.
    pub fn dialled(&self, number: u64, far: &TcpStream) -> bool {
        match (self.state().held.get_mut(&number), far.try_clone()) {
            (Some(held), Ok(clone)) => {
                held.1 = Some(clone);
                true
            }
            _ => false,
        }
    }
}

impl Control<'_> {
    fn set(&self, way: Way, set: impl Fn(&mut Rule, usize)) {
        let mut state = self.line.shared.state();
        let rule = state.rule(self.of);
        (0..2).filter(|w| way.has(*w)).for_each(|w| set(rule, w));
        self.line.shared.changed.notify_all();
    }

    pub fn cut(&self, way: Way) {
        self.set(way, |rule, w| rule.cut[w] = true);
    }

    pub fn heal(&self) {
        self.set(Way::Both, |rule, w| rule.cut[w] = false);
    }

    pub fn delay(&self, way: Way, delay: Duration) {
        self.set(way, |rule, w| rule.delay[w] = delay);
    }

    /// Breaks one connection after so many more bytes this way.
    pub fn tear(&self, way: Way, after: usize) {
        self.set(way, |rule, w| rule.tear[w] = Some(after));
    }

    /// Sends the last `bytes` of the next piece once more.
    pub fn repeat(&self, way: Way, bytes: usize) {
        self.set(way, |rule, w| rule.again[w] = bytes);
    }

    /// Breaks what is open.
    pub fn reset(&self) {
        let mut state = self.line.shared.state();
        let of: Vec<u64> = state
            .held
            .iter()
            .filter(|(_, held)| self.of.is_none() || held.2 == self.of)
            .map(|(number, _)| *number)
            .collect();
        of.into_iter()
            .for_each(|number| state.drop_connection(number));
        self.line.shared.changed.notify_all();
    }
}

impl Drop for Line {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.over = true;
        let all: Vec<u64> = state.held.keys().copied().collect();
        all.into_iter()
            .for_each(|number| state.drop_connection(number));
        drop(state);
        self.shared.changed.notify_all();
        drop(TcpStream::connect(self.address));
    }
}
