//! The fill tree in service at this edge proxy, by the operator's file: told to the module as the zones whose
//! parents it may name. Without a hierarchy in the file the settings hold, and nothing here is started.

use foldmux_core::clock::Clock;
use foldmux_core::desk::{DeskHandle, Notice};
use foldmux_hierarchy::epochs::{Taken, Wiring};
use foldmux_hierarchy::tree::{Kind, Tree};
use foldmux_operator::Hierarchy;

/// What the settings call the zones, where this proxy stands, and the hubs that they give.
#[derive(Clone, Debug)]
pub struct Zones {
    pub names: Vec<String>,
    pub own: usize,
    pub hub_of: Vec<usize>,
}

pub struct ActiveHierarchy {
    wiring: Wiring,
    zones: Zones,
    clock: Clock,
    desk: DeskHandle,
}

impl Zones {
    fn number(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|zone| zone == name)
    }

    /// What of a tree concerns this proxy, or why it can't be used here.
    pub fn notice(&self, tree: &Tree) -> Result<Notice, String> {
        let own = self.names.get(self.own).map_or("", String::as_str);
        let ix = tree
            .find(own)
            .filter(|ix| tree.node(*ix).kind == Kind::Location);
        let ix =
            ix.ok_or_else(|| format!("{own}, this proxy's zone, is no location of the tree"))?;
        let of = |ix| -> Result<Vec<usize>, String> {
            let hubs = tree
                .node(ix)
                .parents
                .iter()
                .filter(|p| **p != tree.archive());
            hubs.map(|hub| {
                let name = tree.name(*hub);
                self.number(name)
                    .ok_or_else(|| format!("the hub {name} is no zone of the settings"))
            })
            .collect()
        };
        let mut hub_of = self.hub_of.clone();
        for (zone, name) in self.names.iter().enumerate() {
            // A zone that the tree doesn't name keeps the hub that the settings give.
            let hubs = tree
                .find(name)
                .filter(|ix| tree.node(*ix).kind == Kind::Location)
                .map(of)
                .transpose()?;
            let first = hubs.and_then(|hubs| hubs.first().copied());
            if let (Some(held), Some(first)) = (hub_of.get_mut(zone), first) {
                *held = first;
            }
        }
        Ok(Notice::Wired {
            hubs: of(ix)?,
            hub_of,
        })
    }
}

impl ActiveHierarchy {
    /// Takes the tree of the start and tells the module.
    pub fn start(
        hierarchy: &Hierarchy,
        zones: Zones,
        clock: Clock,
        desk: DeskHandle,
    ) -> Result<ActiveHierarchy, String> {
        let notice = zones.notice(&hierarchy.tree)?;
        let own = zones.names.get(zones.own).map_or("", String::as_str);
        let wiring = Wiring::new(own, hierarchy.tree.clone(), hierarchy.overlap_ms * 1_000);
        let wiring = wiring.map_err(|refused| refused.to_string())?;
        desk.tell(notice);
        Ok(ActiveHierarchy {
            wiring,
            zones,
            clock,
            desk,
        })
    }

    /// Tells the module the tree in service once more: its settings were taken anew, and what they say of hubs is not what
    /// the tree says.
    pub fn tell_again(&self) -> Result<(), String> {
        self.desk.tell(self.zones.notice(self.wiring.present())?);
        Ok(())
    }

    /// A new tree, or why it changes nothing.
    pub fn take(&mut self, hierarchy: &Hierarchy) -> Result<String, String> {
        let notice = self.zones.notice(&hierarchy.tree)?;
        let taken = self.wiring.take(self.clock.now(), hierarchy.tree.clone());
        if taken.map_err(|refused| refused.to_string())? == Taken::New {
            self.desk.tell(notice);
        }
        Ok(format!(
            "tree {} is in service",
            self.wiring.present().stamp()
        ))
    }
}

#[cfg(test)]
mod tests;
