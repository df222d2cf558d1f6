//! What happens: the events that a router is fed.

use super::{CacheId, ObjectId, RequestId, Time};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    Ready,
    Draining,
    #[default]
    Gone,
}

#[derive(Clone, Debug, Default)]
pub struct Member {
    pub cache: CacheId,
    pub zone: usize,
    pub kind: usize,
    pub cell: u16,
    pub state: State,
    pub weight: f64,
    /// When it last started; 0: long ago.
    pub boot: Time,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NeverSent,
    Miss,
}

impl Outcome {
    /// Proof that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent | Outcome::Miss
        )
    }

    /// The server said something, if only that its process ended: it is not hung.
    pub fn is_word(self) -> bool {
        use Outcome::*;
        !matches!(self, TimedOut | ConnectFailed | NeverSent | Cancelled)
    }
}

/// What an answer told, where notes are given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    Untold,
    Hit,
    Filled,
    FilledByOrigin,
    Joined,
    Stale,
    SourceRefused,
    SourceBroken,
    SourceLacks,
    NoFillPlace,
    OriginFailed,
}

impl Note {
    /// The cache was well; its source was not, or lacked the object.
    pub fn source_fault(self) -> bool {
        matches!(
            self,
            Note::SourceRefused | Note::SourceBroken | Note::SourceLacks | Note::OriginFailed
        )
    }
}

/// A client's request for one part of an object.
#[derive(Clone, Debug)]
pub struct Ask {
    pub id: RequestId,
    pub class: usize,
    pub object: ObjectId,
    pub part: u32,
    pub group: u32,
    /// 0 where it is not told.
    pub size_kb: f64,
    /// How long until the client gives this try up.
    pub budget: Time,
    /// How long the client may use the placement by itself, unseen from here; 0: the front makes the attempt.
    pub lease: Time,
    /// An attempt that was seen elsewhere may have run: only caches of this group may be asked ([`Repeat::group_of`]).
    pub within: Option<u32>,
}

/// How one attempt ended.
#[derive(Clone, Debug)]
pub struct Report {
    pub id: RequestId,
    /// The attempt's number: a request's fetches count from 0.
    pub attempt: u8,
    pub outcome: Outcome,
    pub note: Note,
    pub elapsed: Time,
    /// The request is ended, by this outcome or before.
    pub last: bool,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// The whole list (`full`: those not named are gone), or the members that changed.
    Members {
        full: bool,
        members: Vec<Member>,
    },
    /// The wiring of the hierarchy: the zones whose parents fills of this zone may name as sources, and by zone the
    /// zone of its hub. What is out ends as it began.
    Wired {
        hubs: Vec<usize>,
        hub_of: Vec<usize>,
    },
    /// Asking for the list failed, or the subscription ended.
    MembersFailed,
    Request(Ask),
    Outcome(Report),
    /// A streamed answer has begun.
    Started {
        id: RequestId,
    },
    Timer {
        token: u32,
    },
    /// What a probe found: a load report, or none where it failed.
    Probed {
        cache: CacheId,
        ok: bool,
        elapsed: Time,
        report: Vec<f32>,
    },
    Peer {
        from: u32,
        message: Vec<u8>,
    },
    /// The client left; no answer is owed any more.
    ClientGone {
        id: RequestId,
    },
    /// This process ends: every open request has its final answer by then.
    Closing {
        by: Time,
    },
    /// Copies older than `ago` are out of date: of one object, or of a whole group.
    Purged {
        object: Option<ObjectId>,
        group: u32,
        ago: Time,
    },
}
