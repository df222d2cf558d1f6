//! The servers that attempts may go to (pop caches, parents and the origin), as the journal service last listed them: their
//! names and addresses, and whether they accept work. Only the event loop writes the list; all other threads only read it.

use foldmux::interface::{CacheId, Member, MemberState, Time};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};

/// One entry of the list: the router's view of the server, and its name and address, which the router doesn't need.
#[derive(Clone, Debug)]
pub struct Server {
    /// The entry as the router sees it.
    pub member: Member,
    /// The server's name.
    pub name: Arc<str>,
    /// The address it listens on.
    pub address: SocketAddr,
}

/// One incarnation of a server: one run of its process at one address. Attempts and idle connections are valid only for the
/// incarnation that they were made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// When it started (router time, µs); 0 means long ago.
    pub started_at: Time,
    /// The address it listens on.
    pub address: SocketAddr,
}

impl Server {
    /// The incarnation that is listed.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            started_at: self.member.started_at,
            address: self.address,
        }
    }

    fn is_ready(&self) -> bool {
        self.member.state == MemberState::Ready
    }
}

/// Counts of the listed servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Census {
    /// All listed servers.
    pub listed: usize,
    /// Listed servers that attempts must not use.
    pub unready: usize,
}

/// The list of servers.
#[derive(Default)]
pub struct ServerList {
    by_id: RwLock<HashMap<CacheId, Server>>,
}

impl ServerList {
    fn read(&self) -> RwLockReadGuard<'_, HashMap<CacheId, Server>> {
        self.by_id.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the server with this id.
    pub fn get(&self, cache: CacheId) -> Option<Server> {
        self.read().get(&cache).cloned()
    }

    /// Returns the listed incarnation of a server.
    pub fn incarnation(&self, cache: CacheId) -> Option<Incarnation> {
        self.read().get(&cache).map(Server::incarnation)
    }

    /// Returns the server with this name.
    pub fn by_name(&self, name: &str) -> Option<Server> {
        self.read()
            .get(&cache_id(name))
            .filter(|server| *server.name == *name)
            .cloned()
    }

    /// Counts the servers. Servers for whose name `excluded` returns true count as unready, like those that are not ready.
    pub fn census(&self, excluded: impl Fn(&str) -> bool) -> Census {
        let servers = self.read();
        let unready = servers
            .values()
            .filter(|server| !server.is_ready() || excluded(&server.name))
            .count();
        Census {
            listed: servers.len(),
            unready,
        }
    }

    /// Whether new work may be sent to this incarnation, or use it as a source. It may have drained, ended or restarted since
    /// it was chosen.
    pub fn accepts(&self, cache: CacheId, incarnation: Incarnation) -> bool {
        self.read()
            .get(&cache)
            .is_some_and(|server| server.is_ready() && server.incarnation() == incarnation)
    }

    /// Returns the server if new work may be sent to this incarnation. Checks and clones under one lock, so that the returned
    /// entry is the one that was checked.
    pub fn get_accepting(
        &self,
        cache: CacheId,
        incarnation: Option<Incarnation>,
    ) -> Option<Server> {
        let servers = self.read();
        let server = servers.get(&cache).filter(|server| server.is_ready())?;
        (Some(server.incarnation()) == incarnation).then(|| server.clone())
    }

    /// Marks each server as gone whose address belongs to a server that started later, in whatever order the two are listed:
    /// a request for what one cache holds must not reach the cache that replaced it. Servers that started at the same time,
    /// or at an unknown time, may share an address. Returns the update with entries for the replaced servers added.
    pub fn resolve_address_conflicts(&self, full: bool, mut update: Vec<Server>) -> Vec<Server> {
        let servers = self.read();
        let updated: HashSet<CacheId> = update.iter().map(|server| server.member.cache).collect();
        let remains = |server: &&Server| !full && !updated.contains(&server.member.cache);
        let mut latest_start: HashMap<SocketAddr, Time> = HashMap::new();
        let present = update
            .iter()
            .filter(|server| server.member.state != MemberState::Gone);
        for server in present.chain(servers.values().filter(remains)) {
            let latest = latest_start.entry(server.address).or_default();
            *latest = server.member.started_at.max(*latest);
        }
        let is_replaced = |server: &Server| {
            latest_start
                .get(&server.address)
                .is_some_and(|latest| *latest > server.member.started_at)
        };
        let replaced: Vec<Server> = servers
            .values()
            .filter(remains)
            .filter(|server| is_replaced(server))
            .cloned()
            .map(mark_gone)
            .collect();
        update
            .iter_mut()
            .filter(|server| is_replaced(server))
            .for_each(|server| server.member.state = MemberState::Gone);
        update.extend(replaced);
        update
    }

    /// Applies an update and returns the former entries of servers whose incarnation no longer accepts work. If `full`,
    /// servers that the update doesn't list are removed.
    pub fn apply(&self, full: bool, update: Vec<Server>) -> Vec<Server> {
        let mut servers = self.by_id.write().unwrap_or_else(PoisonError::into_inner);
        let mut ended = Vec::new();
        if full {
            let updated: Vec<CacheId> = update.iter().map(|server| server.member.cache).collect();
            let gone: Vec<CacheId> = servers
                .keys()
                .filter(|cache| !updated.contains(cache))
                .copied()
                .collect();
            ended.extend(gone.into_iter().filter_map(|cache| servers.remove(&cache)));
        }
        for server in update {
            let (cache, state) = (server.member.cache, server.member.state);
            let incarnation = server.incarnation();
            let former = match state {
                MemberState::Gone => servers.remove(&cache),
                _ => servers.insert(cache, server),
            };
            let has_ended = |former: &Server| {
                former.is_ready()
                    && (former.incarnation() != incarnation || state != MemberState::Ready)
            };
            ended.extend(former.filter(has_ended));
        }
        ended
    }
}

fn mark_gone(mut server: Server) -> Server {
    server.member.state = MemberState::Gone;
    server
}

/// Offset basis of the 32-bit FNV-1a hash.
const FNV_OFFSET: u32 = 0x811c_9dc5;
/// Prime of the 32-bit FNV-1a hash.
const FNV_PRIME: u32 = 0x0100_0193;

/// Derives the id of a server from its name: the eight hex digits at its end, which the platform assigns, or else a hash of
/// the name. Every proxy derives the same id, so that all proxies place an object on the same servers.
pub fn cache_id(name: &str) -> CacheId {
    let suffix = name.rsplit('-').next().unwrap_or(name);
    let hex = (suffix.len() == 8)
        .then(|| u32::from_str_radix(suffix, 16).ok())
        .flatten();
    let hash = || {
        name.bytes().fold(FNV_OFFSET, |hash, byte| {
            (hash ^ byte as u32).wrapping_mul(FNV_PRIME)
        })
    };
    CacheId(hex.unwrap_or_else(hash))
}

#[cfg(test)]
mod tests;
