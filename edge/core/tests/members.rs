//! Which incarnation of a server is returned while the list changes at the same moment.

use foldmux::interface::{CacheId, Member, MemberState, Time};
use foldmux_core::servers::{Server, ServerList};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

const CACHE: CacheId = CacheId(1);
/// How often the list changes under the reader.
const CHANGES: Time = 200_000;

/// Incarnations of the server, each at an address of its own.
fn incarnation(boot: Time) -> Server {
    let member = Member {
        cache: CACHE,
        state: MemberState::Ready,
        started_at: boot,
        ..Member::default()
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000 + boot as u16 % 2));
    Server {
        member,
        name: "s-00000001".into(),
        address,
    }
}

#[test]
fn the_server_that_is_returned_is_the_incarnation_that_was_accepted() {
    let servers = ServerList::default();
    let over = AtomicBool::new(false);
    let meant = incarnation(0).incarnation();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            (0..CHANGES).for_each(|n| drop(servers.apply(true, vec![incarnation(n % 2)])));
            over.store(true, Ordering::SeqCst);
        });
        while !over.load(Ordering::SeqCst) {
            if let Some(server) = servers.get_accepting(CACHE, Some(meant)) {
                assert_eq!(server.incarnation(), meant);
            }
        }
    });
}
