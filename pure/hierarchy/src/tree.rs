//! One tree: its nodes, their ordered parents, and the checks without which no tree comes to be.

use crate::mix;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// Most nodes of a tree, and most parents of one node.
pub const NODES_MOST: usize = 16_384;
pub const PARENTS_MOST: usize = 8;
/// Longest name of a node: a label of a host name, as the way's header wants it.
pub const NAME_MOST: usize = 63;

/// A node's place in one tree; it means nothing in another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ix(pub u16);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Caches and edge proxies of one place; asks for fills and gives none.
    Location,
    Hub,
    /// Holds everything; the one root.
    Archive,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Kind::Location => "location",
            Kind::Hub => "hub",
            Kind::Archive => "archive",
        })
    }
}

/// A tree as somebody proposes it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Draft {
    pub epoch: u64,
    /// The epoch in service that this takes the place of, though its own number is lower.
    pub instead_of: Option<u64>,
    /// Locations may have the archive as a parent.
    pub skip: bool,
    pub nodes: Vec<Proposed>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposed {
    pub name: String,
    pub kind: Kind,
    /// In the order in which they are asked.
    pub parents: Vec<String>,
}

/// Why a tree can't be taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    EpochZero,
    Empty,
    TooManyNodes(usize),
    Name(String),
    Twice(String),
    Archives(Vec<String>),
    ArchiveHasParents(String),
    Parentless(String, Kind),
    TooManyParents(String, usize),
    ParentTwice(String, String),
    Unknown(String, String),
    ParentIsLocation(String, String),
    Skips(String),
    ArchiveNotLast(String),
    /// From a node by its parents back to itself.
    Cycle(Vec<String>),
}

impl Fault {
    /// The node that the fault is told of, where there is one.
    pub fn node(&self) -> Option<&str> {
        match self {
            Fault::EpochZero | Fault::Empty | Fault::TooManyNodes(_) => None,
            Fault::Archives(names) | Fault::Cycle(names) => names.first().map(String::as_str),
            Fault::Name(node) | Fault::Twice(node) | Fault::ArchiveHasParents(node) => Some(node),
            Fault::Parentless(node, _) | Fault::TooManyParents(node, _) | Fault::ParentTwice(node, _) => {
                Some(node)
            }
            Fault::Unknown(node, _) | Fault::ParentIsLocation(node, _) => Some(node),
            Fault::Skips(node) | Fault::ArchiveNotLast(node) => Some(node),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::EpochZero => write!(f, "the epoch must be 1 or more"),
            Fault::Empty => write!(f, "there is no node"),
            Fault::TooManyNodes(n) => write!(f, "{n} nodes, {NODES_MOST} at most"),
            Fault::Name(name) => write!(
                f,
                "{name:?} is no name: 1 to {NAME_MOST} lower-case letters, digits and inner hyphens"
            ),
            Fault::Twice(name) => write!(f, "{name} is there twice"),
            Fault::Archives(names) if names.is_empty() => write!(f, "there is no archive"),
            Fault::Archives(names) => {
                write!(f, "{} archives ({}); there is one", names.len(), names.join(", "))
            }
            Fault::ArchiveHasParents(name) => write!(f, "the archive {name} has parents; it is the root"),
            Fault::Parentless(name, kind) => {
                write!(f, "{kind} {name} has no parent: it can't reach the archive")
            }
            Fault::TooManyParents(name, n) => write!(f, "{name} has {n} parents, {PARENTS_MOST} at most"),
            Fault::ParentTwice(name, parent) => write!(f, "{name} names its parent {parent} twice"),
            Fault::Unknown(name, parent) => write!(f, "{name} names the parent {parent}, which is no node"),
            Fault::ParentIsLocation(name, parent) => {
                write!(f, "{name} names the location {parent} as a parent; locations give no fills")
            }
            Fault::Skips(name) => write!(
                f,
                "location {name} names the archive as a parent, past all hubs; skip_tiers = True allows it"
            ),
            Fault::ArchiveNotLast(name) => {
                write!(f, "{name} names the archive before other parents; the archive comes last")
            }
            Fault::Cycle(names) => write!(f, "fills would go in a circle: {}", names.join(" -> ")),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Node {
    pub name: Arc<str>,
    pub kind: Kind,
    pub parents: Vec<Ix>,
    /// Stands for the name where objects are hashed over nodes.
    pub(crate) seed: u64,
}

/// Which tree a fill was routed by: two trees never share one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Stamp {
    pub epoch: u64,
    pub digest: u32,
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}-{:08x}", self.epoch, self.digest)
    }
}

