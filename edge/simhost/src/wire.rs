//! The simulator's frames: batches of events in, replies of actions out. Little-endian, no padding.

mod reply;

use foldmux::interface::*;
pub use reply::Reply;
use std::fmt;

/// What is wrong with a frame: where, and why.
#[derive(Debug, PartialEq)]
pub struct Malformed {
    pub record: Option<u32>,
    pub offset: usize,
    pub why: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.record {
            Some(n) => write!(
                f,
                "malformed frame: record {n}, offset {}: {}",
                self.offset, self.why
            ),
            None => write!(
                f,
                "malformed frame: header, offset {}: {}",
                self.offset, self.why
            ),
        }
    }
}

pub const HEADER: usize = 16;

#[derive(Debug)]
pub enum Incoming {
    Start {
        seed: u64,
        settings: String,
    },
    Stop,
    Event(Event),
    /// The end of an attempt at a cache, with the load report that came along, if one did.
    Ended(AttemptReport, CacheId, Vec<f32>),
    /// The end of a probe.
    Probed {
        cache: CacheId,
        ok: bool,
        elapsed: Time,
        report: Vec<f32>,
    },
}

/// The clock, the length of the records and their number. The told length counts the number's own bytes.
pub fn header(bytes: &[u8; HEADER]) -> Result<(Time, usize, u32), Malformed> {
    let word = |at: usize| u32::from_le_bytes(std::array::from_fn(|k| bytes[at + k]));
    let clock = u64::from_le_bytes(std::array::from_fn(|k| bytes[k]));
    let Some(length) = (word(8) as usize).checked_sub(4) else {
        return Err(Malformed {
            record: None,
            offset: 8,
            why: format!("length {} is under 4", word(8)),
        });
    };
    Ok((clock, length, word(12)))
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
    record: Option<u32>,
}

impl<'a> Reader<'a> {
    fn bad(&self, why: &str) -> Malformed {
        Malformed {
            record: self.record,
            offset: self.at,
            why: why.to_string(),
        }
    }
    fn take(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        if self.bytes.len() - self.at < n {
            return Err(self.bad(&format!(
                "{n} bytes wanted, {} left",
                self.bytes.len() - self.at
            )));
        }
        self.at += n;
        Ok(&self.bytes[self.at - n..self.at])
    }
    fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let bytes = self.take(N)?;
        Ok(std::array::from_fn(|k| bytes[k]))
    }
    fn u8(&mut self) -> Result<u8, Malformed> {
        Ok(self.array::<1>()?[0])
    }
    fn u16(&mut self) -> Result<u16, Malformed> {
        self.array().map(u16::from_le_bytes)
    }
    fn u32(&mut self) -> Result<u32, Malformed> {
        self.array().map(u32::from_le_bytes)
    }
    fn u64(&mut self) -> Result<u64, Malformed> {
        self.array().map(u64::from_le_bytes)
    }
    fn f32(&mut self) -> Result<f32, Malformed> {
        self.array().map(f32::from_le_bytes)
    }
    fn left(&self) -> usize {
        self.bytes.len() - self.at
    }
    /// A load report: its number of values, and those.
    fn values(&mut self) -> Result<Vec<f32>, Malformed> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }
    fn text(&mut self, n: usize) -> Result<String, Malformed> {
        let bytes = self.take(n)?.to_vec();
        String::from_utf8(bytes).map_err(|_| self.bad("text that is not UTF-8"))
    }
}

/// The records of a batch's body, each with its instance. Unknown codes are skipped.
pub fn decode(body: &[u8], records: u32) -> Result<Vec<(u32, Incoming)>, Malformed> {
    let mut out = Vec::new();
    let mut at = 0;
    for record in 0..records {
        let mut head = Reader {
            bytes: body,
            at,
            record: Some(record),
        };
        let code = head.u8()?;
        let length = head.u32()? as usize;
        let start = head.at;
        head.take(length)?;
        let mut fields = Reader {
            bytes: &body[..start + length],
            at: start,
            record: Some(record),
        };
        if let Some(entry) = decode_record(code, &mut fields)? {
            out.push(entry);
        }
        at = start + length;
    }
    if at != body.len() {
        let why = format!("{} bytes after the last record", body.len() - at);
        return Err(Malformed {
            record: None,
            offset: at,
            why,
        });
    }
    Ok(out)
}

