//! The pop caches, parents and the origin as the journal last told of them: names, addresses and what may be
//! sent to. The desk alone writes; everything else reads.

use foldmux::interface::{CacheId, Member, State, Time};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

/// One line of the list, with what the module has no use for.
#[derive(Clone, Debug)]
pub struct Listed {
    pub member: Member,
    pub name: Arc<str>,
    pub address: SocketAddr,
}

/// One start of a member at one address: attempts and idle connections hold for it alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    pub boot: Time,
    pub address: SocketAddr,
}

impl Listed {
    pub fn start(&self) -> Start {
        Start {
            boot: self.member.boot,
            address: self.address,
        }
    }
}

#[derive(Default)]
pub struct Members {
    by_id: RwLock<HashMap<CacheId, Listed>>,
}

impl Members {
    pub fn get(&self, cache: CacheId) -> Option<Listed> {
        self.by_id
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .get(&cache)
            .cloned()
    }

    pub fn named(&self, name: &str) -> Option<Listed> {
        let members = self.by_id.read().unwrap_or_else(PoisonError::into_inner);
        members
            .get(&cache_id(name))
            .filter(|m| *m.name == *name)
            .cloned()
    }

    /// How many are listed, and how many of them are not ready or are `out` by name.
    pub fn census(&self, out: impl Fn(&str) -> bool) -> (usize, usize) {
        let members = self.by_id.read().unwrap_or_else(PoisonError::into_inner);
        let avoided = members
            .values()
            .filter(|m| m.member.state != State::Ready || out(&m.name))
            .count();
        (members.len(), avoided)
    }

    /// Whether new work may still go to this start of the member, or name it as a source.
    /// Guards against a drain, an end or a restart that was told of while an attempt was dialling.
    pub fn allows(&self, cache: CacheId, start: Start) -> bool {
        let members = self.by_id.read().unwrap_or_else(PoisonError::into_inner);
        members
            .get(&cache)
            .is_some_and(|m| m.member.state == State::Ready && m.start() == start)
    }

    /// The member, if new work may still go to the start that was meant; read in one step, so that what is returned is what
    /// was allowed.
    pub fn allowed(&self, cache: CacheId, start: Option<Start>) -> Option<Listed> {
        let members = self.by_id.read().unwrap_or_else(PoisonError::into_inner);
        let member = members
            .get(&cache)
            .filter(|m| m.member.state == State::Ready)?;
        (Some(member.start()) == start).then(|| member.clone())
    }

    /// The lines as they are to be taken, where an address was taken over: of two ids at one address the one that started
    /// earlier is gone, whichever is told first. Guards against what one cache bore being sent to the cold one in its place.
    pub fn one_at_an_address(&self, full: bool, mut listed: Vec<Listed>) -> Vec<Listed> {
        let members = self.by_id.read().unwrap_or_else(PoisonError::into_inner);
        let named: HashSet<CacheId> = listed.iter().map(|l| l.member.cache).collect();
        let other = |l: &&Listed| !full && !named.contains(&l.member.cache);
        let mut latest: HashMap<SocketAddr, Time> = HashMap::new();
        for line in listed
            .iter()
            .filter(|l| l.member.state != State::Gone)
            .chain(members.values().filter(other))
        {
            let boot = latest.entry(line.address).or_default();
            *boot = line.member.boot.max(*boot);
        }
        let over = |l: &Listed| {
            latest
                .get(&l.address)
                .is_some_and(|boot| *boot > l.member.boot)
        };
        let gone = |l: &Listed| Listed {
            member: Member {
                state: State::Gone,
                ..l.member.clone()
            },
            ..l.clone()
        };
        let taken: Vec<Listed> = members
            .values()
            .filter(other)
            .filter(|l| over(l))
            .map(gone)
            .collect();
        listed
            .iter_mut()
            .filter(|l| over(l))
            .for_each(|l| l.member.state = State::Gone);
        listed.extend(taken);
        listed
    }

