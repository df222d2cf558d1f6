//! The operator line: a second address, one call a line, `done` or `error` at the start of each answer.
//!
//! Owns: its listener, its connections (at most `PLACES`, each a small thread), and the pop caches out by hand
//! as they are told to the desk ([`Hand`]). May not: wait for client work or for the desk. Every answer is made
//! of figures that are read where they are counted, so that it is owed to nothing else; what is beyond its places
//! is told so at once and closed.

use foldmux::interface::State;
use foldmux_core::desk::{DeskHandle, Notice};
use foldmux_core::members::Listed;
use foldmux_core::Core;
use foldmux_fronts::listen::{named, pause};
use foldmux_operations::call::{Call, Lines};
use foldmux_operations::maintenance::{Maintenance, Refused};
use foldmux_operations::stats::{ClassFigures, Figures};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// Connections of the operator line at once.
pub const PLACES: usize = 64;
const STACK: usize = 64 * 1024;
/// A connection without a whole call for this long is closed.
const IDLE: Duration = Duration::from_secs(30);
/// How often the set kept on disk is looked at, for what a process beside this one changed.
pub const SYNC_EVERY: Duration = Duration::from_millis(50);
/// A write that the caller does not read for this long ends the connection.
const WRITE_FOR: Duration = Duration::from_millis(500);

/// The pop caches out by hand, and the last line of each as the journal service told it. One lock over both and
/// over telling the desk, so that what the journal says and what the operator says reach the desk in one order.
pub struct Hand {
    held: Mutex<Held>,
    desk: DeskHandle,
    /// Where the set is kept: `$TMPDIR`, shared with a new version started beside this one.
    file: Option<PathBuf>,
}

struct Held {
    out: Maintenance,
    told: HashMap<Arc<str>, Listed>,
}

impl Hand {
    /// With what an earlier process of this place kept, where there is a file.
    pub fn new(desk: DeskHandle, file: Option<PathBuf>) -> Hand {
        let kept = file.as_ref().and_then(|file| std::fs::read_to_string(file).ok());
        let out = kept.as_deref().map(Maintenance::parse).unwrap_or_default();
        if !out.is_empty() {
            tracing::info!("maintenance: {} pop caches out by hand, as kept", out.len());
        }
        Hand { held: Mutex::new(Held { out, told: HashMap::new() }), desk, file }
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the desk what the journal service listed, with those out by hand as draining.
    pub fn members(&self, full: bool, listed: Vec<Listed>) {
        let mut held = self.held();
        if full {
            held.told.clear();
        }
        let mut told = Vec::with_capacity(listed.len());
        for line in listed {
            match line.member.state {
                State::Gone => held.told.remove(&line.name),
                _ => held.told.insert(line.name.clone(), line.clone()),
            };
            told.push(out_by_hand(&held.out, line));
        }
        self.desk.tell(Notice::Members { full, listed: told });
    }

    /// `maint-on` and `maint-off`: `Ok(true)` where the set changed.
    pub fn set(&self, id: &str, out: bool) -> Result<bool, Refused> {
        let mut held = self.held();
        let known = held.told.contains_key(id);
        let changed = match out {
            true => held.out.on(id, known)?,
            false => held.out.off(id, known)?,
        };
        if changed {
            self.keep(&held.out);
            if let Some(line) = held.told.get(id).cloned() {
                let line = out_by_hand(&held.out, line);
                self.desk.tell(Notice::Members { full: false, listed: vec![line] });
            }
        }
        Ok(changed)
    }

    /// The pop caches out by hand, as they are now.
    pub fn out(&self) -> Maintenance {
        self.held().out.clone()
    }

    /// Takes what another process of this place (a version beside this one) wrote, where it differs: both count
    /// as one edge proxy, and a pop cache that one of them takes out is out for both.
    pub fn sync(&self) {
        let Some(file) = &self.file else { return };
        let Ok(text) = std::fs::read_to_string(file) else { return };
        let kept = Maintenance::parse(&text);
        let mut held = self.held();
        if kept == held.out {
            return;
        }
        let changed: Vec<Listed> = held
            .told
            .values()
            .filter(|line| kept.holds(&line.name) != held.out.holds(&line.name))
            .map(|line| out_by_hand(&kept, line.clone()))
            .collect();
        held.out = kept;
        if !changed.is_empty() {
            tracing::info!(
                "maintenance: {} pop caches changed by the process beside this one",
                changed.len()
            );
            self.desk.tell(Notice::Members { full: false, listed: changed });
        }
    }

    /// Whether the set is shared with another process through a file.
    pub fn shared(&self) -> bool {
        self.file.is_some()
    }

    fn keep(&self, out: &Maintenance) {
        let Some(file) = &self.file else { return };
        let fresh = file.with_extension("new");
        let kept = std::fs::write(&fresh, out.render()).and_then(|()| std::fs::rename(&fresh, file));
        kept.err().iter().for_each(|e| tracing::warn!("maintenance: not kept in {}: {e}", file.display()));
    }
}

fn out_by_hand(out: &Maintenance, mut line: Listed) -> Listed {
    if line.member.state == State::Ready && out.holds(&line.name) {
        line.member.state = State::Draining;
    }
    line
}

/// What the line reads its figures from.
pub struct Sources {
    pub core: Arc<Core>,
    pub hand: Arc<Hand>,
    /// A list is in and the process takes clients.
    pub listed: Arc<AtomicBool>,
    /// Set when the process begins to leave.
    pub leave_by: Arc<OnceLock<Instant>>,
    pub conf_loaded: AtomicU64,
    pub conf_invalid: AtomicU64,
}

impl Sources {
    pub fn figures(&self) -> Figures {
        let classes = self.core.tally.classes().into_iter();
        let classes = classes.map(|(class, [answered, deferred, errored, sends])| ClassFigures {
            class: class.to_string(),
            answered,
            deferred,
            errored,
            sends,
        });
        let out = self.hand.out();
        let (size, unready) = self.core.members.census(|name| out.holds(name));
        Figures {
            classes: classes.collect(),
            current: (self.core.open() + self.core.lent()) as u64,
            cluster_size: size as u64,
            cluster_unhealthy: unready as u64,
            conf_loaded: self.conf_loaded.load(Ordering::Relaxed),
            conf_invalid: self.conf_invalid.load(Ordering::Relaxed),
        }
    }

