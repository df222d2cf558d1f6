//! The script's functions for the fill tree and our own hubs.

// Each argument of a function is a named setting of the file.
#![allow(clippy::too_many_arguments)]

use super::sets::{addressed, here, once, valid, whole, within, Head, SETS};
use super::CALLS_MOST;
use crate::values::{Place, Relay};
use anyhow::bail;
use foldmux_hierarchy::slow_start::SlowStart;
use foldmux_hierarchy::tree::{NodeKind, ProposedNode};
use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::float::UnpackFloat;
use starlark::values::list::UnpackList;
use starlark::values::none::{NoneOr, NoneType};

fn node(eval: &Evaluator, proposed: ProposedNode, place: Place) -> anyhow::Result<NoneType> {
    let at = here(eval);
    SETS.with_borrow_mut(|sets| {
        if sets.nodes.len() >= CALLS_MOST {
            bail!("more than {CALLS_MOST} nodes");
        }
        // Named again, the second line is where the fault is.
        sets.lines.insert(proposed.name.clone(), at);
        sets.places.insert(proposed.name.clone(), place);
        sets.nodes.push(proposed);
        Ok(NoneType)
    })
}

#[starlark_module]
pub(super) fn functions(builder: &mut GlobalsBuilder) {
    /// The tree's head: its number, and the domain under which its nodes sign a fill's way.
    fn hierarchy(
        #[starlark(require = named)] epoch: i64,
        #[starlark(require = named)] domain: &str,
        #[starlark(require = named, default = 5_000i64)] overlap_ms: i64,
        #[starlark(require = named, default = false)] skip_tiers: bool,
        #[starlark(require = named, default = NoneOr::None)] instead_of: NoneOr<i64>,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let host = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.';
        if domain.is_empty()
            || domain.len() > 190
            || !domain.bytes().all(host)
            || domain.contains("..")
        {
            bail!("domain: {domain:?} is no host name in lower case");
        }
        let head = Head {
            at: here(eval),
            epoch: whole("epoch", epoch)?,
            domain: domain.trim_matches('.').to_string(),
            overlap_ms: whole("overlap_ms", overlap_ms)?.min(3_600_000),
            skip: skip_tiers,
            instead_of: instead_of
                .into_option()
                .map(|n| whole("instead_of", n))
                .transpose()?,
        };
        once(|s| &mut s.head, head, "hierarchy")
    }

    /// The root: holds everything.
    fn archive(
        name: &str,
        #[starlark(require = named, default = NoneOr::None)] address: NoneOr<&str>,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let proposed = ProposedNode {
            name: name.to_string(),
            kind: NodeKind::Archive,
            parents: vec![],
        };
        node(
            eval,
            proposed,
            Place {
                address: addressed("address", address)?,
                fills_per_s: 0.0,
            },
        )
    }

    /// A hub, and whom it asks, in this order.
    fn hub(
        name: &str,
        #[starlark(require = named)] parents: UnpackList<String>,
        #[starlark(require = named, default = NoneOr::None)] address: NoneOr<&str>,
        #[starlark(require = named, default = 0i64)] fills_per_s: i64,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let proposed = ProposedNode {
            name: name.to_string(),
            kind: NodeKind::Hub,
            parents: parents.items,
        };
        let fills_per_s = whole("fills_per_s", fills_per_s)? as f64;
        node(
            eval,
            proposed,
            Place {
                address: addressed("address", address)?,
                fills_per_s,
            },
        )
    }

    /// A location, and the hubs that serve it, in this order.
    fn location(
        name: &str,
        #[starlark(require = named)] parents: UnpackList<String>,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let proposed = ProposedNode {
            name: name.to_string(),
            kind: NodeKind::Location,
            parents: parents.items,
        };
        node(
            eval,
            proposed,
            Place {
                address: None,
                fills_per_s: 0.0,
            },
        )
    }

    /// What a hub that started lately may be given.
    fn cold_start(
        #[starlark(require = named)] from_percent: UnpackFloat,
        #[starlark(require = named)] over_ms: i64,
        #[starlark(require = named)] breaks_at: UnpackFloat,
        #[starlark(require = named)] window_ms: i64,
        #[starlark(require = named, default = UnpackFloat(60.0))] use_percent: UnpackFloat,
    ) -> anyhow::Result<NoneType> {
        let rule = SlowStart {
            initial_ratio: within("from_percent", from_percent.0, 0.1, 100.0)? / 100.0,
            ramp_us: within("over_ms", over_ms as f64, 1.0, 3_600_000.0)? as u64 * 1_000,
            overload_multiple: within("breaks_at", breaks_at.0, 0.1, 1_000.0)?,
            overload_window_us: within("window_ms", window_ms as f64, 1.0, 600_000.0)? as u64
                * 1_000,
            budget_ratio: within("use_percent", use_percent.0, 1.0, 100.0)? / 100.0,
        };
        once(|s| &mut s.cold, rule, "cold_start")
    }

    /// The bounds of our own hubs.
    fn relay(
        #[starlark(require = named, default = 64i64)] memory_mb: i64,
        #[starlark(require = named, default = 512i64)] connections: i64,
        #[starlark(require = named, default = 256i64)] fetches: i64,
        #[starlark(require = named, default = 4_096i64)] waits: i64,
        #[starlark(require = named, default = 500i64)] lease_ms: i64,
        #[starlark(require = named, default = 4i64)] attempts: i64,
        #[starlark(require = named, default = 5_000i64)] wait_ms: i64,
        #[starlark(require = named, default = UnpackList::default())] writes: UnpackList<String>,
        #[starlark(require = named, default = NoneOr::None)] journal: NoneOr<&str>,
    ) -> anyhow::Result<NoneType> {
        let relay = valid(Relay {
            memory_mb: whole("memory_mb", memory_mb)?,
            connections: whole("connections", connections)?,
            fetches: whole("fetches", fetches)?,
            waits: whole("waits", waits)?,
            lease_ms: whole("lease_ms", lease_ms)?,
            attempts: whole("attempts", attempts)?,
            wait_ms: whole("wait_ms", wait_ms)?,
            writes: writes.items,
            journal: addressed("journal", journal)?,
        })?;
        once(|s| &mut s.operator.relay, relay, "relay")
    }
}
