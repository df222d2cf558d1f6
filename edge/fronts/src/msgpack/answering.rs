//! One call's answer, on its way from the core to its connection.

use super::codec;
use super::connection::{CallInProgress, Connection};
use super::sending::{BodyMessage, Delivery};
use foldmux_core::request::ResponseBody;
use foldmux_core::retry_after::Rejected;
use foldmux_core::{Responder, Response};
use std::sync::Arc;
use std::time::Instant;

/// Longest answer (bytes) that is queued as a copy, and that no thread waits with.
const MAX_SHORT_MESSAGE: usize = 4 * 1024;

/// One call's answer, owed to its connection.
pub(super) struct Answering {
    connection: Arc<Connection>,
    id: u32,
    deadline: Instant,
    /// Until the request has ended, answered or given up.
    in_progress: Option<CallInProgress>,
    done: bool,
}

impl Answering {
    pub fn new(
        connection: Arc<Connection>,
        id: u32,
        deadline: Instant,
        in_progress: CallInProgress,
    ) -> Answering {
        Answering {
            connection,
            id,
            deadline,
            in_progress: Some(in_progress),
            done: false,
        }
    }

    fn give(&mut self, response: Response) {
        self.done = true;
        // Before the client has its answer, and may send the next call.
        self.in_progress = None;
        let id = self.id;
        match response {
            Response::Served(body) => self.give_body(body),
            Response::NotModified => self.give_short(codec::same(id)),
            Response::Rejected(Rejected { retry_after }) => {
                self.give_short(codec::shed(id, retry_after))
            }
            Response::Failed => self.give_short(codec::error(id, "Fault", None)),
        }
    }

    /// Closes the call and sends its answer, unless the call was given up meanwhile: then none is owed.
    fn give_short(&self, message: Vec<u8>) {
        if self.connection.close(self.id).is_some() {
            self.connection.send_short(message);
        }
    }

    fn give_body(&self, body: ResponseBody) {
        let (id, ResponseBody { mut buffer, range }) = (self.id, body);
        let Some(range) = codec::served(id, &mut buffer, range) else {
            return self.give_short(codec::error(id, "Fault", Some(("why", "answer too long"))));
        };
        let message = BodyMessage { buffer, range };
        if message.range.len() <= MAX_SHORT_MESSAGE {
            let copy = message.bytes().to_vec();
            drop(message);
            return self.give_short(copy);
        }
        match self.connection.send_body(id, message, self.deadline) {
            Delivery::Done | Delivery::Unwanted => {}
            // The client is told at least that its answer does not come.
            Delivery::TooLate => {
                self.connection.count_replaced();
                let error = codec::error(id, "Fault", Some(("why", "read too slowly")));
                self.connection.send_short(error);
            }
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
