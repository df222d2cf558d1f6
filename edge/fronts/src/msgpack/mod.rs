//! The platform's front: MessagePack-RPC over TCP. One thread reads a connection; whoever has an answer writes
//! it, whole and in one piece, under the connection's lock.

pub mod codec;

use crate::places::Place;
use codec::{Call, Heard, Unread};
use foldmux::interface::Time;
use foldmux_core::clock::span;
use foldmux_core::request::Slot;
use foldmux_core::tally::End;
use foldmux_core::{Answer, Core, Inquiry, Reply};
use std::collections::HashMap;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::{Duration, Instant};

/// Open requests that one connection carries.
const OPEN: usize = 32;
/// Taken off what a client says it waits (us): the request's way here and the answer's way back.
const WAYS: Time = 30_000;
/// How long a client may leave an answer unread beyond its own deadline before its connection is closed.
const SLOW: Duration = Duration::from_millis(500);
/// A connection that neither asks nor awaits anything for so long is closed; clients do so after 4 s.
const IDLE: Duration = Duration::from_secs(6);
/// For the first message, and for the rest of any message that has begun: a client is owed a word or a close
/// within 3 s, whatever it sends.
const HALF: Duration = Duration::from_millis(2_500);
/// Leaving, a request with less time than this before the process must go is refused rather than begun (us).
const LEAST_LEFT: Time = 50_000;

/// A class as it is served here.
#[derive(Clone)]
pub struct Taken {
    pub name: Arc<str>,
    /// Its place among the module's classes, held as long as it may be named here.
    pub place: Arc<usize>,
    /// Its requests carry an idempotency key.
    pub keyed: bool,
    /// The longest that a client waits for one.
    pub longest: Time,
}

pub struct Front {
    pub core: Arc<Core>,
    /// The classes that clients may name now; a reload puts others in their place.
    pub classes: RwLock<Arc<Vec<Taken>>>,
    pub listed: Arc<AtomicBool>,
    /// Set on SIGTERM, when the process begins to leave: when SIGKILL may come. No request taken here is to be
    /// open then.
    pub leave_by: Arc<OnceLock<Instant>>,
    /// Callers of this front prove no identity.
    pub nobody: Arc<str>,
}

impl Front {
    /// Serves one connection until it ends; called on a thread of its own.
    pub fn serve(&self, place: Place) {
        let _ = place.stream.set_nodelay(true);
        let connection = Arc::new(Connection::new(place));
        let mut reader = BufReader::with_capacity(4096, Patient::new(connection.clone()));
        let mut last = None;
        loop {
            let begun = !reader.buffer().is_empty();
            reader.get_mut().next(begun, last.is_some());
            let heard = codec::read(&mut reader, &self.core.buffers);
            let arrived = Instant::now();
            let number = match &heard {
                Ok(Heard::Call(call)) => Some(call.id),
                Ok(Heard::Refused(id, _)) => Some(*id),
                Err(Unread::Garbled(id, _)) => *id,
                _ => None,
            };
            if number.is_some() && number <= last {
                return self.misnumbered(&connection, number.unwrap_or_default());
            }
            last = number.or(last);
            match heard {
                Ok(Heard::Call(call)) => self.call(&connection, call, arrived),
                Ok(Heard::Forget(ids)) => {
                    for slot in ids.into_iter().filter_map(|id| connection.close(id)) {
                        self.core.leave(&slot);
                        connection.answered();
                    }
                }
                Ok(Heard::Refused(id, why)) => self.unusable(&connection, id, why),
                Err(Unread::Garbled(id, why)) => {
                    // What follows can't be told apart any more. What was asked before is answered still.
                    id.iter().for_each(|id| self.unusable(&connection, *id, why));
                    return connection.end_when_answered();
                }
                Err(Unread::Over) if reader.get_ref().late => return connection.end_when_answered(),
                // Leaving, the process reads no more: what was asked is answered, then the connection ends.
                Err(Unread::Over) if self.leave_by.get().is_some() => return connection.end_when_answered(),
                Err(Unread::Over) => break,
            }
        }
        // The client closed: it wants none of its answers.
        connection.close_all().into_iter().for_each(|slot| self.core.leave(&slot));
        let _ = connection.stream().shutdown(Shutdown::Both);
    }

