//! The fill hierarchy of the operator's file: applied to the router as the list of zones whose parents this edge proxy
//! may use. Without a hierarchy in the file the settings decide, and nothing in this module is started.

use foldmux_core::clock::Clock;
use foldmux_core::messages::Command;
use foldmux_core::EventLoopHandle;
use foldmux_hierarchy::tree::{NodeIndex, NodeKind, Tree};
use foldmux_hierarchy::versions::{Applied, TopologyVersions};
use foldmux_operator::Hierarchy;
use foldmux_settings::Decoded;
use std::fmt;

/// The zones of the settings, this proxy's zone among them, and the hub of each.
#[derive(Clone, Debug)]
pub struct Zones {
    /// The names of the zones, in the order of their numbers.
    pub names: Vec<String>,
    /// The number of this proxy's zone.
    pub own_zone: usize,
    /// The number of each zone's hub, by the number of the zone.
    pub hub_by_zone: Vec<usize>,
}

/// Why a hierarchy can't be used at this proxy.
#[derive(Debug, PartialEq, Eq)]
pub enum HierarchyError {
    /// This proxy's zone is not a location of the tree.
    NoLocation(String),
    /// A hub of the tree is not a zone of the settings.
    UnknownHub(String),
    /// The tree must not replace the one in service, for the given reason.
    Rejected(String),
}

impl fmt::Display for HierarchyError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HierarchyError::NoLocation(zone) => {
                write!(
                    out,
                    "this proxy's zone {zone} is not a location of the tree"
                )
            }
            HierarchyError::UnknownHub(hub) => {
                write!(out, "hub {hub} is not a zone of the settings")
            }
            HierarchyError::Rejected(reason) => write!(out, "{reason}"),
        }
    }
}

impl std::error::Error for HierarchyError {}

impl Zones {
    /// The zones of a configuration.
    pub fn of(decoded: &Decoded) -> Zones {
        Zones {
            names: decoded.zones.clone(),
            own_zone: decoded.settings.zone,
            hub_by_zone: decoded.settings.hub_by_zone.clone(),
        }
    }

    fn own_name(&self) -> &str {
        self.names.get(self.own_zone).map_or("", String::as_str)
    }

    /// The part of a tree that concerns this proxy, as a command for the router.
    ///
    /// # Errors
    ///
    /// Returns an error if this proxy's zone is not a location of the tree, or a hub is not a zone of the settings.
    pub fn topology_command(&self, tree: &Tree) -> Result<Command, HierarchyError> {
        let own = self.own_name();
        let own_location =
            find_location(tree, own).ok_or_else(|| HierarchyError::NoLocation(own.to_string()))?;
        let mut hub_by_zone = self.hub_by_zone.clone();
        for (zone, name) in self.names.iter().enumerate() {
            // A zone that is not a location of the tree keeps the hub of the settings.
            let Some(location) = find_location(tree, name) else {
                continue;
            };
            let first = self.parent_zones(tree, location)?.first().copied();
            if let (Some(hub), Some(first)) = (hub_by_zone.get_mut(zone), first) {
                *hub = first;
            }
        }
        Ok(Command::Topology {
            parent_zones: self.parent_zones(tree, own_location)?,
            hub_by_zone,
        })
    }

    /// The zones of a location's parent hubs, in the location's order.
    fn parent_zones(&self, tree: &Tree, location: NodeIndex) -> Result<Vec<usize>, HierarchyError> {
        let parents = tree.node(location).parents.iter();
        let hubs = parents.filter(|parent| **parent != tree.archive());
        hubs.map(|hub| self.zone_of_hub(tree.name(*hub))).collect()
    }

    fn zone_of_hub(&self, hub: &str) -> Result<usize, HierarchyError> {
        self.names
            .iter()
            .position(|zone| zone == hub)
            .ok_or_else(|| HierarchyError::UnknownHub(hub.to_string()))
    }
}

fn find_location(tree: &Tree, name: &str) -> Option<NodeIndex> {
    tree.find(name)
        .filter(|index| tree.node(*index).kind == NodeKind::Location)
}

/// The fill hierarchy in service.
pub struct ActiveHierarchy {
    versions: TopologyVersions,
    zones: Zones,
    clock: Clock,
    event_loop: EventLoopHandle,
}

impl ActiveHierarchy {
    /// Applies the first tree to the router.
    ///
    /// # Errors
    ///
    /// Returns an error if this proxy can't use the tree.
    pub fn start(
        hierarchy: &Hierarchy,
        zones: Zones,
        clock: Clock,
        event_loop: EventLoopHandle,
    ) -> Result<ActiveHierarchy, HierarchyError> {
        let command = zones.topology_command(&hierarchy.tree)?;
        let overlap = hierarchy.overlap_ms * 1_000;
        let versions = TopologyVersions::new(zones.own_name(), hierarchy.tree.clone(), overlap)
            .map_err(|rejected| HierarchyError::Rejected(rejected.to_string()))?;
        event_loop.send(command);
        Ok(ActiveHierarchy {
            versions,
            zones,
            clock,
            event_loop,
        })
    }

    /// Applies the tree in service again. Needed after the router's settings were replaced, because their hubs are not
    /// those of the tree.
    ///
    /// # Errors
    ///
    /// Returns an error if this proxy can't use the tree.
    pub fn reapply(&self) -> Result<(), HierarchyError> {
        let command = self.zones.topology_command(self.versions.current())?;
        self.event_loop.send(command);
        Ok(())
    }

    /// Puts another tree in service. Returns a line for the log that names the tree now in service.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if this proxy can't use the tree or it must not replace the one in
    /// service.
    pub fn replace(&mut self, hierarchy: &Hierarchy) -> Result<String, HierarchyError> {
        let command = self.zones.topology_command(&hierarchy.tree)?;
        let applied = self
            .versions
            .apply(self.clock.now(), hierarchy.tree.clone())
            .map_err(|rejected| HierarchyError::Rejected(rejected.to_string()))?;
        if applied == Applied::New {
            self.event_loop.send(command);
        }
        let version = self.versions.current().version();
        Ok(format!("tree {version} is in service"))
    }
}

#[cfg(test)]
mod tests;
