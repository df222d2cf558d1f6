//! The nodes of a scenario, their trees and settings, and how a day begins.

use super::events::Event;
use super::state::{EdgeState, HubState};
use super::store::Store;
use super::*;
use foldmux_hierarchy::in_flight::FetchLimits;
use foldmux_hierarchy::node::Node;
use foldmux_hierarchy::slow_start::SlowStart;
use foldmux_hierarchy::tree::{NodeKind, ProposedNode, TreeDraft};
use rand::{RngExt, SeedableRng};

/// Mean size of a part (KB) and its spread.
const SIZE: (f64, f64) = (300.0, 0.8);

fn us(ms: f64) -> Time {
    (ms * 1_000.0) as Time
}

/// Hub `h` by name, and back.
pub(super) fn hub_name(h: usize) -> String {
    format!("hub-{h}")
}

pub(super) fn hub_of(name: &str) -> Option<usize> {
    name.strip_prefix("hub-")?.parse().ok()
}

/// The tree of a scenario; `turned`: the hubs that go by another hub instead of the archive.
fn tree(s: &Scenario, epoch: u64, turned: &[usize]) -> Tree {
    let node = |name: String, kind, parents: Vec<String>| ProposedNode {
        name,
        kind,
        parents,
    };
    let tops = s.hubs - s.low_hubs;
    let mut nodes = vec![node("archive".into(), NodeKind::Archive, vec![])];
    for h in 0..s.hubs {
        let stays = |h: &usize| *h < tops && !turned.contains(h);
        let above = (1..s.hubs).map(|n| (h + n) % s.hubs).find(stays);
        let parents = match above.filter(|_| h >= tops || turned.contains(&h)) {
            Some(above) => vec![hub_name(above), "archive".into()],
            None => vec!["archive".into()],
        };
        nodes.push(node(hub_name(h), NodeKind::Hub, parents));
    }
    for l in 0..s.edges {
        let parents: Vec<String> = (0..s.hubs.min(2))
            .map(|n| hub_name((l + n) % s.hubs))
            .collect();
        nodes.push(node(format!("office-{l}"), NodeKind::Location, parents));
    }
    Tree::validate(&TreeDraft {
        epoch,
        nodes,
        ..TreeDraft::default()
    })
    .expect("the lab's trees are sound")
}

/// What all days have in common: the settings of our first installation, with nobody in them.
pub fn usual() -> Settings {
    Settings {
        index: 0,
        router_count: 1,
        zone: 0,
        classes: Vec::new(),
        routers_by_zone: Vec::new(),
        hub_by_zone: Vec::new(),
        parent_kind: Some(HUB),
        origin_kind: ARCHIVE,
        sibling_fills: SiblingFills::Any,
        cache_status_detail: CacheStatusDetail::None,
        request_collapsing: false,
        direct_fetch: true,
        client_kb_per_s: CLIENT_KB_PER_S,
        weights_known: false,
        subscribe_members: false,
        can_cancel: true,
        may_hedge: false,
        max_attempts: 8,
        may_health_check: false,
        may_message_peers: false,
        max_retry_after: None,
        response_slack: 8_000,
        drain_timeout: 250_000,
        cache_slow_start_ratio: 0.17,
        cache_slow_start_time: 18_000_000,
        cache_overload_multiple: 4.0,
        overload_window: 3_000_000,
        parent_slow_start_ratio: 0.067,
        parent_slow_start_time: 21_000_000,
        parent_overload_multiple: 2.0,
        purge_slack: 1_000_000,
        purge_complete: 6_000_000,
        origin_overload_multiple: 0.0,
    }
}

pub(super) fn settings(s: &Scenario, edge: usize) -> Settings {
    let kept = |worth, aim| Class {
        latency_objective: aim,
        latency_objective_stretch: 2.0,
        deadline: DEADLINE,
        priority_weight: worth,
        late_value_ratio: 0.1,
        retry_safety: RetrySafety::Idempotent,
        idempotency_window: 0,
        freshness_lifetime: 0,
        stale_while_revalidate: 0,
        bypass_cache: false,
    };
    let zones = s.hubs + s.edges;
    Settings {
        index: edge as u32,
        router_count: s.edges as u32,
        zone: s.hubs + edge,
        classes: vec![kept(2.0, 500_000), kept(1.0, 250_000)],
        routers_by_zone: (0..zones).map(|z| (z >= s.hubs) as u32).collect(),
        hub_by_zone: (0..zones)
            .map(|z| if z < s.hubs { z } else { (z - s.hubs) % s.hubs })
            .collect(),
        ..usual()
    }
}

