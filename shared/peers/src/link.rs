//! One link: a queue with the thread that writes it, and a window with the thread that reads.

use crate::frame::{self, Envelope, Way};
use crate::wire::{self, DeadlineReader};
use crate::{Bounds, Counts, Incoming, Session};
use crossbeam_channel::{SendTimeoutError, Sender};
use foldmux_replicas::Peer;
use std::collections::VecDeque;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What is handed to the socket at once, about.
const WRITE: usize = 64 * 1024;
/// How often a reader that the receiver keeps waiting looks whether its link has ended.
const LOOK_EVERY: Duration = Duration::from_millis(50);

#[derive(Default)]
struct Inside {
    queue: VecDeque<(u8, Vec<u8>)>,
    bytes: usize,
    /// Frames handed over and not dealt with.
    out: usize,
    /// Something taken from the queue is being written.
    writing: bool,
    ended: bool,
}

pub struct Link {
    pub peer: Peer,
    pub session: Session,
    /// This end dialled.
    pub dialled: bool,
    stream: TcpStream,
    inside: Mutex<Inside>,
    /// Something to write, or the end.
    written: Condvar,
    /// Room in the window, or the end.
    room: Condvar,
    /// All that was queued is written, or the end.
    drained: Condvar,
}

/// A frame that is not dealt with yet: dropped, it makes room in its link's window.
#[derive(Default)]
pub struct Held(Option<Arc<Link>>);

impl std::fmt::Debug for Held {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Held")
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(link) = self.0.take() {
            link.lock().out -= 1;
            link.room.notify_all();
        }
    }
}

impl Link {
    pub fn new(peer: Peer, session: Session, dialled: bool, stream: TcpStream) -> Link {
        let (written, room, drained) = (Condvar::new(), Condvar::new(), Condvar::new());
        Link {
            peer,
            session,
            dialled,
            stream,
            inside: Mutex::default(),
            written,
            room,
            drained,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inside> {
        self.inside.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a message; not where it would pass a bound, or the link has ended.
    pub fn send(&self, part: u8, bytes: Vec<u8>, bounds: &Bounds) -> bool {
        let mut inside = self.lock();
        let size = bytes.len() + frame::AROUND;
        let room =
            inside.queue.len() < bounds.queue_frames && inside.bytes + size <= bounds.queue_bytes;
        if inside.ended || !room || bytes.len() > bounds.frame {
            return false;
        }
        inside.bytes += size;
        inside.queue.push_back((part, bytes));
        drop(inside);
        self.written.notify_one();
        true
    }

    pub fn end(&self) {
        self.lock().ended = true;
        self.written.notify_all();
        self.room.notify_all();
        self.drained.notify_all();
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    pub fn has_ended(&self) -> bool {
        self.lock().ended
    }

    /// Waits until all that was queued is with the socket.
    pub fn drain(&self, until: Instant) {
        let left = until.saturating_duration_since(Instant::now());
        let busy =
            |inside: &mut Inside| !inside.ended && (inside.writing || !inside.queue.is_empty());
        drop(self.drained.wait_timeout_while(self.lock(), left, busy));
    }

    /// Writes what is queued, and beats, until the link ends.
    pub fn write(&self, mut says: Way, bounds: &Bounds) {
        let mut bytes = Vec::new();
        while self.fill(&mut says, bounds, &mut bytes) {
            if wire::write(&self.stream, &bytes, Instant::now() + bounds.write).is_err() {
                break;
            }
            self.lock().writing = false;
            self.drained.notify_all();
            bytes.clear();
            bytes.shrink_to(WRITE);
        }
        self.end();
    }

    /// Waits for something to write; not once the link has ended.
    fn fill(&self, says: &mut Way, bounds: &Bounds, bytes: &mut Vec<u8>) -> bool {
        let inside = self.lock();
        let quiet = |inside: &mut Inside| inside.queue.is_empty() && !inside.ended;
        let waited = self.written.wait_timeout_while(inside, bounds.beat, quiet);
        let (mut inside, _) = waited.unwrap_or_else(PoisonError::into_inner);
        if inside.ended {
            return false;
        }
        let mut messages = Vec::new();
        let mut size = 0;
        while size < WRITE {
            let Some((part, message)) = inside.queue.pop_front() else {
                break;
            };
            size += message.len() + frame::AROUND;
            messages.push((part, message));
        }
        inside.bytes -= size;
        inside.writing = true;
        drop(inside);
        for (part, message) in &messages {
            says.seal(
                &Envelope::Message {
                    part: *part,
                    bytes: message,
                },
                bytes,
            );
        }
        if messages.is_empty() {
            says.seal(&Envelope::Beat, bytes);
        }
        true
    }

    /// Reads frames and hands them over, until the link ends.
    pub fn read(
        self: &Arc<Link>,
        mut reader: DeadlineReader,
        mut hears: Way,
        bounds: &Bounds,
        (counts, incoming): (&Counts, &Sender<Incoming>),
    ) {
        let mut frame = Vec::new();
        while self.wait_for_room(bounds.window) {
            reader.get_mut().until = Instant::now() + bounds.idle;
            if let Err(e) = frame::read(&mut reader, bounds.frame, &mut frame) {
                if e.kind() == io::ErrorKind::InvalidData {
                    counts.broken.one();
                }
                break;
            }
            let Ok(envelope) = hears.open(&frame) else {
                counts.broken.one();
                break;
            };
            if let Envelope::Message { part, bytes } = envelope {
                self.lock().out += 1;
                let held = Held(Some(self.clone()));
                let (from, session) = (self.peer.clone(), self.session);
                let heard = Incoming::Frame {
                    from,
                    session,
                    part,
                    bytes: bytes.to_vec(),
                    held,
                };
                if !self.hand(heard, incoming) {
                    break;
                }
            }
        }
        self.end();
    }

    fn wait_for_room(&self, window: usize) -> bool {
        let full = |inside: &mut Inside| inside.out >= window && !inside.ended;
        let inside = self
            .room
            .wait_while(self.lock(), full)
            .unwrap_or_else(PoisonError::into_inner);
        !inside.ended
    }

    /// Hands something over, unless the link ends or nobody receives any more.
    fn hand(&self, mut heard: Incoming, incoming: &Sender<Incoming>) -> bool {
        loop {
            match incoming.send_timeout(heard, LOOK_EVERY) {
                Ok(()) => return true,
                Err(SendTimeoutError::Timeout(back)) if !self.has_ended() => heard = back,
                Err(_) => return false,
            }
        }
    }
}
