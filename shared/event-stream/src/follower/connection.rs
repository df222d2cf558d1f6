//! A connection to the journal service and the thread that polls on it.
//!
//! The thread blocks in the dial, the write and the read; whoever drops the [`Connection`] ends each of them at once.

use super::error::PollError;
use super::response::read_batch;
use crate::journal::Entry;
use crossbeam_channel::{bounded, select, Receiver, Sender};
use foldmux_http1::io::{quiet, write_all};
use foldmux_http1::BodyReader;
use foldmux_long_poll::PollId;
use foldmux_sockets::dial::dial;
use std::cell::Cell;
use std::io::{self, BufReader, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Stack of a thread that polls (bytes).
const STACK_BYTES: usize = 256 * 1024;
/// Longest time for which a poll makes no progress at all: far longer than any poll is of use, so that only those end by
/// it that nothing else ends.
const MAX_SILENCE: Duration = Duration::from_secs(60);
/// The status of a response with events.
const OK: u16 = 200;

/// Requests the events after number `position`. If there are none, the service responds after `wait`.
#[derive(Clone, Debug)]
pub(super) struct PollRequest {
    pub(super) id: PollId,
    pub(super) address: SocketAddr,
    pub(super) position: u64,
    pub(super) wait: Duration,
    /// The events are of use only all at once.
    pub(super) whole: bool,
    /// Longest text of events that is held before it is reported (bytes).
    pub(super) max_batch_bytes: usize,
    /// Number of the last event that is applied by now, for all polls. Events up to it are not held.
    pub(super) applied: Arc<AtomicU64>,
}

/// What became of a poll.
#[derive(Debug)]
pub(super) enum PollOutcome {
    /// Events of a long response, of which more is to come.
    Events(Vec<Entry>),
    /// The response is complete.
    Answered {
        /// The events that were not reported yet.
        entries: Vec<Entry>,
        /// Number of the last event that the response tells of.
        last: u64,
        /// The connection may carry another poll.
        reusable: bool,
    },
    /// There is no complete response. The connection has ended.
    Failed(PollError),
}

/// An outcome, and the poll that had it.
#[derive(Debug)]
pub(super) struct PollReport {
    pub(super) id: PollId,
    pub(super) outcome: PollOutcome,
}

/// A connection to the service. Dropping it ends the poll on it, and its thread.
pub(super) struct Connection {
    requests: Sender<PollRequest>,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    stream: Mutex<StreamState>,
    /// Bytes of responses that have come.
    received: AtomicU64,
}

#[derive(Default)]
struct StreamState {
    stream: Option<Arc<TcpStream>>,
    is_cancelled: bool,
}

impl Connection {
    /// Starts the thread, which dials with the first poll.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub(super) fn start(reports: Sender<PollReport>) -> io::Result<Connection> {
        // One poll at a time.
        let (requests, polls) = bounded(1);
        let shared = Arc::new(Shared::default());
        let connection = Connection {
            requests,
            shared: shared.clone(),
        };
        thread::Builder::new()
            .name("journal poll".to_string())
            .stack_size(STACK_BYTES)
            .spawn(move || shared.run(&polls, &reports))?;
        Ok(connection)
    }

    /// Sends a poll; its outcome is reported. The connection must have no other poll.
    pub(super) fn send(&self, request: PollRequest) {
        let _ = self.requests.try_send(request);
    }

    /// Bytes of responses that have come so far.
    pub(super) fn received(&self) -> u64 {
        self.shared.received.load(Ordering::Relaxed)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.shared.stream();
        state.is_cancelled = true;
        if let Some(stream) = state.stream.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Shared {
    fn stream(&self) -> MutexGuard<'_, StreamState> {
        self.stream.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, polls: &Receiver<PollRequest>, reports: &Sender<PollReport>) {
        for request in polls {
            let report_part = |entries| {
                let outcome = PollOutcome::Events(entries);
                let id = request.id;
                report(PollReport { id, outcome }, polls, reports)
            };
            let outcome = self.poll(&request, &report_part);
            let outcome = outcome.unwrap_or_else(PollOutcome::Failed);
            let is_reusable = matches!(outcome, PollOutcome::Answered { reusable: true, .. });
            let id = request.id;
            if !report(PollReport { id, outcome }, polls, reports) || !is_reusable {
                return;
            }
        }
    }

    fn poll(
        &self,
        request: &PollRequest,
        report_part: &ReportPart,
    ) -> Result<PollOutcome, PollError> {
        let stream = self.connected(request.address)?;
        let deadline = Instant::now() + MAX_SILENCE;
        write_all(&stream, &[request.render().as_bytes()], deadline)
            .map_err(|unwritten| PollError::Transport(unwritten.cause))?;
        let body = BodyReader::read_head(&stream, deadline, MAX_SILENCE, &self.received);
        let body = body.map_err(PollError::Transport)?;
        if body.status() != OK {
            return Err(PollError::Status(body.status()));
        }
        read_events(body, request, report_part)
    }

    /// The present connection, or a new one. One that the service has closed is replaced, and so is one with unread
    /// bytes: they belong to the response of an earlier request.
    fn connected(&self, address: SocketAddr) -> Result<Arc<TcpStream>, PollError> {
        if let Some(stream) = self.stream().stream.clone().filter(|stream| quiet(stream)) {
            return Ok(stream);
        }
        let register = |dialled: &Arc<TcpStream>| {
            let mut state = self.stream();
            state.stream = Some(dialled.clone());
            !state.is_cancelled
        };
        dial(address, MAX_SILENCE, &register).map_err(PollError::Connect)
    }
}

/// Sends a report, unless the connection is dropped meanwhile; whether it was sent.
fn report(report: PollReport, polls: &Receiver<PollRequest>, reports: &Sender<PollReport>) -> bool {
    select! {
        send(reports, report) -> sent => sent.is_ok(),
        // There is no next poll before this one is reported: the sender is gone.
        recv(polls) -> _ => false,
    }
}

/// Reports events of a response that goes on; false where nobody wants them.
type ReportPart<'a> = dyn Fn(Vec<Entry>) -> bool + 'a;

/// Decodes the events of a response, and reports those of a long one before it ends.
fn read_events(
    body: BodyReader<'_>,
    request: &PollRequest,
    report_part: &ReportPart,
) -> Result<PollOutcome, PollError> {
    // A batch, and the event that completes it.
    let max_unreported = 2 * request.max_batch_bytes;
    let unreported = Cell::new(0);
    let mut reader = BufReader::new(BoundedReader {
        body,
        max_unreported,
        unreported: &unreported,
    });
    let (mut entries, mut batch_bytes, mut last) = (Vec::new(), 0, 0);
    let position = read_batch(&mut reader, &mut |entry, bytes| {
        last = entry.pos.max(last);
        if !request.whole && entry.pos <= request.applied.load(Ordering::Relaxed) {
            unreported.set(0);
            return true;
        }
        batch_bytes += bytes;
        entries.push(entry);
        if request.whole || batch_bytes < request.max_batch_bytes {
            return true;
        }
        batch_bytes = 0;
        unreported.set(0);
        report_part(std::mem::take(&mut entries))
    });
    let body = &reader.get_ref().body;
    match (position, body.broken()) {
        (Ok(position), _) => Ok(PollOutcome::Answered {
            entries,
            last: position.max(last),
            reusable: body.is_reusable(),
        }),
        (Err(_), Some(broken)) => Err(PollError::Transport(broken)),
        (Err(_), None) if unreported.get() >= max_unreported => {
            Err(PollError::TooLong(max_unreported))
        }
        (Err(error), None) => Err(PollError::Body(error.to_string())),
    }
}

/// Reads a body as far as events are reported; beyond the bound it fails.
struct BoundedReader<'a, 'b> {
    body: BodyReader<'a>,
    max_unreported: usize,
    /// Bytes that were read since events were last reported.
    unreported: &'b Cell<usize>,
}

impl Read for BoundedReader<'_, '_> {
    fn read(&mut self, to: &mut [u8]) -> io::Result<usize> {
        let left = self.max_unreported.saturating_sub(self.unreported.get());
        if left == 0 {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        let most = left.min(to.len());
        let count = self.body.read(&mut to[..most])?;
        self.unreported.set(self.unreported.get() + count);
        Ok(count)
    }
}

impl PollRequest {
    fn render(&self) -> String {
        let PollRequest {
            address, position, ..
        } = self;
        let wait = self.wait.as_millis();
        format!("GET /journal?tail={position}&max_wait={wait} HTTP/1.1\r\nHost: {address}\r\n\r\n")
    }
}