impl Stamp {
    pub fn parse(text: &str) -> Option<Stamp> {
        let (epoch, digest) = text.split_once('-')?;
        let digits = |t: &str| !t.is_empty() && t.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits(epoch) || !digits(digest) || digest.len() != 8 {
            return None;
        }
        Some(Stamp { epoch: epoch.parse().ok()?, digest: u32::from_str_radix(digest, 16).ok()? })
    }
}

/// A tree that passed every check. It has no cycle, and each node reaches the archive.
#[derive(Clone, Debug)]
pub struct Tree {
    stamp: Stamp,
    instead_of: Option<u64>,
    nodes: Vec<Node>,
    archive: Ix,
    /// Hubs that ask the archive alone: an object's shield is one of them.
    tops: Vec<Ix>,
    /// Longest way to the archive, in steps, the one over a shield counted.
    heights: Vec<u8>,
    by_name: HashMap<Arc<str>, Ix>,
}

impl Tree {
    /// The tree, or all that is wrong with the draft, in the order of its nodes.
    pub fn check(draft: &Draft) -> Result<Tree, Vec<Fault>> {
        let mut faults = Vec::new();
        if draft.epoch == 0 {
            faults.push(Fault::EpochZero);
        }
        if draft.nodes.is_empty() {
            faults.push(Fault::Empty);
        }
        if draft.nodes.len() > NODES_MOST {
            // Nothing more is looked at: the draft may be without bounds.
            return Err(vec![Fault::TooManyNodes(draft.nodes.len())]);
        }
        // Nodes stand in the order of their names: the same tree is the same however it was written down.
        let mut sorted: Vec<&Proposed> = draft.nodes.iter().collect();
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        let mut by_name: HashMap<Arc<str>, Ix> = HashMap::with_capacity(sorted.len());
        for (at, proposed) in sorted.iter().enumerate() {
            if by_name.insert(proposed.name.as_str().into(), Ix(at as u16)).is_some() {
                faults.push(Fault::Twice(proposed.name.clone()));
            }
        }
        for proposed in &draft.nodes {
            look_at(draft, proposed, &by_name, &sorted, &mut faults);
        }
        let archives: Vec<&Proposed> = draft.nodes.iter().filter(|n| n.kind == Kind::Archive).collect();
        if archives.len() != 1 && !draft.nodes.is_empty() {
            faults.push(Fault::Archives(archives.iter().map(|n| n.name.clone()).collect()));
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        let nodes: Vec<Node> = sorted
            .iter()
            .map(|p| Node {
                name: p.name.as_str().into(),
                kind: p.kind,
                parents: p.parents.iter().map(|parent| by_name[parent.as_str()]).collect(),
                seed: hash(p.name.bytes()),
            })
            .collect();
        let order = upward(&nodes).map_err(|circle| {
            let names = circle.iter().map(|ix| nodes[ix.0 as usize].name.to_string()).collect();
            vec![Fault::Cycle(names)]
        })?;
        let archive = by_name[archives[0].name.as_str()];
        let top =
            |ix: &Ix| nodes[ix.0 as usize].kind == Kind::Hub && nodes[ix.0 as usize].parents == [archive];
        let tops = (0..nodes.len() as u16).map(Ix).filter(top).collect();
        let mut heights = vec![0u8; nodes.len()];
        for ix in order {
            let node = &nodes[ix.0 as usize];
            let above = node.parents.iter().map(|p| heights[p.0 as usize]).max();
            let over_shield = node.kind == Kind::Hub && node.parents.last() == Some(&archive);
            let least = if over_shield { 2 } else { 0 };
            heights[ix.0 as usize] = above.map_or(0, |h| h.saturating_add(1)).max(least);
        }
        let stamp = Stamp { epoch: draft.epoch, digest: digest(&nodes) };
        Ok(Tree { stamp, instead_of: draft.instead_of, nodes, archive, tops, heights, by_name })
    }

    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    pub fn epoch(&self) -> u64 {
        self.stamp.epoch
    }

    pub fn instead_of(&self) -> Option<u64> {
        self.instead_of
    }

    pub fn find(&self, name: &str) -> Option<Ix> {
        self.by_name.get(name).copied()
    }

    pub fn node(&self, ix: Ix) -> &Node {
        &self.nodes[ix.0 as usize]
    }

    pub fn name(&self, ix: Ix) -> &Arc<str> {
        &self.node(ix).name
    }

    pub fn archive(&self) -> Ix {
        self.archive
    }

    /// Steps from a node to the archive, on the longest way that a fill may take while all is well.
    pub fn height(&self, ix: Ix) -> u8 {
        self.heights[ix.0 as usize]
    }

    pub fn tallest(&self) -> u8 {
        self.heights.iter().copied().max().unwrap_or(0)
    }

    pub fn tops(&self) -> &[Ix] {
        &self.tops
    }

    pub fn nodes(&self) -> impl Iterator<Item = (Ix, &Node)> {
        self.nodes.iter().enumerate().map(|(at, node)| (Ix(at as u16), node))
    }

    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = (Ix, &Node)> {
        self.nodes().filter(move |(_, node)| node.kind == kind)
    }

    /// The nodes that may ask this one: those that name it as a parent, and for a top hub all that go over a shield.
    pub fn callers(&self, ix: Ix) -> impl Iterator<Item = Ix> + '_ {
        self.nodes().filter(move |(at, _)| self.allows(*at, ix)).map(|(at, _)| at)
    }

