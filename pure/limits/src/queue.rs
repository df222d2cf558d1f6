//! Requests that wait for capacity: first in, first out, with a bound on their number and on their wait.
//!
//! A queue that stays full adds latency to every request and serves none more. So when for a whole timeout each request
//! has waited for more than half of it, the bound on the wait is halved, as CoDel does for packets.

use crate::TimestampUs;
use std::collections::VecDeque;

/// A request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The request, as its owner numbers it.
    pub id: u64,
    /// When it began to wait.
    pub since: TimestampUs,
}

/// A bounded queue.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    capacity: usize,
    timeout_us: u64,
    requests: VecDeque<QueuedRequest>,
    /// Since when each request that left the queue had waited for more than half of the timeout.
    overloaded_since: Option<TimestampUs>,
}

impl AdmissionQueue {
    /// A queue of so many requests, each of which may wait so long (us).
    pub fn new(capacity: usize, timeout_us: u64) -> AdmissionQueue {
        AdmissionQueue {
            capacity,
            timeout_us,
            requests: VecDeque::new(),
            overloaded_since: None,
        }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request; false where the queue is full.
    pub fn push(&mut self, request: QueuedRequest) -> bool {
        if self.requests.len() >= self.capacity {
            return false;
        }
        self.requests.push_back(request);
        true
    }

    /// Removes the requests that have waited too long, and returns their ids.
    pub fn expire(&mut self, now: TimestampUs) -> Vec<u64> {
        let max_wait_us = self.max_wait_us(now);
        let mut expired = Vec::new();
        while let Some(request) = self.requests.front() {
            if now < request.since + max_wait_us {
                break;
            }
            expired.push(request.id);
            self.requests.pop_front();
        }
        expired
    }

    fn max_wait_us(&self, now: TimestampUs) -> u64 {
        let overloaded = self
            .overloaded_since
            .is_some_and(|since| now >= since + self.timeout_us);
        if overloaded {
            self.timeout_us / 2
        } else {
            self.timeout_us
        }
    }

    /// Removes the request that has waited longest, as there is capacity for it, and returns its id.
    pub fn pop(&mut self, now: TimestampUs) -> Option<u64> {
        let request = self.requests.pop_front()?;
        let waited_us = now.saturating_sub(request.since);
        if waited_us > self.timeout_us / 2 {
            self.overloaded_since.get_or_insert(now);
        } else {
            self.overloaded_since = None;
        }
        Some(request.id)
    }

    /// Removes all requests, for a queue that takes this one's place.
    pub fn drain(&mut self) -> Vec<QueuedRequest> {
        self.requests.drain(..).collect()
    }

    /// Removes a request that waits no more.
    pub fn remove(&mut self, id: u64) {
        self.requests.retain(|request| request.id != id);
    }
}

#[cfg(test)]
mod tests;
