//! Look-ups in the server list while another thread changes it: the returned incarnation is the one that was checked. With two
//! separate look-ups, the entry could be replaced between the check and the copy.

use foldmux::interface::{CacheId, Member, MemberState, Time};
use foldmux_core::servers::{Server, ServerList};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

const CACHE: CacheId = CacheId(1);
/// Number of changes of the list during the look-ups.
const CHANGES: Time = 200_000;

/// Returns an incarnation of the server. Incarnations with odd and even start times have different addresses.
fn incarnation(started_at: Time) -> Server {
    let member = Member {
        cache: CACHE,
        state: MemberState::Ready,
        started_at,
        ..Member::default()
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000 + started_at as u16 % 2));
    Server {
        member,
        name: "s-00000001".into(),
        address,
    }
}

#[test]
fn get_accepting_returns_the_incarnation_that_it_checked() {
    let servers = ServerList::default();
    let is_done = AtomicBool::new(false);
    let expected = incarnation(0).incarnation();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            (0..CHANGES).for_each(|n| drop(servers.apply(true, vec![incarnation(n % 2)])));
            is_done.store(true, Ordering::SeqCst);
        });
        while !is_done.load(Ordering::SeqCst) {
            if let Some(server) = servers.get_accepting(CACHE, Some(expected)) {
                assert_eq!(server.incarnation(), expected);
            }
        }
    });
}