    /// A caller's place among all that may ask a node, and how many they are.
    pub fn turn(&self, ix: Ix, caller: Ix) -> (usize, usize) {
        let callers: Vec<Ix> = self.callers(ix).collect();
        (callers.iter().position(|c| *c == caller).unwrap_or(0), callers.len())
    }
}

/// What can be said of one node by itself and its parents' names.
fn look_at(
    draft: &Draft,
    proposed: &Proposed,
    by_name: &HashMap<Arc<str>, Ix>,
    sorted: &[&Proposed],
    faults: &mut Vec<Fault>,
) {
    let Proposed { name, kind, parents } = proposed;
    if !well_named(name) {
        faults.push(Fault::Name(name.clone()));
    }
    match (kind, parents.len()) {
        (Kind::Archive, 0) => {}
        (Kind::Archive, _) => faults.push(Fault::ArchiveHasParents(name.clone())),
        (_, 0) => faults.push(Fault::Parentless(name.clone(), *kind)),
        (_, n) if n > PARENTS_MOST => faults.push(Fault::TooManyParents(name.clone(), n)),
        _ => {}
    }
    for (at, parent) in parents.iter().enumerate() {
        let Some(ix) = by_name.get(parent.as_str()) else {
            faults.push(Fault::Unknown(name.clone(), parent.clone()));
            continue;
        };
        if parents[..at].contains(parent) {
            faults.push(Fault::ParentTwice(name.clone(), parent.clone()));
        }
        match sorted[ix.0 as usize].kind {
            Kind::Location => faults.push(Fault::ParentIsLocation(name.clone(), parent.clone())),
            Kind::Archive if *kind == Kind::Location && !draft.skip => {
                faults.push(Fault::Skips(name.clone()))
            }
            // Guards against a hub that has the archive first and a lower hub behind it: the way over the shield
            // and back down would be a circle that no list of parents shows.
            Kind::Archive if at + 1 < parents.len() => faults.push(Fault::ArchiveNotLast(name.clone())),
            _ => {}
        }
    }
}

