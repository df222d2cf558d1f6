//! Events: what a host reports to its router.

use super::{CacheId, ObjectId, RequestId, Time};

/// State of a server in the member list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberState {
    /// Takes requests.
    Ready,
    /// Shuts down gracefully and takes no new requests.
    Draining,
    /// No longer listed.
    #[default]
    Gone,
}

/// An entry of the member list.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// The server.
    pub cache: CacheId,
    /// Index of its zone.
    pub zone: usize,
    /// Index of its kind; see [`Settings::tier`](super::Settings::tier).
    pub kind: usize,
    /// Its cell, a failure domain within the zone.
    pub cell: u16,
    /// Whether it takes requests.
    pub state: MemberState,
    /// Its relative capacity.
    pub weight: f64,
    /// When its process started; 0 means long ago, with no slow start.
    pub started_at: Time,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response.
    Served,
    /// The server responded with an error.
    Error,
    /// The server rejected the attempt because it is overloaded.
    Overloaded,
    /// No response within the timeout.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection was lost after the attempt was sent.
    Reset,
    /// Cancelled on the router's request.
    Cancelled,
    /// Nothing was sent.
    NeverSent,
    /// The attempt asked for a stored copy and there is none.
    Miss,
}

impl Outcome {
    /// Whether the outcome proves that the attempt was not processed.
    pub fn not_processed(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NeverSent | Outcome::Miss
        )
    }

    /// Whether the outcome shows that the server does not hang: it responded, or its connection was closed.
    pub fn is_responsive(self) -> bool {
        !matches!(
            self,
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::NeverSent | Outcome::Cancelled
        )
    }
}

/// How a cache produced a response, if the deployment's caches report it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// Not reported.
    Unknown,
    /// From a stored copy.
    Hit,
    /// Filled from the source's stored copy.
    Filled,
    /// Filled by the source from the origin.
    FilledByOrigin,
    /// Joined a fill that was already in progress.
    Collapsed,
    /// From a stale copy.
    Stale,
    /// The source rejected the fill.
    SourceRejected,
    /// The source failed during the fill.
    SourceFailed,
    /// The source was asked for a stored copy and has none.
    SourceMissed,
    /// The cache had no free slot for a fill.
    NoFillSlot,
    /// The origin failed.
    OriginFailed,
}

impl CacheStatus {
    /// Whether the cache was healthy, but its source or the origin failed, rejected the fill or lacked the object.
    pub fn is_source_fault(self) -> bool {
        matches!(
            self,
            CacheStatus::SourceRejected
                | CacheStatus::SourceFailed
                | CacheStatus::SourceMissed
                | CacheStatus::OriginFailed
        )
    }
}

/// A client's request for one part of an object.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Chosen by the host; must differ from the ids of all open requests.
    pub id: RequestId,
    /// Index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// The requested object.
    pub object: ObjectId,
    /// The requested part of the object.
    pub part: u32,
    /// The cache tag (surrogate key) of the object, by which it may be purged.
    pub group: u32,
    /// Size of the response in KB; 0 if it is not known.
    pub size_kb: f64,
    /// How long until the client gives up.
    pub time_budget: Time,
    /// How long the client may send requests to the selected cache itself, without the router; 0 if the host sends the
    /// attempts.
    pub placement_ttl: Time,
    /// The only key group ([`RetrySafety::key_group`](super::RetrySafety::key_group)) that attempts may go to. Set if
    /// an attempt that this router did not make may have been processed.
    pub required_group: Option<u32>,
}

/// How one attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptReport {
    /// The attempt's request.
    pub id: RequestId,
    /// The attempt's number within the request, from 0.
    pub attempt: u8,
    /// How it ended.
    pub outcome: Outcome,
    /// How the response was produced.
    pub cache_status: CacheStatus,
    /// Time from the action to the outcome.
    pub elapsed: Time,
    /// Whether the request has ended, with this outcome or before it.
    pub last: bool,
}

/// An input to the router.
#[derive(Clone, Debug)]
pub enum Event {
    /// The member list, or changes to it.
    Members {
        /// The list is complete: servers that are not in it are gone.
        full: bool,
        /// All members, or those that changed.
        members: Vec<Member>,
    },
    /// The topology of the hierarchy changed. Attempts in flight keep their sources.
    TopologyChanged {
        /// Zones whose parents may fill this zone's caches.
        parent_zones: Vec<usize>,
        /// By zone: the zone of its hub.
        hub_by_zone: Vec<usize>,
    },
    /// Fetching the member list failed, or the subscription ended.
    MembersUnavailable,
    /// A request came in.
    Request(IncomingRequest),
    /// An attempt ended.
    Outcome(AttemptReport),
    /// A streamed response has begun.
    ResponseStarted {
        /// The request that the response belongs to.
        id: RequestId,
    },
    /// A timer expired.
    Timer {
        /// As given with [`Action::StartTimer`](super::Action::StartTimer).
        token: u32,
    },
    /// A health check ended.
    HealthChecked {
        /// The server that was checked.
        cache: CacheId,
        /// Whether it responded.
        ok: bool,
        /// How long the check took.
        elapsed: Time,
        /// The server's load report; empty where the check failed.
        report: Vec<f32>,
    },
    /// A message from another router.
    PeerMessage {
        /// Index of the router that sent it.
        from: u32,
        /// The message, opaque to the host.
        message: Vec<u8>,
    },
    /// The client disconnected and needs no response.
    ClientDisconnected {
        /// The client's request.
        id: RequestId,
    },
    /// The process shuts down gracefully; every open request must have its final result by `deadline`.
    Shutdown {
        /// When the process ends.
        deadline: Time,
    },
    /// Copies older than `age` were invalidated.
    Purged {
        /// The invalidated object; `None` invalidates all objects of the group.
        object: Option<ObjectId>,
        /// The cache tag of the invalidated objects.
        group: u32,
        /// The maximum age of a valid copy, counted from when its content left the origin.
        age: Time,
    },
}