    /// Takes a list and returns those whose former start takes no more work, whatever the reason.
    pub fn apply(&self, full: bool, listed: Vec<Listed>) -> Vec<Listed> {
        let mut members = self.by_id.write().unwrap_or_else(PoisonError::into_inner);
        let mut ended = Vec::new();
        if full {
            let named: Vec<CacheId> = listed.iter().map(|l| l.member.cache).collect();
            let gone: Vec<CacheId> = members
                .keys()
                .filter(|c| !named.contains(c))
                .copied()
                .collect();
            ended.extend(gone.into_iter().filter_map(|cache| members.remove(&cache)));
        }
        for new in listed {
            let (cache, state, start) = (new.member.cache, new.member.state, new.start());
            let former = match state {
                State::Gone => members.remove(&cache),
                _ => members.insert(cache, new),
            };
            let over = |f: &Listed| f.start() != start || state != State::Ready;
            ended.extend(former.filter(|f| f.member.state == State::Ready && over(f)));
        }
        ended
    }
}

/// The id of a member: the eight hex digits at the end of its name, as the platform gives them, else a hash
/// of the name. Every proxy finds the same id, so that all place an object alike.
pub fn cache_id(name: &str) -> CacheId {
    let tail = name.rsplit('-').next().unwrap_or(name);
    let hex = (tail.len() == 8)
        .then(|| u32::from_str_radix(tail, 16).ok())
        .flatten();
    let hash = || {
        name.bytes().fold(0x811c_9dc5_u32, |h, b| {
            (h ^ b as u32).wrapping_mul(0x0100_0193)
        })
    };
    CacheId(hex.unwrap_or_else(hash))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn listed(state: State, boot: Time, port: u16) -> Listed {
        let member = Member {
            cache: CacheId(1),
            state,
            boot,
            ..Member::default()
        };
        Listed {
            member,
            name: "s-00000001".into(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
        }
    }

    #[test]
    fn an_address_has_one_holder_the_one_that_started_last_whichever_is_told_first() {
        let line = |id: u32, boot: Time, port: u16| {
            let mut line = listed(State::Ready, boot, port);
            (line.member.cache, line.name) = (CacheId(id), format!("s-{id:08x}").into());
            line
        };
        let take = |members: &Members, full: bool, lines: Vec<Listed>| {
            let lines = members.one_at_an_address(full, lines);
            let gone: Vec<u32> = lines
                .iter()
                .filter(|l| l.member.state == State::Gone)
                .map(|l| l.member.cache.0)
                .collect();
            members.apply(full, lines);
            gone
        };
        let members = Members::default();
        // Several that started long ago may share an address: nothing was taken over.
        assert!(take(
            &members,
            true,
            vec![line(1, 0, 80), line(2, 0, 80), line(3, 5, 81)]
        )
        .is_empty());
        // A new one takes it over, before the former holders are said to be gone.
        let mut gone = take(&members, false, vec![line(4, 9, 80)]);
        gone.sort();
        assert_eq!(gone, [1, 2]);
        assert!(members.get(CacheId(4)).is_some() && members.get(CacheId(1)).is_none());
        // What comes late of a former holder changes nothing; neither does a list that still has both.
        assert_eq!(take(&members, false, vec![line(1, 0, 80)]), [1]);
        assert_eq!(
            take(
                &members,
                true,
                vec![line(1, 0, 80), line(4, 9, 80), line(3, 5, 81)]
            ),
            [1]
        );
        // It moves on, or starts again where it was: then it holds what it has.
        assert!(take(&members, false, vec![line(1, 12, 82)]).is_empty());
        assert!(take(&members, false, vec![line(4, 20, 80)]).is_empty());
        assert_eq!(members.census(|_| false), (3, 0));
    }

    #[test]
    fn a_start_is_allowed_until_it_drains_goes_restarts_or_moves() {
        for next in [
            vec![listed(State::Draining, 5, 80)],
            vec![listed(State::Gone, 5, 80)],
            vec![listed(State::Ready, 6, 80)],
            vec![listed(State::Ready, 5, 81)],
            vec![],
        ] {
            let members = Members::default();
            assert!(members
                .apply(true, vec![listed(State::Ready, 5, 80)])
                .is_empty());
            let start = members.get(CacheId(1)).unwrap().start();
            assert!(members.allows(CacheId(1), start));
            assert_eq!(members.apply(true, next).len(), 1);
            assert!(!members.allows(CacheId(1), start));
        }
        assert_eq!(cache_id("s-00c41f7a"), CacheId(0x00c4_1f7a));
        assert_ne!(cache_id("cache-a"), cache_id("cache-b"));
    }
}