fn well_named(name: &str) -> bool {
    let inner = name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    inner && !name.is_empty() && name.len() <= NAME_MOST && !name.starts_with('-') && !name.ends_with('-')
}

/// All nodes, each after its parents; or a circle of parents, from a node back to itself. All parents count, as each
/// may be used.
fn upward(nodes: &[Node]) -> Result<Vec<Ix>, Vec<Ix>> {
    #[derive(Clone, Copy, PartialEq)]
    enum Seen {
        No,
        Open,
        Done,
    }
    let mut seen = vec![Seen::No; nodes.len()];
    let mut order = Vec::with_capacity(nodes.len());
    for start in 0..nodes.len() as u16 {
        // The nodes on the way, each with the number of its parents that were looked at. No recursion: a chain
        // may be as long as the tree.
        let mut path: Vec<(Ix, usize)> = Vec::new();
        if seen[start as usize] == Seen::No {
            seen[start as usize] = Seen::Open;
            path.push((Ix(start), 0));
        }
        while let Some((at, next)) = path.last_mut() {
            let Some(&parent) = nodes[at.0 as usize].parents.get(*next) else {
                seen[at.0 as usize] = Seen::Done;
                order.push(*at);
                path.pop();
                continue;
            };
            *next += 1;
            match seen[parent.0 as usize] {
                Seen::Done => {}
                Seen::No => {
                    seen[parent.0 as usize] = Seen::Open;
                    path.push((parent, 0));
                }
                Seen::Open => {
                    let from = path.iter().position(|(ix, _)| *ix == parent).unwrap_or(0);
                    let mut circle: Vec<Ix> = path[from..].iter().map(|(ix, _)| *ix).collect();
                    circle.push(parent);
                    return Err(circle);
                }
            }
        }
    }
    Ok(order)
}

/// FNV-1a, spread: for placing, not for secrets.
fn hash(bytes: impl Iterator<Item = u8>) -> u64 {
    mix(bytes.fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ b as u64).wrapping_mul(0x100_0000_01b3)))
}

/// Guards against two trees under one number, told to two nodes: their fills must not be taken for each other's.
fn digest(nodes: &[Node]) -> u32 {
    let mut digest = 0;
    for node in nodes {
        digest = mix(digest ^ node.seed ^ node.kind as u64);
        for parent in &node.parents {
            digest = mix(digest.wrapping_add(1) ^ nodes[parent.0 as usize].seed);
        }
    }
    digest as u32
}

#[cfg(test)]
mod tests {
    use super::*;

    fn node(name: &str, kind: Kind, parents: &[&str]) -> Proposed {
        Proposed { name: name.into(), kind, parents: parents.iter().map(|p| p.to_string()).collect() }
    }

    fn draft(nodes: Vec<Proposed>) -> Draft {
        Draft { epoch: 3, nodes, ..Draft::default() }
    }

    fn sound() -> Vec<Proposed> {
        vec![
            node("archive", Kind::Archive, &[]),
            node("south", Kind::Hub, &["archive"]),
            node("east", Kind::Hub, &["south", "archive"]),
            node("porvoo", Kind::Location, &["east", "south"]),
        ]
    }

