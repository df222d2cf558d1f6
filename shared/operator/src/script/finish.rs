//! What only the whole file shows.

use super::sets::{valid, Sets};
use crate::values::{ExtProc, Hierarchy, Operator};
use anyhow::anyhow;
use foldmux_hierarchy::slow_start::SlowStart;
use foldmux_hierarchy::tree::{NodeKind, ProposedNode, Tree, TreeDraft};

/// Where the file says nothing: the figures of our first installation.
const DEFAULT_SLOW_START: SlowStart = SlowStart {
    initial_ratio: 0.067,
    ramp_us: 21_000_000,
    overload_multiple: 2.0,
    overload_window_us: 3_000_000,
    budget_ratio: 0.6,
};

/// What only the whole file shows: the tree, and whether its parts fit together.
pub(super) fn finish(name: &str, sets: Sets) -> Result<Operator, Vec<String>> {
    let Sets {
        head,
        nodes,
        places,
        lines,
        cold,
        asks,
        keys,
        ledger,
        ext_proc,
        limits,
        fleet,
        mut operator,
    } = sets;
    operator.limits = limits;
    operator.fleet = fleet.finish(name)?;
    match ext_proc {
        Some((at, own)) => {
            let whole = ExtProc {
                asks,
                keys,
                ledger,
                ..own
            };
            let checked = valid(whole)
                .and_then(|own| own.fits().map(|()| own).map_err(|why| anyhow!("{why}")));
            operator.ext_proc = Some(checked.map_err(|why| vec![format!("{at}: {why}")])?);
        }
        None if asks.is_empty() && keys.is_empty() && ledger.is_none() => {}
        None => {
            return Err(vec![format!(
                "{name}: ask, token_key and ledger need an ext_proc"
            )])
        }
    }
    let Some(head) = head else {
        let orphan = nodes.first().map(|n| n.name.as_str());
        return match (orphan, &operator.relay) {
            (Some(node), _) => Err(vec![format!(
                "{}: {node} is in no hierarchy: call hierarchy(…)",
                lines[node]
            )]),
            (None, Some(_)) => Err(vec![format!("{name}: a relay needs a hierarchy")]),
            (None, None) => Ok(operator),
        };
    };
    let draft = TreeDraft {
        epoch: head.epoch,
        instead_of: head.instead_of,
        skip_tiers: head.skip,
        nodes,
    };
    let tree = Tree::validate(&draft).map_err(|faults| {
        let at = |node: Option<&str>| node.and_then(|n| lines.get(n)).unwrap_or(&head.at);
        faults
            .iter()
            .map(|fault| format!("{}: {fault}", at(fault.node())))
            .collect::<Vec<_>>()
    })?;
    if operator.relay.is_some() {
        let without =
            |p: &&ProposedNode| p.kind != NodeKind::Location && places[&p.name].address.is_none();
        let faults: Vec<String> = draft
            .nodes
            .iter()
            .filter(without)
            .map(|p| {
                format!(
                    "{}: {} has no address, and relays must reach it",
                    lines[&p.name], p.name
                )
            })
            .collect();
        if !faults.is_empty() {
            return Err(faults);
        }
    }
    operator.hierarchy = Some(Hierarchy {
        nodes: tree
            .nodes()
            .map(|(_, n)| (n.name.clone(), places[&*n.name]))
            .collect(),
        tree,
        domain: head.domain,
        overlap_ms: head.overlap_ms,
        slow_start: cold.unwrap_or(DEFAULT_SLOW_START),
    });
    Ok(operator)
}