    fn unusable(&self, connection: &Connection, id: u32, why: &'static str) {
        self.core.tally.end(None, End::Unusable);
        connection.write_error(id, "Fault", Some(why));
    }

    /// A number that does not count up. Guards against two answers under one number, and against a client that
    /// can't tell which request an answer is for: the one that is open under it is given up, and answered so.
    fn misnumbered(&self, connection: &Connection, number: u32) {
        if let Some(slot) = connection.close(number) {
            self.core.leave(&slot);
            connection.write_error(number, "Fault", Some("two requests under one number"));
            connection.answered();
        }
        connection.end_when_answered();
    }

    fn call(&self, connection: &Arc<Connection>, call: Call, arrived: Instant) {
        let id = call.id;
        if call.method == "isWell" {
            let well = self.listed.load(Ordering::SeqCst) && self.leave_by.get().is_none();
            return connection.write(&codec::well(id, well), arrived + SLOW);
        }
        let classes = self.classes.read().unwrap_or_else(PoisonError::into_inner).clone();
        let Some(taken) = classes.iter().find(|c| *c.name == *call.method) else {
            return self.unusable(connection, id, "no such class");
        };
        let asked = match call.asked {
            Ok(asked) if taken.keyed && asked.token.is_none() => Err("no idempotency key"),
            asked => asked,
        };
        let asked = match asked {
            Ok(asked) => asked,
            Err(why) => return self.unusable(connection, id, why),
        };
        let mut budget = ((asked.wait_ms * 1000.0) as Time).min(taken.longest);
        if let Some(by) = self.leave_by.get() {
            // Leaving: what can't end before the process must go is given up at once, for another to take.
            let left = by.saturating_duration_since(arrived).as_micros() as Time;
            if left < LEAST_LEFT {
                self.core.tally.end(Some(&taken.name), End::Shed);
                return connection.write(&codec::shed(id, self.core.shed_wait), arrived + SLOW);
            }
            budget = budget.min(left);
        }
        let deadline = arrived + span(budget);
        let slot = self.core.slot();
        // Guards against one client's flood taking all places for requests: the last are for those under their share.
        let most = self.core.share(connection.place.among()).map_or(OPEN, |share| share.min(OPEN));
        match connection.open(id, &slot, most) {
            Opened::Yes => {}
            Opened::Full => {
                self.core.tally.end(Some(&taken.name), End::Shed);
                return connection.write(&codec::shed(id, self.core.shed_wait), deadline + SLOW);
            }
            Opened::Ending => return,
        }
        let inquiry = Inquiry {
            via: asked.via,
            class: taken.place.clone(),
            class_name: taken.name.clone(),
            object: asked.object,
            part: asked.part,
            group: asked.group,
            size_kb: asked.size_kb,
            token: asked.token,
            got: asked.got,
            body: call.body,
            arrived,
            budget: budget.saturating_sub(WAYS).max(1),
            front: "msgpack",
            caller: self.nobody.clone(),
            within: None,
        };
        let reply = Answering { connection: connection.clone(), id, deadline, done: false };
        self.core.start(inquiry, slot, Box::new(reply));
    }
}

enum Opened {
    Yes,
    Full,
    /// The connection was told to make way for another.
    Ending,
}

struct Connection {
    place: Place,
    open: Mutex<Calls>,
    writing: Mutex<()>,
}

#[derive(Default)]
struct Calls {
    slots: HashMap<u32, Arc<Slot>>,
    /// Calls whose answers are not written yet, nor forgotten.
    owed: usize,
    /// Ends when nothing is owed any more.
    ending: bool,
}

impl Connection {
    fn new(place: Place) -> Connection {
        Connection { place, open: Mutex::default(), writing: Mutex::default() }
    }

    fn stream(&self) -> &TcpStream {
        &self.place.stream
    }