fn decode_record(code: u8, r: &mut Reader) -> Result<Option<(u32, Incoming)>, Malformed> {
    if code > 10 {
        return Ok(None);
    }
    let instance = r.u32()?;
    let event = match code {
        7 => {
            let seed = r.u64()?;
            let n = r.u32()? as usize;
            return Ok(Some((
                instance,
                Incoming::Start {
                    seed,
                    settings: r.text(n)?,
                },
            )));
        }
        3 => return Ok(Some((instance, Incoming::Stop))),
        6 => {
            let form = r.u8()?;
            r.u32()?;
            let n = r.u32()?;
            let mut members = Vec::new();
            for _ in 0..n {
                let cache = CacheId(r.u32()?);
                let (zone, kind) = (r.u8()? as usize, r.u8()? as usize);
                let cell = r.u16()?;
                let state = match r.u8()? {
                    0 => MemberState::Ready,
                    2 => MemberState::Draining,
                    1 => MemberState::Gone,
                    other => return Err(r.bad(&format!("member condition {other}"))),
                };
                let (weight, boot) = (r.f32()? as f64, r.u64()?);
                members.push(Member {
                    cache,
                    zone,
                    kind,
                    cell,
                    state,
                    weight,
                    started_at: boot,
                });
            }
            match form {
                0 => Event::Members {
                    full: false,
                    members,
                },
                1 | 2 => Event::Members {
                    full: true,
                    members,
                },
                3 => Event::MembersUnavailable,
                other => return Err(r.bad(&format!("list form {other}"))),
            }
        }
        2 => {
            let id = RequestId(r.u64()?);
            let class = r.u8()? as usize;
            let object = ObjectId(r.u64()?);
            let size_kb = r.f32()? as f64;
            let budget = r.u32()? as Time;
            let part = r.f32()? as u32;
            r.u8()?;
            r.u32()?;
            let group = r.f32()? as u32;
            Event::Request(IncomingRequest {
                id,
                class,
                object,
                part,
                group,
                size_kb,
                time_budget: budget,
                placement_ttl: 0,
                required_group: None,
            })
        }
        1 => {
            let id = RequestId(r.u64()?);
            let last = r.u8()? != 0;
            let elapsed = r.u32()? as Time;
            let attempt = r.u8()?;
            let how = r.u16()?;
            let note = note(r.u32()?);
            let cache = CacheId(r.u32()?);
            let Some(outcome) = outcome(how) else {
                return Err(r.bad(&format!("outcome {how}")));
            };
            // The fill's wait and the load report may be left out.
            let load = if r.left() > 4 {
                r.u32().and_then(|_| r.values())?
            } else {
                Vec::new()
            };
            let report = AttemptReport {
                id,
                attempt,
                outcome,
                cache_status: note,
                elapsed,
                last,
            };
            return Ok(Some((instance, Incoming::Ended(report, cache, load))));
        }
        0 => Event::ResponseStarted {
            id: RequestId(r.u64()?),
        },
        9 => Event::Timer { token: r.u32()? },
        4 => {
            let ok = r.u16()? == 0;
            let elapsed = r.u32()? as Time;
            let cache = CacheId(r.u32()?);
            let report = r.values()?;
            return Ok(Some((
                instance,
                Incoming::Probed {
                    cache,
                    ok,
                    elapsed,
                    report,
                },
            )));
        }
        8 => {
            let from = r.u32()?;
            let n = r.u16()? as usize;
            Event::PeerMessage {
                from,
                message: r.take(n)?.to_vec(),
            }
        }
        10 => Event::ClientDisconnected {
            id: RequestId(r.u64()?),
        },
        _ => {
            let object = r.u64()?;
            let group = r.u16()? as u32;
            let ago = r.u32()? as Time;
            Event::Purged {
                object: (object != 0).then_some(ObjectId(object)),
                group,
                age: ago,
            }
        }
    };
    Ok(Some((instance, Incoming::Event(event))))
}

fn outcome(code: u16) -> Option<Outcome> {
    Some(match code {
        0 => Outcome::Served,
        255 => Outcome::Error,
        254 => Outcome::Overloaded,
        253 => Outcome::TimedOut,
        252 => Outcome::ConnectFailed,
        251 => Outcome::Reset,
        250 => Outcome::Cancelled,
        249 => Outcome::NeverSent,
        1 => Outcome::Miss,
        _ => return None,
    })
}

fn note(code: u32) -> CacheStatus {
    match code {
        1 => CacheStatus::Hit,
        2 => CacheStatus::Filled,
        3 => CacheStatus::FilledByOrigin,
        4 => CacheStatus::Collapsed,
        5 => CacheStatus::Stale,
        6 => CacheStatus::SourceRejected,
        7 => CacheStatus::SourceFailed,
        8 => CacheStatus::SourceMissed,
        9 => CacheStatus::NoFillSlot,
        10 => CacheStatus::OriginFailed,
        _ => CacheStatus::Unknown,
    }
}
