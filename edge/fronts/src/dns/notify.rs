//! NOTIFY (RFC 1996) to the operator's resolvers when a member drains, goes or starts anew. Answers have a time
//! to live of 0, but some resolvers keep them all the same: they are told at once, and told again until they
//! answer, within bounds. Changes that come together are one.

use crossbeam_channel::{Receiver, Sender};
use hickory_proto::op::{Message, MessageType, OpCode, Query};
use hickory_proto::rr::{Name, RecordType};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Between two tries, and the most of them: five fall within the 250 ms in which a drain must be heeded.
const AGAIN: Duration = Duration::from_millis(50);
const TRIES: u32 = 10;

/// Sent to from the desk: one word waits at most, as it says all.
pub type Bell = Sender<()>;

pub struct Notifier {
    pub zone: Name,
    pub resolvers: Vec<SocketAddr>,
    pub serial: Arc<AtomicU32>,
    pub bell: Receiver<()>,
}

impl Notifier {
    /// Runs until the bell is gone.
    pub fn run(self, socket: UdpSocket) {
        while self.bell.recv().is_ok() {
            self.tell(&socket);
        }
    }

    /// One change, told to all until each has answered or the tries are spent. Those that did not answer.
    pub fn tell(&self, socket: &UdpSocket) -> Vec<SocketAddr> {
        let serial = self.serial.load(Ordering::SeqCst);
        let mut left = self.resolvers.clone();
        let Ok(bytes) = self.message(serial).to_vec() else {
            return left;
        };
        for _ in 0..TRIES {
            if left.is_empty() || self.bell_rang() {
                break;
            }
            left.iter().for_each(|to| drop(socket.send_to(&bytes, to)));
            let until = Instant::now() + AGAIN;
            while let Some((message, from)) = receive(socket, until) {
                if message.id() == serial as u16 && message.op_code() == OpCode::Notify {
                    left.retain(|to| *to != from);
                }
                if left.is_empty() {
                    break;
                }
            }
        }
        if !left.is_empty() && !self.bell_rang() {
            tracing::warn!("NOTIFY {serial}: no answer from {left:?}");
        }
        left
    }

    /// A later change makes this one old: its round tells of both.
    fn bell_rang(&self) -> bool {
        !self.bell.is_empty()
    }

    fn message(&self, serial: u32) -> Message {
        let mut message = Message::new();
        message
            .set_id(serial as u16)
            .set_message_type(MessageType::Query)
            .set_op_code(OpCode::Notify);
        message.set_authoritative(true);
        message.add_query(Query::query(self.zone.clone(), RecordType::SOA));
        message
    }
}

fn receive(socket: &UdpSocket, until: Instant) -> Option<(Message, SocketAddr)> {
    let mut bytes = [0; 512];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        socket.set_read_timeout(Some(left)).ok()?;
        if let Ok((n, from)) = socket.recv_from(&mut bytes) {
            if let Ok(message) = Message::from_vec(&bytes[..n]) {
                return Some((message, from))
                    .filter(|(m, _)| m.message_type() == MessageType::Response);
            }
        }
    }
}
