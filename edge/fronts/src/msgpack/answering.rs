//! One call's answer, on its way from the core to its connection.

use super::codec;
use super::connection::{Connection, Patience};
use super::SLOW;
use foldmux_core::retry_after::Rejected;
use foldmux_core::{Responder, Response};
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

    fn give(&mut self, response: Response) {
        self.done = true;
        if self.connection.close(self.id).is_none() {
            // Forgotten meanwhile: no answer is owed.
            return;
        }
        self.write(response);
        self.connection.place.done();
    }

    fn write(&self, response: Response) {
        let (id, patience) = (self.id, Patience::Until(self.deadline + SLOW));
        match response {
            Response::Served(mut body) => {
                let message = codec::served(id, &mut body.buffer, body.range);
                match message {
                    Some(message) => self.connection.write(&body.buffer[message], patience),
                    None => {
                        let too_long = codec::error(id, "Fault", Some(("why", "answer too long")));
                        self.connection.write(&too_long, patience);
                    }
                }
            }
            Response::NotModified => self.connection.write(&codec::same(id), patience),
            Response::Rejected(Rejected { retry_after }) => self
                .connection
                .write(&codec::shed(id, retry_after), patience),
            Response::Failed => self
                .connection
                .write(&codec::error(id, "Fault", None), patience),
        }
    }
}

impl Responder for Answering {
    fn respond(mut self: Box<Self>, response: Response) {
        self.give(response);
    }
}

impl Drop for Answering {
    /// Guards against a request that ends without an answer, by a panic say: its client is told.
    fn drop(&mut self) {
        if !self.done {
            self.give(Response::Failed);
        }
    }
}
