//! A host for tests: it passes events to a router and returns the resulting actions.
#![allow(dead_code)]

use foldmux::interface::*;
use foldmux::Router;

pub const MS: Time = 1_000;
pub const SECOND: Time = 1_000_000;
pub const START: Time = 1_000 * SECOND;
pub const PARENT: usize = 1;
pub const ORIGIN: usize = 2;

/// Zones 0 and 1 are hubs, zones 2 and 3 hold caches. Class 0 is cacheable and idempotent; class 1 is a non-idempotent
/// write that bypasses the cache.
pub fn settings() -> Settings {
    let cacheable = Class {
        latency_objective: 400 * MS,
        latency_objective_stretch: 2.0,
        deadline: 3 * SECOND,
        priority_weight: 1.0,
        late_value_ratio: 0.2,
        retry_safety: RetrySafety::Idempotent,
        idempotency_window: 5 * SECOND,
        freshness_lifetime: 0,
        stale_while_revalidate: 0,
        bypass_cache: false,
    };
    let write = Class {
        latency_objective_stretch: 0.0,
        retry_safety: RetrySafety::NonIdempotent,
        bypass_cache: true,
        ..cacheable.clone()
    };
    Settings {
        index: 0,
        router_count: 2,
        zone: 2,
        classes: vec![cacheable, write],
        routers_by_zone: vec![0, 0, 1, 1],
        hub_by_zone: vec![0, 1, 0, 0],
        parent_kind: Some(PARENT),
        origin_kind: ORIGIN,
        sibling_fills: SiblingFills::Any,
        cache_status_detail: CacheStatusDetail::All,
        request_collapsing: true,
        direct_fetch: false,
        client_kb_per_s: 10_000.0,
        weights_known: false,
        subscribe_members: false,
        can_cancel: true,
        may_hedge: true,
        max_attempts: 8,
        may_health_check: false,
        may_message_peers: true,
        max_retry_after: Some(SECOND),
        response_slack: 8 * MS,
        drain_timeout: SECOND,
        cache_slow_start_ratio: 0.2,
        cache_slow_start_time: 16 * SECOND,
        cache_overload_multiple: 2.5,
        overload_window: SECOND,
        parent_slow_start_ratio: 0.07,
        parent_slow_start_time: 20 * SECOND,
        parent_overload_multiple: 2.0,
        purge_slack: 300 * MS,
        purge_complete: 6 * SECOND,
        origin_overload_multiple: 2.5,
    }
}

pub fn member(cache: u32, zone: usize, kind: usize) -> Member {
    let cache = CacheId(cache);
    Member {
        cache,
        zone,
        kind,
        cell: 0,
        state: MemberState::Ready,
        weight: 1.0,
        started_at: 0,
    }
}

/// Caches 10 to 13 of the own zone, siblings 20 to 22, parents 30 and 31, and the origin 40.
pub fn members() -> Vec<Member> {
    members_of(4, 3, 2)
}

/// `own` caches of the own zone from 10 on, `siblings` from 20 on, `parents` from 30 on, and the origin 40.
pub fn members_of(own: u32, siblings: u32, parents: u32) -> Vec<Member> {
    let mut all: Vec<Member> = (0..own).map(|k| member(10 + k, 2, 0)).collect();
    all.extend((0..siblings).map(|k| member(20 + k, 3, 0)));
    all.extend((0..parents).map(|k| member(30 + k, k as usize % 2, PARENT)));
    all.push(member(40, 0, ORIGIN));
    all
}

/// `zones` zones of `caches_per_zone` caches behind two hubs, `parents` parents and an origin.
pub fn fleet(zones: u32, caches_per_zone: u32, parents: u32) -> (Settings, Vec<Member>) {
    let mut list: Vec<Member> = Vec::new();
    for zone in 0..zones {
        list.extend(
            (0..caches_per_zone).map(|k| member(1_000 + zone * 100 + k, 2 + zone as usize, 0)),
        );
    }
    list.extend((0..parents).map(|k| member(10 + k, k as usize % 2, PARENT)));
    list.push(member(9, 0, ORIGIN));
    let mut by_zone = vec![0, 0];
    by_zone.extend((0..zones).map(|_| 5));
    let hub_by_zone = (0..zones + 2).map(|z| (z % 2) as usize).collect();
    (
        Settings {
            router_count: zones * 5,
            routers_by_zone: by_zone,
            hub_by_zone,
            ..settings()
        },
        list,
    )
}

