//! The platform's front: MessagePack-RPC over TCP. One thread reads a connection; whoever has an answer writes
//! it, whole and in one piece, under the connection's lock.

pub mod codec;

use crate::clock::span;
use crate::core::request::Slot;
use crate::core::{Answer, Core, Inquiry, Reply};
use codec::{Call, Heard, Unread};
use foldmux::interface::Time;
use std::collections::HashMap;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Open requests that one connection carries.
const OPEN: usize = 32;
/// Taken off what a client says it waits (us): the request's way here and the answer's way back.
const WAYS: Time = 30_000;
/// How long a client may leave an answer unread beyond its own deadline before its connection is closed.
const SLOW: Duration = Duration::from_millis(500);
/// A connection that neither asks nor awaits anything for so long is closed.
const IDLE: Duration = Duration::from_secs(30);

pub struct Front {
    pub core: Arc<Core>,
    pub classes: Vec<Arc<str>>,
    pub listed: Arc<AtomicBool>,
    pub leaving: Arc<AtomicBool>,
}

impl Front {
    /// Serves one connection until it ends; called on a thread of its own.
    pub fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let connection = Arc::new(Connection::new(stream));
        let mut reader = BufReader::with_capacity(4096, Patient(connection.clone()));
        loop {
            let heard = codec::read(&mut reader, &self.core.buffers);
            let arrived = Instant::now();
            match heard {
                Ok(Heard::Call(call)) => self.call(&connection, call, arrived),
                Ok(Heard::Forget(ids)) => {
                    ids.into_iter().filter_map(|id| connection.close(id)).for_each(|s| self.core.leave(&s));
                }
                Ok(Heard::Refused(id, why)) => connection.write_error(id, "Fault", Some(why)),
                Err(Unread::Garbled(id, why)) => {
                    // What follows can't be told apart any more. What was asked before is answered still.
                    id.iter().for_each(|id| connection.write_error(*id, "Fault", Some(why)));
                    return connection.end_when_answered();
                }
                Err(Unread::Over) => break,
            }
        }
        // The client closed: it wants none of its answers.
        connection.close_all().into_iter().for_each(|slot| self.core.leave(&slot));
        let _ = connection.stream.shutdown(Shutdown::Both);
    }

    fn call(&self, connection: &Arc<Connection>, call: Call, arrived: Instant) {
        let id = call.id;
        if call.method == "isWell" {
            let well = self.listed.load(Ordering::SeqCst) && !self.leaving.load(Ordering::SeqCst);
            return connection.write(&codec::well(id, well), arrived + SLOW);
        }
        let Some(class) = self.classes.iter().position(|c| **c == *call.method) else {
            return connection.write_error(id, "Fault", Some("no such class"));
        };
        let asked = match call.asked {
            Ok(asked) => asked,
            Err(why) => return connection.write_error(id, "Fault", Some(why)),
        };
        let budget = (asked.wait_ms as Time).saturating_mul(1000);
        let deadline = arrived + span(budget);
        let slot = self.core.slot();
        match connection.open(id, &slot) {
            Opened::Yes => {}
            Opened::Full => {
                return connection.write(&codec::shed(id, self.core.shed_wait), deadline + SLOW);
            }
            Opened::Twice => return,
        }
        let inquiry = Inquiry {
            via: asked.via,
            class,
            class_name: self.classes[class].clone(),
            object: asked.object,
            object_text: asked.object_text,
            part: asked.part,
            group: asked.group,
            size_kb: asked.size_kb,
            token: asked.token,
            got: asked.got,
            body: call.body,
            arrived,
            budget: budget.saturating_sub(WAYS).max(1),
        };
        let reply = Answering { connection: connection.clone(), id, deadline, done: false };
        self.core.start(inquiry, slot, Box::new(reply));
    }
}

enum Opened {
    Yes,
    Full,
    Twice,
}

struct Connection {
    stream: TcpStream,
    open: Mutex<Calls>,
    writing: Mutex<()>,
}

#[derive(Default)]
struct Calls {
    slots: HashMap<u32, Arc<Slot>>,
    /// Ends with its last open call.
    ending: bool,
}

impl Connection {
    fn new(stream: TcpStream) -> Connection {
        Connection { stream, open: Mutex::default(), writing: Mutex::default() }
    }

    fn calls(&self) -> MutexGuard<'_, Calls> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open(&self, id: u32, slot: &Arc<Slot>) -> Opened {
        let mut calls = self.calls();
        if calls.slots.contains_key(&id) {
            // Guards against two answers with one id: the first call's will do.
            return Opened::Twice;
        }
        if calls.slots.len() >= OPEN {
            return Opened::Full;
        }
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
        self.calls().slots.is_empty()
    }

    fn end_when_answered(&self) {
        let mut calls = self.calls();
        calls.ending = true;
        let how = if calls.slots.is_empty() { Shutdown::Both } else { Shutdown::Read };
        let _ = self.stream.shutdown(how);
    }

    /// After an answer: a connection that was to end with its last one ends.
    fn answered(&self) {
        let calls = self.calls();
        if calls.ending && calls.slots.is_empty() {
            let _ = self.stream.shutdown(Shutdown::Both);
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
            let wrote = self.stream.set_write_timeout(Some(time)).and_then(|()| (&self.stream).write(left));
            match wrote {
                Ok(n) if n > 0 => left = &left[n..],
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => {
                    let _ = self.stream.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }
}

/// Reads from a connection, and ends it where it has been idle too long.
struct Patient(Arc<Connection>);

impl Read for Patient {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        loop {
            self.0.stream.set_read_timeout(Some(IDLE))?;
            match (&self.0.stream).read(buffer) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if self.0.idle() {
                        return Ok(0);
                    }
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
