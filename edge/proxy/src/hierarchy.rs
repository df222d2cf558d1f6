//! The fill hierarchy of the operator's file, in service at this edge proxy: applied to the router as the zones whose
//! parents it may use. Without a hierarchy in the file the settings hold, and nothing here is started.

use foldmux_core::clock::Clock;
use foldmux_core::event_loop::EventLoopHandle;
use foldmux_core::messages::Command;
use foldmux_hierarchy::tree::{NodeIndex, NodeKind, Tree};
use foldmux_hierarchy::versions::{Applied, TopologyVersions};
use foldmux_operator::Hierarchy;
use foldmux_settings::Decoded;
use std::fmt;

/// The zones of the settings, where this proxy stands among them, and the hub of each.
#[derive(Clone, Debug)]
pub struct Zones {
    /// The zones' names, in the order of their numbers.
    pub names: Vec<String>,
    /// The number of this proxy's zone.
    pub own: usize,
    /// The number of each zone's hub.
    pub hub_of: Vec<usize>,
}

/// Why a hierarchy can't be used at this proxy.
#[derive(Debug, PartialEq, Eq)]
pub enum HierarchyError {
    /// This proxy's zone is no location of the tree.
    NoLocation(String),
    /// A hub of the tree is no zone of the settings.
    UnknownHub(String),
    /// The tree can't follow on the one in service; the text says why.
    Refused(String),
}

impl fmt::Display for HierarchyError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HierarchyError::NoLocation(zone) => {
                write!(out, "{zone}, this proxy's zone, is no location of the tree")
            }
            HierarchyError::UnknownHub(hub) => {
                write!(out, "the hub {hub} is no zone of the settings")
            }
            HierarchyError::Refused(reason) => write!(out, "{reason}"),
        }
    }
}

impl std::error::Error for HierarchyError {}

impl Zones {
    /// The zones of a configuration.
    pub fn of(decoded: &Decoded) -> Zones {
        Zones {
            names: decoded.zones.clone(),
            own: decoded.settings.zone,
            hub_of: decoded.settings.hub_by_zone.clone(),
        }
    }

    fn own_name(&self) -> &str {
        self.names.get(self.own).map_or("", String::as_str)
    }

    /// What of a tree concerns this proxy.
    ///
    /// # Errors
    ///
    /// Where the tree can't be used here.
    pub fn topology_command(&self, tree: &Tree) -> Result<Command, HierarchyError> {
        let own = self.own_name();
        let own_location =
            location(tree, own).ok_or_else(|| HierarchyError::NoLocation(own.to_string()))?;
        let mut hub_of = self.hub_of.clone();
        for (zone, name) in self.names.iter().enumerate() {
            // A zone that the tree doesn't name keeps the hub that the settings give.
            let Some(location) = location(tree, name) else {
                continue;
            };
            let first = self.hubs(tree, location)?.first().copied();
            if let (Some(hub), Some(first)) = (hub_of.get_mut(zone), first) {
                *hub = first;
            }
        }
        Ok(Command::Topology {
            parent_zones: self.hubs(tree, own_location)?,
            hub_by_zone: hub_of,
        })
    }

    /// The hubs of a location, by their numbers among the zones.
    fn hubs(&self, tree: &Tree, location: NodeIndex) -> Result<Vec<usize>, HierarchyError> {
        let parents = tree.node(location).parents.iter();
        let hubs = parents.filter(|parent| **parent != tree.archive());
        hubs.map(|hub| self.number(tree.name(*hub))).collect()
    }

    fn number(&self, hub: &str) -> Result<usize, HierarchyError> {
        self.names
            .iter()
            .position(|zone| zone == hub)
            .ok_or_else(|| HierarchyError::UnknownHub(hub.to_string()))
    }
}

fn location(tree: &Tree, name: &str) -> Option<NodeIndex> {
    tree.find(name)
        .filter(|index| tree.node(*index).kind == NodeKind::Location)
}

/// The hierarchy in service.
pub struct ActiveHierarchy {
    versions: TopologyVersions,
    zones: Zones,
    clock: Clock,
    event_loop: EventLoopHandle,
}

impl ActiveHierarchy {
    /// Applies the tree of the start to the router.
    ///
    /// # Errors
    ///
    /// Where the tree can't be used here.
    pub fn start(
        hierarchy: &Hierarchy,
        zones: Zones,
        clock: Clock,
        event_loop: EventLoopHandle,
    ) -> Result<ActiveHierarchy, HierarchyError> {
        let command = zones.topology_command(&hierarchy.tree)?;
        let overlap = hierarchy.overlap_ms * 1_000;
        let versions = TopologyVersions::new(zones.own_name(), hierarchy.tree.clone(), overlap)
            .map_err(|refused| HierarchyError::Refused(refused.to_string()))?;
        event_loop.send(command);
        Ok(ActiveHierarchy {
            versions,
            zones,
            clock,
            event_loop,
        })
    }

    /// Applies the tree in service once more: the router's settings were replaced, and what they say of hubs is not what
    /// the tree says.
    ///
    /// # Errors
    ///
    /// Where the tree can't be used here.
    pub fn reapply(&self) -> Result<(), HierarchyError> {
        let command = self.zones.topology_command(self.versions.current())?;
        self.event_loop.send(command);
        Ok(())
    }

    /// Puts another tree in service. Returns a line that says which tree is in service now.
    ///
    /// # Errors
    ///
    /// Where the tree can't be used here; then nothing changes.
    pub fn replace(&mut self, hierarchy: &Hierarchy) -> Result<String, HierarchyError> {
        let command = self.zones.topology_command(&hierarchy.tree)?;
        let taken = self
            .versions
            .apply(self.clock.now(), hierarchy.tree.clone())
            .map_err(|refused| HierarchyError::Refused(refused.to_string()))?;
        if taken == Applied::New {
            self.event_loop.send(command);
        }
        let stamp = self.versions.current().version();
        Ok(format!("tree {stamp} is in service"))
    }
}

#[cfg(test)]
mod tests;