/// Settings without parents, in which copies are fresh for 12 s and may be served stale for 30 s more.
pub fn settings_with_short_freshness() -> Settings {
    let mut config = Settings {
        cache_status_detail: CacheStatusDetail::None,
        parent_kind: None,
        max_attempts: 6,
        ..settings()
    };
    config.classes[0].freshness_lifetime = 12 * SECOND;
    config.classes[0].stale_while_revalidate = 30 * SECOND;
    config.drain_timeout = 2 * SECOND;
    (config.cache_overload_multiple, config.overload_window) = (2.0, 1_500 * MS);
    config
}

pub struct TestHost {
    pub router: Router,
    pub now: Time,
    pub last_id: u64,
}

impl TestHost {
    pub fn new(settings: Settings, members: Vec<Member>) -> TestHost {
        let mut host = TestHost {
            router: Router::new(settings, 7),
            now: START,
            last_id: 0,
        };
        host.event(Event::Members {
            full: true,
            members,
        });
        host
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        out.retain(|action| !matches!(action, Action::StartTimer { .. }));
        out
    }

    pub fn request(&mut self, class: usize, object: u64) -> (RequestId, Vec<Action>) {
        self.request_of(class, object, 500.0)
    }

    pub fn request_of(
        &mut self,
        class: usize,
        object: u64,
        size_kb: f64,
    ) -> (RequestId, Vec<Action>) {
        self.request_for(class, object, size_kb, 3 * SECOND)
    }

    pub fn request_for(
        &mut self,
        class: usize,
        object: u64,
        size_kb: f64,
        budget: Time,
    ) -> (RequestId, Vec<Action>) {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let object = ObjectId(object);
        let event = Event::Request(IncomingRequest {
            id,
            class,
            object,
            part: 0,
            group: 5,
            size_kb,
            time_budget: budget,
            placement_ttl: 0,
            required_group: None,
        });
        (id, self.event(event))
    }

    pub fn outcome(
        &mut self,
        fetch: &Fetch,
        attempt: u8,
        outcome: Outcome,
        cache_status: CacheStatus,
    ) -> Vec<Action> {
        self.outcome_after(fetch, attempt, outcome, cache_status, 60 * MS)
    }

    pub fn outcome_after(
        &mut self,
        fetch: &Fetch,
        attempt: u8,
        outcome: Outcome,
        cache_status: CacheStatus,
        elapsed: Time,
    ) -> Vec<Action> {
        let last = outcome == Outcome::Served;
        let id = fetch.id;
        self.event(Event::Outcome(AttemptReport {
            id,
            attempt,
            outcome,
            cache_status,
            elapsed,
            last,
        }))
    }

    /// Sends a request whose first attempt is served with `cache_status`, and returns that attempt.
    pub fn serve_request(&mut self, object: u64, cache_status: CacheStatus) -> Fetch {
        let (_, actions) = self.request(0, object);
        let fetch = only_fetch(&actions);
        self.now += 60 * MS;
        self.outcome(&fetch, 0, Outcome::Served, cache_status);
        fetch
    }

    pub fn change_member(&mut self, cache: u32, change: impl Fn(&mut Member)) -> Vec<Action> {
        let mut member = members()
            .into_iter()
            .find(|m| m.cache.0 == cache)
            .expect("the cache is a member");
        change(&mut member);
        self.event(Event::Members {
            full: false,
            members: vec![member],
        })
    }
}

pub fn fetches(actions: &[Action]) -> Vec<Fetch> {
    actions
        .iter()
        .filter_map(|action| {
            if let Action::Fetch(fetch) = action {
                Some(fetch.clone())
            } else {
                None
            }
        })
        .collect()
}

pub fn only_fetch(actions: &[Action]) -> Fetch {
    let all = fetches(actions);
    assert_eq!(all.len(), 1, "expected one attempt: {actions:?}");
    all[0].clone()
}

pub fn final_results(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::Reject { .. } | Action::Fail { .. }))
        .count()
}

/// Requests `n` new objects. Fills that may reach the origin end with `outcome`, fills from stored copies succeed.
/// Returns the number of each.
pub fn fill_new_objects(
    host: &mut TestHost,
    from: u64,
    n: u64,
    outcome: Outcome,
    cache_status: CacheStatus,
) -> (u64, u64) {
    let (mut unrestricted, mut cached_only) = (0, 0);
    for object in from..from + n {
        host.now += 300 * MS;
        let (_, actions) = host.request(0, object);
        for fetch in fetches(&actions)
            .iter()
            .filter(|fetch| fetch.source != fetch.cache)
        {
            unrestricted += !fetch.only_if_cached as u64;
            cached_only += fetch.only_if_cached as u64;
            let (outcome, cache_status) = if fetch.only_if_cached {
                (Outcome::Served, CacheStatus::Filled)
            } else {
                (outcome, cache_status)
            };
            host.now += 20 * MS;
            host.outcome(fetch, 0, outcome, cache_status);
        }
    }
    (unrestricted, cached_only)
}
