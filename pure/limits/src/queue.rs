//! A queue of requests that wait for capacity: first in, first out, with bounds on their number and on their wait.
//!
//! A queue that stays full adds latency to every request and serves none more. So when for a whole timeout each request
//! has waited for more than half of it, the bound on the wait is halved, as CoDel does for packets.

use crate::TimestampUs;
use std::collections::VecDeque;

/// A request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Id of the request, chosen by its owner.
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
    /// Time since which each request that was popped had waited for more than half of the timeout.
    overloaded_since: Option<TimestampUs>,
}

impl AdmissionQueue {
    /// Creates an empty queue for `capacity` requests, each of which may wait for `timeout_us` microseconds.
    pub fn new(capacity: usize, timeout_us: u64) -> AdmissionQueue {
        AdmissionQueue {
            capacity,
            timeout_us,
            requests: VecDeque::new(),
            overloaded_since: None,
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request; returns false if the queue is full.
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

    /// Removes the request that has waited longest, because there is capacity for it, and returns its id.
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

    /// Removes all requests, for a queue that replaces this one.
    pub fn drain(&mut self) -> Vec<QueuedRequest> {
        self.requests.drain(..).collect()
    }

    /// Removes a request that was cancelled.
    pub fn remove(&mut self, id: u64) {
        self.requests.retain(|request| request.id != id);
    }
}

#[cfg(test)]
mod tests;