    /// The answer to one call, its end of line with it.
    pub fn answer(&self, call: Call) -> String {
        let ready = self.listed.load(Ordering::SeqCst) && self.leave_by.get().is_none();
        match call {
            Call::Status if ready => "done yes\n".to_string(),
            Call::Status => "done no\n".to_string(),
            Call::Stats => format!("done\n{}", self.figures().render()),
            Call::MaintOn(id) | Call::MaintOff(id) if id.len() > 128 => {
                format!("error no pop cache {:.32}...\n", id)
            }
            Call::MaintOn(id) => self.maint(&id, true),
            Call::MaintOff(id) => self.maint(&id, false),
        }
    }

    fn maint(&self, id: &str, out: bool) -> String {
        let set = self.hand.set(id, out);
        if matches!(set, Ok(true)) && self.hand.shared() {
            // The process beside this one, where there is one, takes it within its next look.
            std::thread::sleep(SYNC_EVERY * 3);
        }
        match set {
            Ok(_) if out => format!("done {id} is out\n"),
            Ok(_) => format!("done {id} is back\n"),
            Err(Refused::Unknown) => format!("error no pop cache {id}\n"),
            Err(Refused::Full) => "error too many pop caches out\n".to_string(),
        }
    }
}

/// Listens at `address` and answers there until the process ends.
pub fn serve(address: SocketAddr, sources: Arc<Sources>) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind(address).map_err(|e| format!("operator line on {address}: {e}"))?;
    let on = listener.local_addr().map_err(|e| e.to_string())?;
    let open = Arc::new(AtomicUsize::new(0));
    if sources.hand.shared() {
        let hand = sources.hand.clone();
        named("maintenance", STACK, move || loop {
            std::thread::sleep(SYNC_EVERY);
            hand.sync();
        })?;
    }
    named("operator", STACK, move || loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) => {
                std::thread::sleep(pause(&e));
                continue;
            }
        };
        if open.fetch_add(1, Ordering::SeqCst) >= PLACES {
            open.fetch_sub(1, Ordering::SeqCst);
            let _ = stream.set_write_timeout(Some(WRITE_FOR));
            let _ = (&stream).write_all(b"error busy: too many connections to the operator line\n");
            continue;
        }
        let (sources, open) = (sources.clone(), open.clone());
        let spawned = named("operator-call", STACK, move || {
            converse(stream, &sources);
            open.fetch_sub(1, Ordering::SeqCst);
        });
        spawned.err().iter().for_each(|e| tracing::warn!("operator line: {e}"));
    })?;
    Ok(on)
}

/// One connection: each whole line is answered at once, in order, until the caller closes or is idle too long.
fn converse(mut stream: TcpStream, sources: &Sources) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE_FOR));
    let mut lines = Lines::default();
    let mut buffer = [0; 1024];
    let mut last = Instant::now();
    loop {
        let left = IDLE.saturating_sub(last.elapsed());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return;
        }
        let read = match stream.read(&mut buffer) {
            Ok(0) | Err(_) => {
                if lines.partial() {
                    let _ = stream.write_all(b"error call cut off\n");
                }
                return;
            }
            Ok(read) => read,
        };
        for call in lines.feed(&buffer[..read]) {
            last = Instant::now();
            let answer = match call {
                Ok(call) => sources.answer(call),
                Err(fault) => format!("error {fault}\n"),
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}