    fn calls(&self) -> MutexGuard<'_, Calls> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open(&self, id: u32, slot: &Arc<Slot>, most: usize) -> Opened {
        let mut calls = self.calls();
        if calls.slots.len() >= most {
            return Opened::Full;
        }
        if calls.owed == 0 && !self.place.busy() {
            return Opened::Ending;
        }
        calls.owed += 1;
        calls.slots.insert(id, slot.clone());
        Opened::Yes
    }

    /// Whoever gets the slot out owes the call's end: its answer, or word that the client left.
    fn close(&self, id: u32) -> Option<Arc<Slot>> {
        self.calls().slots.remove(&id)
    }

    fn close_all(&self) -> Vec<Arc<Slot>> {
        self.calls().slots.drain().map(|(_, slot)| slot).collect()
    }

    fn idle(&self) -> bool {
        self.calls().owed == 0
    }

    fn end_when_answered(&self) {
        let mut calls = self.calls();
        calls.ending = true;
        let how = if calls.owed == 0 { Shutdown::Both } else { Shutdown::Read };
        let _ = self.stream().shutdown(how);
    }

    /// After an answer, or word that none is wanted: a connection that was to end with its last one ends.
    fn answered(&self) {
        let mut calls = self.calls();
        calls.owed -= 1;
        if calls.owed == 0 {
            self.place.idle();
            if calls.ending {
                let _ = self.stream().shutdown(Shutdown::Both);
            }
        }
    }

    fn write_error(&self, id: u32, word: &str, why: Option<&str>) {
        self.write(&codec::error(id, word, why.map(|w| ("why", w))), Instant::now() + SLOW);
    }

    /// Writes one whole message. A client that does not take it in time loses its connection: the rest of a
    /// cut message would be read as something else.
    fn write(&self, message: &[u8], until: Instant) {
        let _turn = self.writing.lock().unwrap_or_else(PoisonError::into_inner);
        let mut left = message;
        while !left.is_empty() {
            let time = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            let wrote = self.stream().set_write_timeout(Some(time)).and_then(|()| self.stream().write(left));
            match wrote {
                Ok(n) if n > 0 => left = &left[n..],
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => {
                    let _ = self.stream().shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }
}

/// Reads from a connection. Guards against one that says nothing, or sends half a message, keeping its place.
struct Patient {
    connection: Arc<Connection>,
    /// The message has begun.
    begun: bool,
    until: Instant,
    /// It did not come whole in time.
    late: bool,
}

impl Patient {
    fn new(connection: Arc<Connection>) -> Patient {
        Patient { connection, begun: false, until: Instant::now(), late: false }
    }

    /// A message is waited for; some of it may be here already.
    fn next(&mut self, begun: bool, asked: bool) {
        self.begun = begun;
        self.until = Instant::now() + if begun || !asked { HALF } else { IDLE };
    }
}

impl Read for Patient {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        loop {
            let now = Instant::now();
            if now >= self.until {
                if !self.begun && !self.connection.idle() {
                    self.until = now + IDLE;
                    continue;
                }
                self.late = true;
                return Err(ErrorKind::TimedOut.into());
            }
            let mut stream = self.connection.stream();
            stream.set_read_timeout(Some(self.until - now))?;
            match stream.read(buffer) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Ok(n) if n > 0 && !self.begun => {
                    (self.begun, self.until) = (true, Instant::now() + HALF);
                    return Ok(n);
                }
                read => return read,
            }
        }
    }
}

/// One call's answer, owed to its connection.
struct Answering {
    connection: Arc<Connection>,
    id: u32,
    deadline: Instant,
    done: bool,
}

impl Reply for Answering {
    fn answer(mut self: Box<Self>, answer: Answer) {
        self.give(answer);
    }
}

impl Answering {
    fn give(&mut self, answer: Answer) {
        self.done = true;
        if self.connection.close(self.id).is_none() {
            // Forgotten meanwhile: no answer is owed.
            return;
        }
        let until = self.deadline + SLOW;
        match answer {
            Answer::Served(mut served) => {
                let message = codec::served(self.id, &mut served.bytes, served.body);
                match message {
                    Some(message) => self.connection.write(&served.bytes[message], until),
                    None => self.connection.write_error(self.id, "Fault", Some("answer too long")),
                }
            }
            Answer::Same => self.connection.write(&codec::same(self.id), until),
            Answer::Shed { wait } => self.connection.write(&codec::shed(self.id, wait), until),
            Answer::Failed => self.connection.write_error(self.id, "Fault", None),
        }
        self.connection.answered();
    }
}

impl Drop for Answering {
    /// Guards against a request that ends without an answer, by a panic say: its client is told.
    fn drop(&mut self) {
        if !self.done {
            self.give(Answer::Failed);
        }
    }
}
