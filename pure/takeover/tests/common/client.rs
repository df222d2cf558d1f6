//! The clients: each sends its request to a process, and to another one if it gets no answer.

use super::request_thread::request;
use super::schedule::Scheduled;
use super::simulation::{Purpose, Simulation};
use super::{MAX_DEADLINE, MS};
use foldmux_takeover::*;

/// A client and its request.
pub struct Client {
    pub key: u8,
    pub deadline: u64,
    pub answer: Option<Answer>,
    /// How often it has sent the request. Timers of earlier sendings are ignored.
    pub sent: u32,
}

impl Simulation {
    pub fn send_request(&mut self, client: usize, at: usize, ownership_lost: bool) {
        let sender = &mut self.clients[client];
        if sender.answer.is_some() || self.now >= sender.deadline {
            return;
        }
        sender.sent += 1;
        let (key, time_left, sent) = (sender.key, sender.deadline - self.now, sender.sent);
        self.schedule(700 * MS, Scheduled::ClientTimeout { client, sent, at });
        if self.processes[at].takeover.is_none() {
            return self.schedule(20 * MS, Scheduled::ClientRetry { client, sent, at });
        }
        let ticket = self.new_ticket(at, Purpose::Acquire { client });
        self.command(
            at,
            Command::Acquire {
                ticket,
                key: Key(key.into()),
                request: request(key),
                time_left,
                ownership_lost,
            },
        );
    }

    pub fn answer(&mut self, client: usize, answer: Answer) {
        self.clients[client].answer.get_or_insert(answer);
    }

    /// Handles an event that rejects a command. A client then retries at another process.
    pub fn retry_elsewhere(&mut self, at: usize, ticket: u64) -> Option<Purpose> {
        let purpose = self.take_purpose(at, ticket);
        if let Some(Purpose::Acquire { client }) = purpose {
            let sent = self.clients[client].sent;
            self.schedule(50 * MS, Scheduled::ClientRetry { client, sent, at });
        }
        purpose
    }

    pub fn new_client(&mut self, key: u8, at: usize) {
        self.clients.push(Client {
            key,
            deadline: self.now + MAX_DEADLINE,
            answer: None,
            sent: 0,
        });
        self.send_request(self.clients.len() - 1, at, false);
    }
}
