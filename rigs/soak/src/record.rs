//! What was seen of each request, on both sides of the program.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Served,
    /// Served, with bytes that no cache made for it.
    Spoilt,
    Refused,
    Failed,
}

/// Why a client waits for no answer any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gone {
    Forgot,
    Closed,
}

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The client's id for it.
    pub id: u64,
    pub keyed: bool,
    /// Its connection, by number.
    pub connection: u64,
    /// When its last byte was written.
    pub written: Instant,
    /// How long its client waits from then on.
    pub wait: Duration,
    /// All answers that came, and when.
    pub answers: Vec<(Answer, Instant)>,
    /// When its client gave it up.
    pub gone: Option<(Gone, Instant)>,
    /// When its connection ended without an answer to it.
    pub ended: Option<Instant>,
}

/// One attempt as a cache saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: u64,
    /// When it had arrived whole.
    pub at: Instant,
    /// The deadline that was passed on.
    pub wait: Duration,
    /// When its answer was written, or its end seen.
    pub until: Instant,
}

/// All that was seen.
#[derive(Default)]
pub struct Record {
    requests: Mutex<Vec<Request>>,
    attempts: Mutex<Vec<Attempt>>,
}

impl Record {
    /// Keeps what its client saw of a request.
    pub fn request(&self, request: Request) {
        self.requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(request);
    }

    /// Keeps what a cache saw of an attempt.
    pub fn attempt(&self, attempt: Attempt) {
        self.attempts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(attempt);
    }

    /// Everything, once all is over.
    pub fn take(&self) -> (Vec<Request>, Vec<Attempt>) {
        let requests =
            std::mem::take(&mut *self.requests.lock().unwrap_or_else(PoisonError::into_inner));
        let attempts =
            std::mem::take(&mut *self.attempts.lock().unwrap_or_else(PoisonError::into_inner));
        (requests, attempts)
    }
}
