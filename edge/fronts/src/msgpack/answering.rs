//! One call's answer, on its way from the core to its connection.

use super::codec;
use super::connection::{Connection, Patience};
use super::SLOW;
use foldmux_core::{Answer, Reply};
use std::sync::Arc;
use std::time::Instant;

/// One call's answer, owed to its connection.
pub(super) struct Answering {
    connection: Arc<Connection>,
    id: u32,
    deadline: Instant,
    done: bool,
}

impl Answering {
    pub fn new(connection: Arc<Connection>, id: u32, deadline: Instant) -> Answering {
        Answering {
            connection,
            id,
            deadline,
            done: false,
        }
    }

    fn give(&mut self, answer: Answer) {
        self.done = true;
        if self.connection.close(self.id).is_none() {
            // Forgotten meanwhile: no answer is owed.
            return;
        }
        self.write(answer);
        self.connection.place.done();
    }

    fn write(&self, answer: Answer) {
        let (id, patience) = (self.id, Patience::Until(self.deadline + SLOW));
        match answer {
            Answer::Served(mut served) => {
                let message = codec::served(id, &mut served.bytes, served.body);
                match message {
                    Some(message) => self.connection.write(&served.bytes[message], patience),
                    None => {
                        let too_long = codec::error(id, "Fault", Some(("why", "answer too long")));
                        self.connection.write(&too_long, patience);
                    }
                }
            }
            Answer::Same => self.connection.write(&codec::same(id), patience),
            Answer::Shed { wait } => self.connection.write(&codec::shed(id, wait), patience),
            Answer::Failed => self
                .connection
                .write(&codec::error(id, "Fault", None), patience),
        }
    }
}

impl Reply for Answering {
    fn answer(mut self: Box<Self>, answer: Answer) {
        self.give(answer);
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
