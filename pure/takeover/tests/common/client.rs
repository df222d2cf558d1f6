//! The clients: each sends its request to a process, and to another one when it gets no answer.

use super::host::{request, Purpose};
use super::schedule::Scheduled;
use super::world::World;
use super::{LONGEST, MS};
use foldmux_takeover::*;

/// A client and its request.
pub struct Client {
    pub key: u8,
    pub until: u64,
    pub answer: Option<Answer>,
    /// Which of its asks is open.
    pub turn: u32,
}

impl World {
    pub fn client_asks(&mut self, client: usize, at: usize, again: bool) {
        let one = &mut self.clients[client];
        if one.answer.is_some() || self.now >= one.until {
            return;
        }
        one.turn += 1;
        let (key, left, turn) = (one.key, one.until - self.now, one.turn);
        self.later(700 * MS, Scheduled::Patience { client, turn, at });
        if self.processes[at].part.is_none() {
            return self.later(20 * MS, Scheduled::Elsewhere { client, turn, at });
        }
        let ticket = self.ticket(at, Purpose::Claim { client });
        self.ask(
            at,
            Command::Acquire {
                ticket,
                key: Key(key.into()),
                request: request(key),
                time_left: left,
                ownership_lost: again,
            },
        );
    }

    pub fn answer(&mut self, client: usize, answer: Answer) {
        self.clients[client].answer.get_or_insert(answer);
    }

    pub fn elsewhere(&mut self, at: usize, ticket: u64) -> Option<Purpose> {
        let purpose = self.purpose(at, ticket);
        if let Some(Purpose::Claim { client }) = purpose {
            let turn = self.clients[client].turn;
            self.later(50 * MS, Scheduled::Elsewhere { client, turn, at });
        }
        purpose
    }

    pub fn new_client(&mut self, key: u8, at: usize) {
        self.clients.push(Client {
            key,
            until: self.now + LONGEST,
            answer: None,
            turn: 0,
        });
        self.client_asks(self.clients.len() - 1, at, false);
    }
}
