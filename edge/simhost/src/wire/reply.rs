//! The actions of one reply, as its frame.

use foldmux::interface::{Action, Fetch, Time};

/// Codes of the records.
mod code {
    pub(super) const REJECT: u8 = 65;
    pub(super) const FAIL: u8 = 66;
    pub(super) const CANCEL: u8 = 67;
    pub(super) const START_TIMER: u8 = 68;
    pub(super) const HEALTH_CHECK: u8 = 69;
    pub(super) const MESSAGE_PEERS: u8 = 71;
    pub(super) const SUBSCRIBE_MEMBERS: u8 = 74;
    pub(super) const FETCH: u8 = 76;
}

/// Bits of a fetch's flags.
mod flag {
    pub(super) const COLLAPSE: u8 = 1;
    pub(super) const ONLY_IF_CACHED: u8 = 2;
    pub(super) const REVALIDATE: u8 = 8;
}

/// Addresses a message to all peers.
const ALL_PEERS: u16 = u16::MAX;
/// The subscription's form: the list first, then its changes.
const LIST_AND_CHANGES: u8 = 1;

/// Collects the actions of one reply.
#[derive(Default)]
pub struct Reply {
    body: Vec<u8>,
    records: u32,
}

impl Reply {
    /// Appends an action of a router.
    pub fn push(&mut self, instance: u32, action: &Action) {
        let mut fields = instance.to_le_bytes().to_vec();
        let code = encode(action, &mut fields);
        self.body.push(code);
        self.body.extend(saturated_len(&fields));
        self.body.extend_from_slice(&fields);
        self.records += 1;
    }

    /// The frame of all actions.
    pub fn into_frame(self) -> Vec<u8> {
        let mut frame = self.records.to_le_bytes().to_vec();
        frame.extend(saturated_len(&self.body));
        frame.extend_from_slice(&self.body);
        frame
    }
}

/// Appends an action's fields and gives its code.
fn encode(action: &Action, fields: &mut Vec<u8>) -> u8 {
    match action {
        Action::Fetch(fetch) => {
            encode_fetch(fetch, fields);
            code::FETCH
        }
        Action::Reject { id, retry_after } => {
            fields.extend(id.0.to_le_bytes());
            fields.extend(duration(*retry_after));
            code::REJECT
        }
        Action::Fail { id } => {
            fields.extend(id.0.to_le_bytes());
            code::FAIL
        }
        Action::Cancel { id, attempt } => {
            fields.extend(id.0.to_le_bytes());
            fields.push(*attempt);
            code::CANCEL
        }
        Action::StartTimer { after, token } => {
            fields.extend(duration(*after));
            fields.extend(token.to_le_bytes());
            code::START_TIMER
        }
        Action::HealthCheck { cache } => {
            fields.extend(cache.0.to_le_bytes());
            code::HEALTH_CHECK
        }
        Action::MessagePeers { message } => {
            let length = u16::try_from(message.len()).unwrap_or(u16::MAX);
            fields.extend(ALL_PEERS.to_le_bytes());
            fields.extend(length.to_le_bytes());
            fields.extend_from_slice(&message[..length as usize]);
            code::MESSAGE_PEERS
        }
        Action::SubscribeMembers => {
            fields.push(LIST_AND_CHANGES);
            code::SUBSCRIBE_MEMBERS
        }
    }
}

fn encode_fetch(fetch: &Fetch, fields: &mut Vec<u8>) {
    fields.extend(fetch.id.0.to_le_bytes());
    fields.extend(fetch.cache.0.to_le_bytes());
    fields.extend(duration(fetch.timeout));
    fields.extend(fetch.source.0.to_le_bytes());
    fields.push(fetch.retention_rank);
    fields.extend(duration(fetch.max_age));
    let flags = [
        (fetch.collapse, flag::COLLAPSE),
        (fetch.only_if_cached, flag::ONLY_IF_CACHED),
        (fetch.revalidate, flag::REVALIDATE),
    ];
    let set = flags.iter().filter(|(is_set, _)| *is_set);
    fields.push(set.fold(0, |bits, (_, flag)| bits | flag));
}

/// A duration on the wire: 32 bits of microseconds.
fn duration(time: Time) -> [u8; 4] {
    u32::try_from(time).unwrap_or(u32::MAX).to_le_bytes()
}

fn saturated_len(bytes: &[u8]) -> [u8; 4] {
    u32::try_from(bytes.len()).unwrap_or(u32::MAX).to_le_bytes()
}
