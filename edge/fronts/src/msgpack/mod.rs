//! The platform's front: MessagePack-RPC over TCP. One thread reads a connection; whoever has an answer writes
//! it, whole and in one piece, when it is its turn.

use crate::connection_table::ConnectionSlot;
use answering::Answering;
use codec::{Asked, Call, Heard, Unread};
use connection::{CallLimits, Connection, OpenCall};
use end::{End, EndReason};
use foldmux::interface::Time;
use foldmux_core::log_throttle::LogThrottle;
use foldmux_core::metrics::Completion;
use foldmux_core::reason::Reason;
use foldmux_core::request::serving_budget;
use foldmux_core::{ClientRequest, Core};
use std::io::BufReader;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock, PoisonError, RwLock};
use std::time::{Duration, Instant};
use timed_reader::TimedReader;

mod answering;
pub mod codec;
mod connection;
mod end;
mod outbound;
mod read_timeout;
mod sending;
mod timed_reader;

/// Most open requests of one connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Requests that a client has given up may take up so many even shares of what the bound on open requests leaves: a client
/// that gives up all that it has open may ask anew at once.
const GIVEN_UP_SHARES: usize = 2;
/// Bytes that the system may hold for a client's connection: about one of the longest answers. More would only keep short
/// answers waiting behind what a slow client has not read.
pub const SEND_BUFFER_SIZE: usize = 208 * 1024;
/// During a shutdown, a request with less time than this before the process may be killed is rejected (us).
const MIN_TIME_LEFT_US: Time = 50_000;
/// Most bytes read from a connection at once.
const READ_BUFFER_SIZE: usize = 4096;

/// A class that clients may name.
#[derive(Clone)]
pub struct ClientClass {
    /// Its name.
    pub name: Arc<str>,
    /// Its number among the router's classes, held as long as clients may name it.
    pub slot: Arc<usize>,
    /// Its requests carry an idempotency key.
    pub keyed: bool,
    /// The longest that a client waits for one.
    pub longest: Time,
}

pub struct Front {
    pub core: Arc<Core>,
    /// The classes that clients may name now; a reload replaces them.
    pub classes: RwLock<Arc<Vec<ClientClass>>>,
    pub listed: Arc<AtomicBool>,
    /// Set on SIGTERM, when the process begins to leave: when SIGKILL may come. No request taken here is to be
    /// open then.
    pub leave_by: Arc<OnceLock<Instant>>,
    /// Callers of this front prove no identity.
    pub nobody: Arc<str>,
    /// Connections taken so far: the log names each by its number.
    pub connections: AtomicU64,
    /// How many lines the log has for connections that ended with requests open.
    pub end_lines: LogThrottle,
}

/// Why no more calls are read from a connection.
enum Stopped {
    /// The client closed, or nothing can be told to it any more.
    Gone(EndReason),
    /// Nothing more that it sends is taken: it can't be read, or it came too late.
    Unreadable(EndReason),
}

