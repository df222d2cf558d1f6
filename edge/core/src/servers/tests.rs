//! Which server an address belongs to, and which incarnation accepts work.

use super::*;

fn server(state: MemberState, started_at: Time, port: u16) -> Server {
    let member = Member {
        cache: CacheId(1),
        state,
        started_at,
        ..Member::default()
    };
    Server {
        member,
        name: "s-00000001".into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

#[test]
fn an_address_belongs_to_the_server_that_started_last_in_whatever_order_they_are_listed() {
    let entry = |id: u32, started_at: Time, port: u16| {
        let mut entry = server(MemberState::Ready, started_at, port);
        (entry.member.cache, entry.name) = (CacheId(id), format!("s-{id:08x}").into());
        entry
    };
    // Applies an update and returns the ids of the servers that it marks as gone.
    let update = |servers: &ServerList, full: bool, entries: Vec<Server>| {
        let entries = servers.resolve_address_conflicts(full, entries);
        let gone: Vec<u32> = entries
            .iter()
            .filter(|server| server.member.state == MemberState::Gone)
            .map(|server| server.member.cache.0)
            .collect();
        servers.apply(full, entries);
        gone
    };
    let servers = ServerList::default();
    // Servers that started long ago may share an address: neither replaced the other.
    assert!(update(
        &servers,
        true,
        vec![entry(1, 0, 80), entry(2, 0, 80), entry(3, 5, 81)]
    )
    .is_empty());
    // A new server takes over the address before the former holders are listed as gone.
    let mut gone = update(&servers, false, vec![entry(4, 9, 80)]);
    gone.sort();
    assert_eq!(gone, [1, 2]);
    assert!(servers.get(CacheId(4)).is_some() && servers.get(CacheId(1)).is_none());
    // A late entry of a former holder changes nothing, nor does a full list that still has both.
    assert_eq!(update(&servers, false, vec![entry(1, 0, 80)]), [1]);
    assert_eq!(
        update(
            &servers,
            true,
            vec![entry(1, 0, 80), entry(4, 9, 80), entry(3, 5, 81)]
        ),
        [1]
    );
    // A server that moved to another address, or restarted at its own, holds that address.
    assert!(update(&servers, false, vec![entry(1, 12, 82)]).is_empty());
    assert!(update(&servers, false, vec![entry(4, 20, 80)]).is_empty());
    let census = Census {
        listed: 3,
        unready: 0,
    };
    assert_eq!(servers.census(|_| false), census);
}

#[test]
fn an_incarnation_accepts_work_until_it_drains_is_gone_restarts_or_moves() {
    for next in [
        vec![server(MemberState::Draining, 5, 80)],
        vec![server(MemberState::Gone, 5, 80)],
        vec![server(MemberState::Ready, 6, 80)],
        vec![server(MemberState::Ready, 5, 81)],
        vec![],
    ] {
        let servers = ServerList::default();
        assert!(servers
            .apply(true, vec![server(MemberState::Ready, 5, 80)])
            .is_empty());
        let incarnation = servers.get(CacheId(1)).unwrap().incarnation();
        assert!(servers.accepts(CacheId(1), incarnation));
        assert_eq!(servers.apply(true, next).len(), 1);
        assert!(!servers.accepts(CacheId(1), incarnation));
    }
    assert_eq!(cache_id("s-00c41f7a"), CacheId(0x00c4_1f7a));
    assert_ne!(cache_id("cache-a"), cache_id("cache-b"));
}
