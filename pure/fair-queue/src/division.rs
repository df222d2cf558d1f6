//! How many of a pool's slots each process should hold, by demand. Tenants share the slots by weight and none gets
//! more than it wants (max-min fairness); a process gets a part of each tenant's slots in proportion to the tenant's
//! demand there.
//!
//! Every process computes this by itself from the digests it has, so two processes may get different results. The
//! pool's limit still holds, because a process may only use slots that the pool's replicas lease to it
//! ([`crate::slots`]). A process's number is at least [`guaranteed_slots`] or its demand rounded down, whichever is
//! less, whatever demand others report.

use crate::digest::ProcessDemand;
use std::collections::BTreeMap;

/// Half of an equal share of the slots. A process that has demand for that many keeps them, whatever demand others
/// report.
pub fn guaranteed_slots(slots: usize, processes: usize) -> usize {
    slots / (2 * processes.max(1))
}

/// Added to the remainder (in slots) of a process that already holds the slot that it would get by rounding up.
const HOLD_BONUS: f64 = 0.5;

fn from_thousandths(thousandths: u32) -> f64 {
    thousandths as f64 / 1_000.0
}

/// Total demand of a process, in slots.
pub fn demand(process: &ProcessDemand) -> f64 {
    process
        .wanted
        .iter()
        .map(|(_, wanted)| from_thousandths(*wanted))
        .sum()
}

/// Max-min fair shares of `slots`, by pairs of weight and demand.
fn max_min_fair(slots: f64, tenants: &[(f64, f64)]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..tenants.len()).collect();
    // By demand per weight: as shares grow in proportion to the weights, the tenant with the least is satisfied first.
    order.sort_by(|a, b| {
        let level = |index: &usize| tenants[*index].1 / tenants[*index].0;
        level(a).total_cmp(&level(b)).then(a.cmp(b))
    });
    let mut weights: f64 = tenants.iter().map(|t| t.0).sum();
    let (mut remaining, mut shares) = (slots, vec![0.0; tenants.len()]);
    for index in order {
        let (weight, wanted) = tenants[index];
        let share = if weights > 0.0 {
            (remaining * weight / weights).clamp(0.0, wanted)
        } else {
            0.0
        };
        shares[index] = share;
        remaining -= share;
        weights -= weight;
    }
    shares
}

/// The number of slots for each process, in the order of `fleet`. `weight` gives the weight of a named tenant in
/// thousandths; `unnamed_weight` is that of all others together.
pub fn targets(
    slots: usize,
    fleet: &[ProcessDemand],
    weight: impl Fn(u64) -> Option<u64>,
    unnamed_weight: u64,
) -> Vec<usize> {
    if fleet.is_empty() {
        return Vec::new();
    }
    let mut demands: BTreeMap<u64, f64> = BTreeMap::new();
    let reports = fleet.iter().flat_map(|process| &process.wanted);
    reports.for_each(|(tenant, wanted)| {
        *demands.entry(*tenant).or_default() += from_thousandths(*wanted)
    });
    let unnamed_count = demands
        .keys()
        .filter(|tenant| weight(**tenant).is_none())
        .count()
        .max(1);
    // A tenant of weight 0 still gets what no other wants.
    let weigh = |tenant: u64| {
        weight(tenant)
            .map_or(unnamed_weight as f64 / unnamed_count as f64, |w| w as f64)
            .max(1e-9)
    };
    let tenants: Vec<(f64, f64)> = demands
        .iter()
        .map(|(tenant, wanted)| (weigh(*tenant), *wanted))
        .collect();
    let shares = max_min_fair(slots as f64, &tenants);
    let satisfied: BTreeMap<u64, f64> = demands
        .iter()
        .zip(&shares)
        .map(|((tenant, wanted), share)| (*tenant, share / wanted))
        .collect();
    let idle = (slots as f64 - shares.iter().sum::<f64>()).max(0.0) / fleet.len() as f64;
    let share_of = |process: &ProcessDemand| {
        let own: f64 = process
            .wanted
            .iter()
            .map(|(tenant, wanted)| from_thousandths(*wanted) * satisfied[tenant])
            .sum();
        (own + idle).max(demand(process).min(guaranteed_slots(slots, fleet.len()) as f64))
    };
    let exact: Vec<f64> = fleet.iter().map(share_of).collect();
    let mut counts: Vec<usize> = exact.iter().map(|share| (*share + 1e-9) as usize).collect();
    // Slots left over by rounding down go to the processes with the largest remainders. A process that holds more slots
    // than its rounded-down share precedes one that doesn't, unless the other's remainder is larger by more than
    // `HOLD_BONUS`: otherwise slots would move with each small change of demand.
    let mut order: Vec<usize> = (0..fleet.len()).collect();
    let priority = |index: usize| {
        exact[index].fract()
            + if fleet[index].held > counts[index] {
                HOLD_BONUS
            } else {
                0.0
            }
    };
    order.sort_by(|a, b| priority(*b).total_cmp(&priority(*a)).then(a.cmp(b)));
    let remaining = slots.saturating_sub(counts.iter().sum());
    order
        .into_iter()
        .take(remaining)
        .for_each(|index| counts[index] += 1);
    counts
}

#[cfg(test)]
mod tests;
