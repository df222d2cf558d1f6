//! The actions of one reply, as its frame.

use foldmux::interface::*;

/// Collects one reply.
#[derive(Default)]
pub struct Reply {
    body: Vec<u8>,
    records: u32,
}

impl Reply {
    pub fn push(&mut self, instance: u32, action: &Action) {
        let mut fields = instance.to_le_bytes().to_vec();
        let mut put = |bytes: &[u8]| fields.extend_from_slice(bytes);
        let code: u8 = match action {
            Action::Fetch(fetch) => {
                put(&fetch.id.0.to_le_bytes());
                put(&fetch.cache.0.to_le_bytes());
                put(&span(fetch.timeout));
                put(&fetch.source.0.to_le_bytes());
                put(&[fetch.retention_rank]);
                put(&span(fetch.max_age));
                put(&[fetch.collapse as u8
                    + 2 * fetch.only_if_cached as u8
                    + 8 * fetch.revalidate as u8]);
                76
            }
            Action::Reject { id, retry_after } => {
                put(&id.0.to_le_bytes());
                put(&span(*retry_after));
                65
            }
            Action::Fail { id } => {
                put(&id.0.to_le_bytes());
                66
            }
            Action::Cancel { id, attempt } => {
                put(&id.0.to_le_bytes());
                put(&[*attempt]);
                67
            }
            Action::StartTimer { after, token } => {
                put(&span(*after));
                put(&token.to_le_bytes());
                68
            }
            Action::HealthCheck { cache } => {
                put(&cache.0.to_le_bytes());
                69
            }
            Action::MessagePeers { message } => {
                put(&u16::MAX.to_le_bytes());
                put(&u16::try_from(message.len())
                    .unwrap_or(u16::MAX)
                    .to_le_bytes());
                put(&message[..message.len().min(u16::MAX as usize)]);
                71
            }
            Action::SubscribeMembers => {
                put(&[1]);
                74
            }
        };
        self.body.push(code);
        self.body.extend_from_slice(
            &u32::try_from(fields.len())
                .unwrap_or(u32::MAX)
                .to_le_bytes(),
        );
        self.body.extend_from_slice(&fields);
        self.records += 1;
    }

    pub fn into_frame(self) -> Vec<u8> {
        let mut frame = self.records.to_le_bytes().to_vec();
        frame.extend_from_slice(
            &u32::try_from(self.body.len())
                .unwrap_or(u32::MAX)
                .to_le_bytes(),
        );
        frame.extend_from_slice(&self.body);
        frame
    }
}

/// The wire's spans are 32 bits of microseconds.
fn span(time: Time) -> [u8; 4] {
    u32::try_from(time).unwrap_or(u32::MAX).to_le_bytes()
}
