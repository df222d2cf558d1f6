//! Decoding the records of a batch: a function for each code.

use super::reader::Reader;
use super::{Incoming, Malformed};
use foldmux::interface::{
    AttemptReport, CacheId, CacheStatus, Event, IncomingRequest, Member, MemberState, ObjectId,
    Outcome, RequestId, Time,
};

/// Codes of the records.
mod code {
    pub(super) const RESPONSE_STARTED: u8 = 0;
    pub(super) const ATTEMPT_ENDED: u8 = 1;
    pub(super) const REQUEST: u8 = 2;
    pub(super) const STOP: u8 = 3;
    pub(super) const HEALTH_CHECKED: u8 = 4;
    pub(super) const PURGED: u8 = 5;
    pub(super) const MEMBERS: u8 = 6;
    pub(super) const START: u8 = 7;
    pub(super) const PEER_MESSAGE: u8 = 8;
    pub(super) const TIMER: u8 = 9;
    pub(super) const CLIENT_DISCONNECTED: u8 = 10;
}

/// Bytes after an attempt's end that are no load report: the wait of its fill.
const FILL_WAIT_LEN: usize = 4;

/// A record's instance number and content; none for a code that is not known.
pub(super) fn decode(code: u8, fields: &mut Reader) -> Result<Option<(u32, Incoming)>, Malformed> {
    if code > code::CLIENT_DISCONNECTED {
        return Ok(None);
    }
    let instance = fields.u32()?;
    let incoming = match code {
        code::START => start(fields)?,
        code::STOP => Incoming::Stop,
        code::ATTEMPT_ENDED => attempt_ended(fields)?,
        code::HEALTH_CHECKED => health_checked(fields)?,
        code::MEMBERS => Incoming::Event(members(fields)?),
        code::REQUEST => Incoming::Event(request(fields)?),
        code::PEER_MESSAGE => Incoming::Event(peer_message(fields)?),
        code::PURGED => Incoming::Event(purged(fields)?),
        code::RESPONSE_STARTED => Incoming::Event(Event::ResponseStarted {
            id: RequestId(fields.u64()?),
        }),
        code::TIMER => Incoming::Event(Event::Timer {
            token: fields.u32()?,
        }),
        code::CLIENT_DISCONNECTED => Incoming::Event(Event::ClientDisconnected {
            id: RequestId(fields.u64()?),
        }),
        _ => return Ok(None),
    };
    Ok(Some((instance, incoming)))
}

fn start(fields: &mut Reader) -> Result<Incoming, Malformed> {
    let seed = fields.u64()?;
    let length = fields.u32()? as usize;
    Ok(Incoming::Start {
        seed,
        settings: fields.text(length)?,
    })
}

fn members(fields: &mut Reader) -> Result<Event, Malformed> {
    let form = fields.u8()?;
    let _version = fields.u32()?;
    let count = fields.u32()?;
    let mut members = Vec::new();
    for _ in 0..count {
        members.push(member(fields)?);
    }
    match form {
        0 => Ok(Event::Members {
            full: false,
            members,
        }),
        1 | 2 => Ok(Event::Members {
            full: true,
            members,
        }),
        3 => Ok(Event::MembersUnavailable),
        other => Err(fields.fault(format!("list form {other}"))),
    }
}

fn member(fields: &mut Reader) -> Result<Member, Malformed> {
    let cache = CacheId(fields.u32()?);
    let zone = fields.u8()? as usize;
    let kind = fields.u8()? as usize;
    let cell = fields.u16()?;
    let state = match fields.u8()? {
        0 => MemberState::Ready,
        1 => MemberState::Gone,
        2 => MemberState::Draining,
        other => return Err(fields.fault(format!("member condition {other}"))),
    };
    Ok(Member {
        cache,
        zone,
        kind,
        cell,
        state,
        weight: fields.f32()? as f64,
        started_at: fields.u64()?,
    })
}

fn request(fields: &mut Reader) -> Result<Event, Malformed> {
    let id = RequestId(fields.u64()?);
    let class = fields.u8()? as usize;
    let object = ObjectId(fields.u64()?);
    let size_kb = fields.f32()? as f64;
    let time_budget = fields.u32()? as Time;
    let part = fields.f32()? as u32;
    // Two fields that the router has no use for.
    fields.u8()?;
    fields.u32()?;
    let group = fields.f32()? as u32;
    Ok(Event::Request(IncomingRequest {
        id,
        class,
        object,
        part,
        group,
        size_kb,
        time_budget,
        placement_ttl: 0,
        required_group: None,
    }))
}

fn attempt_ended(fields: &mut Reader) -> Result<Incoming, Malformed> {
    let id = RequestId(fields.u64()?);
    let last = fields.u8()? != 0;
    let elapsed = fields.u32()? as Time;
    let attempt = fields.u8()?;
    let outcome_code = fields.u16()?;
    let cache_status = cache_status(fields.u32()?);
    let cache = CacheId(fields.u32()?);
    let Some(outcome) = outcome(outcome_code) else {
        return Err(fields.fault(format!("outcome {outcome_code}")));
    };
    // The fill's wait and the load report may be left out.
    let load = if fields.left() > FILL_WAIT_LEN {
        fields.take(FILL_WAIT_LEN)?;
        fields.load_report()?
    } else {
        Vec::new()
    };
    let report = AttemptReport {
        id,
        attempt,
        outcome,
        cache_status,
        elapsed,
        last,
    };
    Ok(Incoming::AttemptEnded {
        report,
        cache,
        load,
    })
}

fn health_checked(fields: &mut Reader) -> Result<Incoming, Malformed> {
    let ok = fields.u16()? == 0;
    let elapsed = fields.u32()? as Time;
    let cache = CacheId(fields.u32()?);
    let report = fields.load_report()?;
    Ok(Incoming::HealthChecked {
        cache,
        ok,
        elapsed,
        report,
    })
}

fn peer_message(fields: &mut Reader) -> Result<Event, Malformed> {
    let from = fields.u32()?;
    let length = fields.u16()? as usize;
    Ok(Event::PeerMessage {
        from,
        message: fields.take(length)?.to_vec(),
    })
}

fn purged(fields: &mut Reader) -> Result<Event, Malformed> {
    let object = fields.u64()?;
    let group = fields.u16()? as u32;
    let age = fields.u32()? as Time;
    Ok(Event::Purged {
        object: (object != 0).then_some(ObjectId(object)),
        group,
        age,
    })
}

fn outcome(code: u16) -> Option<Outcome> {
    Some(match code {
        0 => Outcome::Served,
        1 => Outcome::Miss,
        249 => Outcome::NeverSent,
        250 => Outcome::Cancelled,
        251 => Outcome::Reset,
        252 => Outcome::ConnectFailed,
        253 => Outcome::TimedOut,
        254 => Outcome::Overloaded,
        255 => Outcome::Error,
        _ => return None,
    })
}

fn cache_status(code: u32) -> CacheStatus {
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
