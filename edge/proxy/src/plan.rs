//! `foldmux plan`: what a change of the hierarchy would move.

use foldmux_hierarchy::plan::{plan, Plan};
use foldmux_hierarchy::tree::NodeKind;
use foldmux_hierarchy::versions::TopologyVersions;
use foldmux_operator::Hierarchy;
use std::fmt;

/// Why the tree in service would not take the other.
#[derive(Debug, PartialEq, Eq)]
pub enum PlanError {
    /// The old tree can't be in service.
    Old(String),
    /// The new tree can't follow on the old one.
    Refused(String),
}

impl fmt::Display for PlanError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::Old(reason) => write!(out, "{reason}"),
            PlanError::Refused(reason) => write!(out, "it would be refused: {reason}"),
        }
    }
}

impl std::error::Error for PlanError {}

/// Prints what a change from `old` to `new` moves.
///
/// # Errors
///
/// Where the tree in service would refuse the change.
pub fn print_plan(old: &Hierarchy, new: &Hierarchy) -> Result<(), PlanError> {
    println!("tree {} -> {}", old.tree.version(), new.tree.version());
    print_moves(&plan(&old.tree, &new.tree));
    let root = old.tree.name(old.tree.archive());
    let mut versions = TopologyVersions::new(root, old.tree.clone(), 0)
        .map_err(|refused| PlanError::Old(refused.to_string()))?;
    let taken = versions
        .apply(1, new.tree.clone())
        .map_err(|refused| PlanError::Refused(refused.to_string()))?;
    println!("it would be taken ({taken:?})");
    Ok(())
}

fn print_moves(plan: &Plan) {
    for name in &plan.added {
        println!("  new      {name}");
    }
    for name in &plan.removed {
        println!("  gone     {name}");
    }
    for change in &plan.reparented {
        let (kind, name) = (change.kind, &change.name);
        let (before, after) = (change.before.join(", "), change.after.join(", "));
        println!("  rewired  {kind} {name}: {before} -> {after}");
    }
    let rewired = |kind| plan.reparented.iter().filter(|c| c.kind == kind).count();
    println!(
        "{} locations and {} hubs rewired",
        rewired(NodeKind::Location),
        rewired(NodeKind::Hub)
    );
    println!(
        "{:.1}% of objects get another shield",
        plan.shields_moved * 100.0
    );
    println!(
        "{:.1}% of (location, object) go by other hubs",
        plan.paths_moved * 100.0
    );
    println!(
        "{:.3} extra fetches from the archive for each held object, at the most",
        plan.extra_fetches
    );
}