    #[test]
    fn a_sound_tree_is_taken_and_is_the_same_however_it_is_written() {
        let tree = Tree::check(&draft(sound())).unwrap();
        assert_eq!(tree.tops().iter().map(|t| &**tree.name(*t)).collect::<Vec<_>>(), ["south"]);
        assert_eq!(
            (&**tree.name(tree.archive()), tree.callers(tree.find("south").unwrap()).count()),
            ("archive", 2)
        );
        let height = |name| tree.height(tree.find(name).unwrap());
        assert_eq!(["archive", "south", "east", "porvoo"].map(height), [0, 2, 3, 4]);
        let mut turned = sound();
        turned.reverse();
        assert_eq!(Tree::check(&draft(turned)).unwrap().stamp(), tree.stamp());
        let mut other = sound();
        other[3].parents.reverse();
        assert_ne!(Tree::check(&draft(other)).unwrap().stamp(), tree.stamp());
        let stamp = tree.stamp();
        assert_eq!(Stamp::parse(&stamp.to_string()), Some(stamp));
        for text in ["", "3", "3-", "-00000000", "3-0000000", "+3-00000000", "3-0000000g", "x-00000000"] {
            assert_eq!(Stamp::parse(text), None, "{text}");
        }
    }

    #[test]
    fn what_is_wrong_with_a_draft_is_named() {
        let with = |change: &dyn Fn(&mut Vec<Proposed>)| {
            let mut nodes = sound();
            change(&mut nodes);
            Tree::check(&draft(nodes)).map(|t| t.stamp()).unwrap_err()
        };
        let parents = |at: usize, parents: &'static [&'static str]| {
            with(&move |n: &mut Vec<Proposed>| {
                n[at].parents = parents.iter().map(|p| p.to_string()).collect()
            })
        };
        let s = |text: &str| text.to_string();
        assert_eq!(parents(3, &["west"]), [Fault::Unknown(s("porvoo"), s("west"))]);
        assert_eq!(parents(3, &[]), [Fault::Parentless(s("porvoo"), Kind::Location)]);
        assert_eq!(parents(3, &["archive"]), [Fault::Skips(s("porvoo"))]);
        assert_eq!(parents(3, &["east", "east"]), [Fault::ParentTwice(s("porvoo"), s("east"))]);
        assert_eq!(parents(2, &["archive", "south"]), [Fault::ArchiveNotLast(s("east"))]);
        assert_eq!(parents(2, &["porvoo"]), [Fault::ParentIsLocation(s("east"), s("porvoo"))]);
        assert_eq!(parents(0, &["east"]), [Fault::ArchiveHasParents(s("archive"))]);
        assert_eq!(parents(1, &["east", "archive"]), [Fault::Cycle(vec![s("east"), s("south"), s("east")])]);
        assert_eq!(parents(2, &["east", "archive"]), [Fault::Cycle(vec![s("east"), s("east")])]);
        assert_eq!(with(&|n| n[0].kind = Kind::Hub).last(), Some(&Fault::Archives(vec![])));
        assert_eq!(with(&|n| n.push(n[3].clone())), [Fault::Twice(s("porvoo"))]);
        assert_eq!(with(&|n| n[3].name = s("Porvoo")), [Fault::Name(s("Porvoo"))]);
        let many = vec![node("archive", Kind::Archive, &[]); NODES_MOST + 1];
        assert_eq!(Tree::check(&draft(many)).unwrap_err(), [Fault::TooManyNodes(NODES_MOST + 1)]);
        let skipping = Draft { skip: true, nodes: sound(), epoch: 0, instead_of: None };
        assert_eq!(Tree::check(&skipping).unwrap_err(), [Fault::EpochZero]);
        assert!(Fault::Skips(s("a")).to_string().contains("skip_tiers"));
    }

    #[test]
    fn a_chain_as_long_as_the_tree_is_checked_without_recursion() {
        let mut nodes = vec![node("archive", Kind::Archive, &[])];
        for n in 0..NODES_MOST - 1 {
            let parent = if n == 0 { "archive".to_string() } else { format!("h{}", n - 1) };
            nodes.push(node(&format!("h{n}"), Kind::Hub, &[&parent]));
        }
        assert_eq!(Tree::check(&draft(nodes)).unwrap().tops().len(), 1);
    }
}