impl Front {
    /// The classes that clients may name now.
    pub fn classes(&self) -> Arc<Vec<ClientClass>> {
        self.classes
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Serves one connection until it ends; called on a thread of its own.
    pub fn serve(&self, slot: ConnectionSlot) {
        let number = self.connections.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(Connection::new(slot, self.leave_by.clone()));
        let client = connection.stream().peer_addr().ok();
        let stopped = self.read(&connection);
        // Also where our side has ended already: then the client has a while to close.
        let ends = matches!(stopped, Stopped::Unreadable(_));
        let discarded = match ends || connection.slot.ended_for().is_some() {
            true => connection.end_when_answered(),
            false => 0,
        };
        // Whatever is open yet, its client has closed: it wants none of its answers.
        let given_up = connection.close_all();
        given_up
            .iter()
            .for_each(|call| self.core.client_gone(&call.cancel));
        connection.cut();
        let given_up: Vec<u64> = given_up.iter().map(|call| call.request).collect();
        let (Stopped::Gone(reason) | Stopped::Unreadable(reason)) = stopped;
        let reason = connection.take_write_failure().unwrap_or(reason);
        let end = End {
            client,
            number,
            reason,
            given_up,
            replaced: connection.replaced(),
            discarded,
        };
        end.tell(&self.end_lines);
    }

    /// Reads messages and deals with each, until no more are taken.
    fn read(&self, connection: &Arc<Connection>) -> Stopped {
        let mut reader =
            BufReader::with_capacity(READ_BUFFER_SIZE, TimedReader::new(connection.clone()));
        let mut last = None;
        // After a number that does not count up, no more calls are taken: only what the client gives up is heard.
        let mut calls_taken = true;
        loop {
            let begun = calls_taken && !reader.buffer().is_empty();
            reader.get_mut().expect_message(begun, last.is_none());
            let heard = codec::read(&mut reader, &self.core.buffers);
            // Time that passed unseen is the client's all the same.
            let arrived = reader.get_ref().arrived();
            if connection.is_broken() {
                return Stopped::Gone(EndReason::NotTaken);
            }
            let number = number_of(&heard);
            if calls_taken && number.is_some() && number <= last {
                calls_taken = false;
                self.misnumbered(connection, number.unwrap_or_default());
            }
            last = number.max(last);
            match heard {
                Ok(Heard::Forget(ids)) => self.forget(connection, ids),
                Ok(_) if !calls_taken => {}
                Ok(Heard::Call(call)) => self.call(connection, call, arrived),
                Ok(Heard::Refused(id, why)) => self.unusable(connection, id, why),
                Ok(Heard::NoRoom(id, method)) => {
                    let classes = self.classes();
                    let class = classes.iter().find(|class| *class.name == *method);
                    self.shed(connection, id, class, Reason::NoRequestBodyBuffer);
                }
                Err(Unread::Garbled(id, why)) => {
                    // What follows can't be told apart any more. What was asked before is answered still.
                    let answered = id.filter(|_| calls_taken);
                    answered
                        .iter()
                        .for_each(|id| self.unusable(connection, *id, why));
                    return Stopped::Unreadable(EndReason::Unreadable(why));
                }
                Err(Unread::Over) if reader.get_ref().has_timed_out() => {
                    return Stopped::Unreadable(reader.get_mut().end_reason())
                }
                Err(Unread::Over) => return Stopped::Gone(reader.get_mut().end_reason()),
            }
        }
    }

    fn forget(&self, connection: &Connection, ids: Vec<u32>) {
        for cancel in ids.into_iter().filter_map(|id| connection.give_up(id)) {
            self.core.client_gone(&cancel);
            connection.slot.finish();
        }
    }

    fn unusable(&self, connection: &Connection, id: u32, why: &'static str) {
        self.core
            .metrics
            .record_completion(None, Completion::Malformed);
        connection.tell(codec::error(id, "Fault", Some(("why", why))));
    }

    /// A number that does not count up. Guards against two answers under one number, and against a client that
    /// can't tell which request an answer is for: the one that is open under it is given up, and answered so.
    fn misnumbered(&self, connection: &Connection, number: u32) {
        if let Some(cancel) = connection.give_up(number) {
            self.core.client_gone(&cancel);
            let error = codec::error(
                number,
                "Fault",
                Some(("why", "two requests under one number")),
            );
            connection.send_short(error);
        }
        connection.slot.end_when_idle();
    }

    fn call(&self, connection: &Arc<Connection>, call: Call, arrived: Instant) {
        let id = call.id;
        if call.method == "isWell" {
            let well = self.listed.load(Ordering::SeqCst) && self.leave_by.get().is_none();
            return connection.tell(codec::well(id, well));
        }
        let classes = self.classes();
        let Some(class) = classes.iter().find(|c| *c.name == *call.method) else {
            return self.unusable(connection, id, "no such class");
        };
        let asked = match call.asked {
            Ok(asked) if class.keyed && asked.token.is_none() => Err("no idempotency key"),
            asked => asked,
        };
        let asked = match asked {
            Ok(asked) => asked,
            Err(why) => return self.unusable(connection, id, why),
        };
        let Some(budget) = self.budget(class, &asked, arrived) else {
            return self.shed(connection, id, Some(class), Reason::ShuttingDown);
        };
        let cancel = self.core.new_cancel_handle();
        let open_call = OpenCall {
            cancel: cancel.clone(),
            request: asked.via,
        };
        let Some(in_progress) = connection.open(id, open_call, self.call_limits(connection)) else {
            return self.shed(connection, id, Some(class), Reason::ConnectionFull);
        };
        let request = ClientRequest {
            via_id: asked.via,
            class: class.slot.clone(),
            class_name: class.name.clone(),
            object: asked.object,
            part: asked.part,
            group: asked.group,
            size_kb: asked.size_kb,
            token: asked.token,
            etag: asked.got,
            body: call.body,
            arrived_at: arrived,
            budget: serving_budget(Duration::from_micros(budget)),
            front: "msgpack",
            caller: self.nobody.clone(),
            required_group: None,
        };
        let responder = Answering::new(
            connection.clone(),
            id,
            arrived + Duration::from_micros(budget),
            in_progress,
        );
        self.core.start(request, cancel, Box::new(responder));
    }

    /// How many calls a connection may have. Guards against one client's flood using up the bound on open requests: the last
    /// are for clients under their share, and calls that are given up at once get a share of what is left.
    fn call_limits(&self, connection: &Connection) -> CallLimits {
        let clients = connection.slot.busy_connections();
        let share = self.core.fair_share(clients).unwrap_or(usize::MAX);
        let share_of_rest = GIVEN_UP_SHARES * self.core.unopened_requests() / clients;
        CallLimits {
            open: share.min(MAX_OPEN_REQUESTS),
            given_up: share_of_rest.min(MAX_OPEN_REQUESTS),
        }
    }

    /// How long the client waits for this; none where the process must go too soon to begin it.
    fn budget(&self, class: &ClientClass, asked: &Asked, arrived: Instant) -> Option<Time> {
        let budget = ((asked.wait_ms * 1000.0) as Time).min(class.longest);
        let Some(by) = self.leave_by.get() else {
            return Some(budget);
        };
        // Leaving: what can't end before the process must go is given up at once, for another to take.
        let left = by.saturating_duration_since(arrived).as_micros() as Time;
        (left >= MIN_TIME_LEFT_US).then(|| budget.min(left))
    }

    /// Refuses a call that there is no room or no time for, before the core hears of it.
    fn shed(&self, connection: &Connection, id: u32, class: Option<&ClientClass>, reason: Reason) {
        self.core
            .metrics
            .record_completion(class.map(|class| &class.name), Completion::Shed(reason));
        connection.tell(codec::shed(id, self.core.retry_after()));
    }
}

/// The number under which a client waits for an answer to this.
fn number_of(heard: &Result<Heard, Unread>) -> Option<u32> {
    match heard {
        Ok(Heard::Call(call)) => Some(call.id),
        Ok(Heard::Refused(id, _) | Heard::NoRoom(id, _)) => Some(*id),
        Err(Unread::Garbled(id, _)) => *id,
        _ => None,
    }
}
