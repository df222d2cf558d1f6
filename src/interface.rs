//! The types between a front and its router: settings, events, actions. No decision is made here.

/// Microseconds, on a clock that only goes forward; its start is arbitrary.
pub type Time = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CacheId(pub u32);
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectId(pub u64);

/// How far an attempt of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Any number of times.
    Safe,
    /// Within the group of caches that drops its repeats, while they remember it.
    Keyed(Group),
    /// Only when every earlier attempt is known not to have run.
    SingleShot,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

impl Repeat {
    /// The number of a cache's group: within it, repeats of a keyed request are dropped.
    pub fn group_of(self, member: &Member) -> u32 {
        match self {
            Repeat::Keyed(Group::Zone) => 1 + member.zone as u32,
            Repeat::Keyed(Group::Cell) => 1 + member.cell as u32,
            _ => 0,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time, plus `aim_stretch` times the sending time, has its full worth.
    pub aim: Time,
    pub aim_stretch: f64,
    /// How long a client waits, all its tries together.
    pub deadline: Time,
    pub worth: f64,
    /// The part of the worth that an answer after the aim still has.
    pub late_worth: f64,
    pub repeat: Repeat,
    /// For keyed classes: how long the caches remember a request.
    pub repeat_window: Time,
    /// Fresh time of a copy; 0 means no limit.
    pub fresh: Time,
    /// How much longer a copy may be served, at less worth.
    pub grace: Time,
    /// Never kept: it runs at the origin.
    pub pass_on: bool,
}

/// Which caches may supply a fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Siblings {
    None,
    OwnZone,
    Any,
}

/// What an answer tells of how it came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notes {
    None,
    HitOnly,
    All,
}

#[derive(Clone, Debug)]
pub struct Settings {
    /// This router's number among `routers`.
    pub index: u32,
    pub routers: u32,
    pub zone: usize,
    pub classes: Vec<Class>,
    /// By zone.
    pub routers_by_zone: Vec<u32>,
    /// By zone: the zone of its hub; hubs form a ring.
    pub hub_of: Vec<usize>,
    /// The kind of the parents, if there are any, and of the origin.
    pub parent_kind: Option<usize>,
    pub origin_kind: usize,
    pub siblings: Siblings,
    pub notes: Notes,
    pub can_join: bool,
    /// Parents and the origin take attempts too.
    pub direct: bool,
    /// Top pace of one answer, KB a second; 0 if it is not told.
    pub client_kb_per_s: f64,
    /// Members' weights are their links, in transfers at the top pace.
    pub weights_told: bool,
    /// The member list must be asked for.
    pub must_ask: bool,
    pub may_cancel: bool,
    pub may_duplicate: bool,
    pub max_attempts: u32,
    pub may_probe: bool,
    pub may_tell_peers: bool,
    /// Refusals may carry a wait; the longest that clients follow.
    pub retry_after: Option<Time>,
    pub answer_slack: Time,
    pub drain_grace: Time,
    pub cache_cold_from: f64,
    pub cache_cold_for: Time,
    pub cache_fall_multiple: f64,
    pub fall_window: Time,
    pub parent_cold_from: f64,
    pub parent_cold_for: Time,
    pub parent_fall_multiple: f64,
    pub purge_slack: Time,
    pub purge_done: Time,
    /// Overload at which the origin stops for a while; 0 for none.
    pub origin_fall_multiple: f64,
}

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
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent | Outcome::Miss)
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
        matches!(self, Note::SourceRefused | Note::SourceBroken | Note::SourceLacks | Note::OriginFailed)
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
    /// Copies older than `ago` are out of date: of one object, or of a whole group.
    Purged {
        object: Option<ObjectId>,
        group: u32,
        ago: Time,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask a cache (or, where direct, a parent or the origin) for an object.
    Fetch(Fetch),
    /// Final answer: turned away, trying again is harmless.
    Refuse {
        id: RequestId,
        retry_after: Time,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        id: RequestId,
    },
    Cancel {
        id: RequestId,
        attempt: u8,
    },
    Timer {
        after: Time,
        token: u32,
    },
    Probe {
        cache: CacheId,
    },
    /// A message to every peer.
    TellPeers {
        message: Vec<u8>,
    },
    /// Subscribe to the member list.
    Watch,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Fetch {
    pub id: RequestId,
    pub cache: CacheId,
    /// 0: until the client gives up.
    pub time_out: Time,
    /// Where a miss is filled from; the cache itself: no fill.
    pub source: CacheId,
    /// Rank of the copy, 1 to 3; 0 keeps none.
    pub keep: u8,
    /// The oldest copy that will do; 0: the class's fresh time.
    pub max_age: Time,
    /// Wait for a fill that is under way.
    pub join: bool,
    /// The source gives only what it holds.
    pub hold_only: bool,
    /// Serve an ageing copy and fetch it anew behind.
    pub renew: bool,
}

/// A bound as the caches and callers are told it (ms): rounded down, as a copy must not be older than the module said;
/// but 0 would mean no bound at all.
pub fn bound_ms(time: Time) -> Option<Time> {
    (time > 0).then(|| (time / 1000).max(1))
}

impl Fetch {
    /// What the caches are told beside the source, the rank and the age, in their words; none: an empty text.
    pub fn flags(&self) -> String {
        let flags = [(self.join, "coalesce"), (self.hold_only, "shallow"), (self.renew, "freshen")];
        flags.iter().filter(|f| f.0).map(|f| f.1).collect::<Vec<_>>().join("+")
    }
}
