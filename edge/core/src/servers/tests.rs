//! Which server an address belongs to, and which incarnation accepts work.

use super::*;

fn server(state: MemberState, boot: Time, port: u16) -> Server {
    let member = Member {
        cache: CacheId(1),
        state,
        started_at: boot,
        ..Member::default()
    };
    Server {
        member,
        name: "s-00000001".into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

#[test]
fn an_address_has_one_holder_the_one_that_started_last_whichever_is_told_first() {
    let line = |id: u32, boot: Time, port: u16| {
        let mut line = server(MemberState::Ready, boot, port);
        (line.member.cache, line.name) = (CacheId(id), format!("s-{id:08x}").into());
        line
    };
    let take = |servers: &ServerList, full: bool, lines: Vec<Server>| {
        let lines = servers.resolve_address_conflicts(full, lines);
        let gone: Vec<u32> = lines
            .iter()
            .filter(|l| l.member.state == MemberState::Gone)
            .map(|l| l.member.cache.0)
            .collect();
        servers.apply(full, lines);
        gone
    };
    let servers = ServerList::default();
    // Several that started long ago may share an address: nothing was taken over.
    assert!(take(
        &servers,
        true,
        vec![line(1, 0, 80), line(2, 0, 80), line(3, 5, 81)]
    )
    .is_empty());
    // A new one takes it over, before the former holders are said to be gone.
    let mut gone = take(&servers, false, vec![line(4, 9, 80)]);
    gone.sort();
    assert_eq!(gone, [1, 2]);
    assert!(servers.get(CacheId(4)).is_some() && servers.get(CacheId(1)).is_none());
    // What comes late of a former holder changes nothing; neither does a list that still has both.
    assert_eq!(take(&servers, false, vec![line(1, 0, 80)]), [1]);
    assert_eq!(
        take(
            &servers,
            true,
            vec![line(1, 0, 80), line(4, 9, 80), line(3, 5, 81)]
        ),
        [1]
    );
    // It moves on, or starts again where it was: then it holds what it has.
    assert!(take(&servers, false, vec![line(1, 12, 82)]).is_empty());
    assert!(take(&servers, false, vec![line(4, 20, 80)]).is_empty());
    let census = Census {
        listed: 3,
        unready: 0,
    };
    assert_eq!(servers.census(|_| false), census);
}

#[test]
fn a_start_is_allowed_until_it_drains_goes_restarts_or_moves() {
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
        let start = servers.get(CacheId(1)).unwrap().incarnation();
        assert!(servers.accepts(CacheId(1), start));
        assert_eq!(servers.apply(true, next).len(), 1);
        assert!(!servers.accepts(CacheId(1), start));
    }
    assert_eq!(cache_id("s-00c41f7a"), CacheId(0x00c4_1f7a));
    assert_ne!(cache_id("cache-a"), cache_id("cache-b"));
}
