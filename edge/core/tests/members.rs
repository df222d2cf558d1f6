//! What is allowed of a member while the list changes at the same moment.

use foldmux::interface::{CacheId, Member, State, Time};
use foldmux_core::members::{Listed, Members};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

const CACHE: CacheId = CacheId(1);
/// How often the list changes under the reader.
const CHANGES: Time = 200_000;

/// A start of the member, each at an address of its own.
fn started(boot: Time) -> Listed {
    let member = Member {
        cache: CACHE,
        state: State::Ready,
        boot,
        ..Member::default()
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000 + boot as u16 % 2));
    Listed {
        member,
        name: "s-00000001".into(),
        address,
    }
}

#[test]
fn the_member_that_is_returned_is_the_start_that_was_allowed() {
    let members = Members::default();
    let over = AtomicBool::new(false);
    let meant = started(0).start();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            (0..CHANGES).for_each(|n| drop(members.apply(true, vec![started(n % 2)])));
            over.store(true, Ordering::SeqCst);
        });
        while !over.load(Ordering::SeqCst) {
            if let Some(listed) = members.allowed(CACHE, Some(meant)) {
                assert_eq!(listed.start(), meant);
            }
        }
    });
}
