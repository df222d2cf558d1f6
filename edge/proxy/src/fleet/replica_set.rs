//! The replica set and the clock drift of the operator's file, which all state machines of the fleet use.

use foldmux_operator::Fleet as FleetConfig;
use foldmux_replicas::{ClockDrift, Peer, ReplicaSet};

/// The replica set (`seat(...)` in the operator's file), and the greatest drift of clocks.
///
/// # Errors
///
/// Returns one line of text if either can't be used.
pub(crate) fn replica_set(config: &FleetConfig) -> Result<(ReplicaSet, ClockDrift), String> {
    let names = config.seats.iter().map(|name| Peer::new(name));
    let replicas = ReplicaSet::new(names).map_err(|e| format!("fleet: {e}"))?;
    let drift =
        ClockDrift::from_percent(config.drift_percent).map_err(|e| format!("fleet: {e}"))?;
    Ok((replicas, drift))
}