impl<'a> Day<'a> {
    pub(super) fn new(s: &'a Scenario) -> Day<'a> {
        let mut rng = StdRng::seed_from_u64(s.seed);
        let mut trees = vec![tree(s, 1, &[])];
        if s.rewire_at_s > 0.0 {
            let tops = s.hubs - s.low_hubs;
            let many =
                ((tops as f64 * s.rewired_part).round() as usize).min(tops.saturating_sub(1));
            let first = rng.random_range(0..tops);
            let turned: Vec<usize> = (0..many)
                .map(|n| (first + n * tops / many.max(1)) % tops)
                .collect();
            trees.push(tree(s, 2, &turned));
            if s.back_after_s > 0.0 {
                trees.push(tree(s, 3, &[]));
            }
        }
        let limits = FetchLimits {
            fetches: 1 << 20,
            waiters: 1 << 22,
            lease_us: 60_000_000,
            attempts: 8,
        };
        let cold = SlowStart {
            initial_ratio: 0.067,
            ramp_us: 21_000_000,
            overload_multiple: 2.0,
            overload_window_us: 3_000_000,
            budget_ratio: 0.6,
        };
        let node = |name: &str| {
            Node::new(
                name,
                trees[0].clone(),
                us(s.overlap_ms),
                limits,
                cold,
                HashMap::new(),
            )
            .expect("a hub")
        };
        let hubs = (0..s.hubs)
            .map(|h| HubState {
                node: node(&hub_name(h)),
                store: Store::new(usize::MAX),
                link_free: 0,
                fetches: HashMap::new(),
            })
            .collect();
        let edges = (0..s.edges).map(|e| EdgeState {
            router: Router::new(
                settings(s, e),
                s.seed.wrapping_mul(977).wrapping_add(e as u64),
            ),
            open: HashMap::new(),
            told: HashMap::new(),
        });
        let mut day = Day {
            now: START,
            end: START + (s.seconds * SECOND) as Time,
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            next: 0,
            zipf: Zipf::new(s.objects as f64, s.zipf).expect("checked"),
            gap: Exp::new(s.rate / s.edges as f64).expect("checked"),
            size: LogNormal::new(SIZE.0.ln() - SIZE.1 * SIZE.1 / 2.0, SIZE.1).expect("sound"),
            edges: edges.collect(),
            boxes: (0..s.caches).map(|_| Store::new(s.cache_holds)).collect(),
            hubs,
            trees,
            versions: HashMap::new(),
            fetched: HashSet::new(),
            archive_free: 0,
            result: Result::default(),
            worth: (0.0, 0.0),
            latency: Histogram::new(3).expect("sound"),
            hops: (0, 0),
            requests: 0,
            rng,
            s,
        };
        day.begin();
        day
    }

    fn begin(&mut self) {
        let member = |cache, zone, kind| Member {
            cache,
            zone,
            kind,
            cell: 0,
            state: MemberState::Ready,
            weight: 1.0,
            started_at: 0,
        };
        let s = self.s;
        let mut members: Vec<Member> = (0..s.caches)
            .map(|c| member(CacheId(c as u32), s.hubs + c % s.edges, BOX))
            .collect();
        members.extend((0..s.hubs).map(|h| member(CacheId(HUB_IDS + h as u32), h, HUB)));
        members.push(member(ARCHIVE_ID, 0, ARCHIVE));
        for edge in 0..s.edges {
            self.tell(
                edge,
                foldmux::interface::Event::Members {
                    full: true,
                    members: members.clone(),
                },
            );
            if s.shield {
                self.wire(edge, 0);
            }
            let first = self.gap.sample(&mut self.rng);
            self.after(first * SECOND, Event::Arrive { edge });
        }
        if s.purges_per_s > 0.0 {
            self.after(SECOND / s.purges_per_s, Event::Purge);
        }
        if self.trees.len() > 1 {
            self.after(s.rewire_at_s * SECOND, Event::Rewire { change: 1 });
        }
        if self.trees.len() > 2 {
            self.after(
                (s.rewire_at_s + s.back_after_s) * SECOND,
                Event::Rewire { change: 2 },
            );
        }
    }
}
