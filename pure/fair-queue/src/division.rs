//! How many of a pool's slots each process should hold: by what tenants want there. Tenants share by weight, none gets more
//! than it wants (max-min fair), and a process gets its tenants' parts in proportion to what they want there.
//!
//! Every process works this out for itself from the digests that it has; where they differ the replicas' leases still bound
//! the sum. Each process with work keeps [`floor`], whatever another says that it wants.

use crate::digest::Process;
use std::collections::BTreeMap;

/// Half of an equal part: what no other's claims take from a process that wants it.
pub fn floor(slots: usize, processes: usize) -> usize {
    slots / (2 * processes.max(1))
}

/// By so much of a slot one that is held weighs more.
const STAYS: f64 = 0.5;

fn slots_of(thousandths: u32) -> f64 {
    thousandths as f64 / 1_000.0
}

/// All that a process wants.
pub fn wants(process: &Process) -> f64 {
    process.wants.iter().map(|(_, n)| slots_of(*n)).sum()
}

/// Each tenant's slots, by its weight and what it wants.
fn fair(slots: f64, tenants: &[(f64, f64)]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..tenants.len()).collect();
    // Those satisfied first stand first.
    order.sort_by(|a, b| {
        let level = |at: &usize| tenants[*at].1 / tenants[*at].0;
        level(a).total_cmp(&level(b)).then(a.cmp(b))
    });
    let mut weights: f64 = tenants.iter().map(|t| t.0).sum();
    let (mut left, mut parts) = (slots, vec![0.0; tenants.len()]);
    for at in order {
        let (weight, wants) = tenants[at];
        let part = if weights > 0.0 {
            (left * weight / weights).clamp(0.0, wants)
        } else {
            0.0
        };
        parts[at] = part;
        left -= part;
        weights -= weight;
    }
    parts
}

/// Slots for each process, in their order. `weight`: of a tenant that is named, in thousandths; `unnamed`: of all others
/// together.
pub fn targets(
    slots: usize,
    fleet: &[Process],
    weight: impl Fn(u64) -> Option<u64>,
    unnamed: u64,
) -> Vec<usize> {
    if fleet.is_empty() {
        return Vec::new();
    }
    let mut want: BTreeMap<u64, f64> = BTreeMap::new();
    let told = fleet.iter().flat_map(|process| &process.wants);
    told.for_each(|(tenant, n)| *want.entry(*tenant).or_default() += slots_of(*n));
    let nameless = want
        .keys()
        .filter(|tenant| weight(**tenant).is_none())
        .count()
        .max(1);
    // One of no weight still gets what no other wants.
    let weigh = |tenant: u64| {
        weight(tenant)
            .map_or(unnamed as f64 / nameless as f64, |w| w as f64)
            .max(1e-9)
    };
    let tenants: Vec<(f64, f64)> = want
        .iter()
        .map(|(tenant, n)| (weigh(*tenant), *n))
        .collect();
    let parts = fair(slots as f64, &tenants);
    let rate: BTreeMap<u64, f64> = want
        .iter()
        .zip(&parts)
        .map(|((tenant, n), part)| (*tenant, part / n))
        .collect();
    let idle = (slots as f64 - parts.iter().sum::<f64>()).max(0.0) / fleet.len() as f64;
    let of = |process: &Process| {
        let own: f64 = process
            .wants
            .iter()
            .map(|(tenant, n)| slots_of(*n) * rate[tenant])
            .sum();
        (own + idle).max(wants(process).min(floor(slots, fleet.len()) as f64))
    };
    let exact: Vec<f64> = fleet.iter().map(of).collect();
    let mut whole: Vec<usize> = exact.iter().map(|part| (*part + 1e-9) as usize).collect();
    // What is left over goes to the largest remainders; who holds such a slot keeps it until another has the better of it
    // by so much: slots would else be under way at each small change of wants.
    let mut order: Vec<usize> = (0..fleet.len()).collect();
    let claim = |at: usize| {
        exact[at].fract()
            + if fleet[at].held > whole[at] {
                STAYS
            } else {
                0.0
            }
    };
    order.sort_by(|a, b| claim(*b).total_cmp(&claim(*a)).then(a.cmp(b)));
    let left = slots.saturating_sub(whole.iter().sum());
    order.into_iter().take(left).for_each(|at| whole[at] += 1);
    whole
}

#[cfg(test)]
mod tests;
