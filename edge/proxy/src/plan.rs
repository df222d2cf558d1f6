//! `foldmux plan`: prints what a change of the fill hierarchy would move.

use foldmux_hierarchy::plan::{plan, Plan};
use foldmux_hierarchy::tree::NodeKind;
use foldmux_hierarchy::versions::TopologyVersions;
use foldmux_operator::Hierarchy;
use std::fmt;

/// Why the change would be rejected.
#[derive(Debug, PartialEq, Eq)]
pub enum PlanError {
    /// The old tree itself can't be used, for the given reason.
    Old(String),
    /// The new tree must not replace the old one, for the given reason.
    Rejected(String),
}

impl fmt::Display for PlanError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::Old(reason) => write!(out, "{reason}"),
            PlanError::Rejected(reason) => {
                write!(out, "the new tree would be rejected: {reason}")
            }
        }
    }
}

impl std::error::Error for PlanError {}

/// Prints what a change from `old` to `new` would move.
///
/// # Errors
///
/// Returns an error if the change would be rejected; what it would move has been printed then.
pub fn print_plan(old: &Hierarchy, new: &Hierarchy) -> Result<(), PlanError> {
    println!("tree {} -> {}", old.tree.version(), new.tree.version());
    print_moves(&plan(&old.tree, &new.tree));
    let root = old.tree.name(old.tree.archive());
    let mut versions = TopologyVersions::new(root, old.tree.clone(), 0)
        .map_err(|rejected| PlanError::Old(rejected.to_string()))?;
    let applied = versions
        .apply(1, new.tree.clone())
        .map_err(|rejected| PlanError::Rejected(rejected.to_string()))?;
    println!("the new tree would be accepted ({applied:?})");
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
        "{:.1}% of (location, object) pairs are filled through other hubs",
        plan.paths_moved * 100.0
    );
    println!(
        "at most {:.3} extra fetches from the archive for each cached object",
        plan.extra_fetches
    );
}
