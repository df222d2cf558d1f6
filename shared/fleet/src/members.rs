//! The part for members on the fleet's thread: what it tells goes to the views, to a copy for others, and on.

use crate::port::{Port, Sink};
use crate::setup::Builder;
use crate::views::Views;
use foldmux_membership::{BadMembers, Command, Event, MemberView, Members, Setup, State};
use foldmux_replicas::Peer;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The byte of members' frames.
pub const PART: u8 = 0;

/// What members last told of each peer: a copy that any thread may read. Bounded by what members keep.
#[derive(Clone, Default)]
pub struct MembershipView(Arc<Mutex<BTreeMap<Peer, MemberView>>>);

impl MembershipView {
    pub fn seen(&self) -> Vec<MemberView> {
        self.lock().values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Peer, MemberView>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, told: &Event, views: &Views) {
        match told {
            Event::Up(seen) | Event::Restarted(seen) => {
                views.say(&seen.peer, true);
                self.lock().insert(seen.peer.clone(), seen.clone());
            }
            Event::Down(peer) => self.end(peer, State::Down, views),
            Event::Left(peer) => self.end(peer, State::Left, views),
            Event::Rival(_) => {}
        }
    }

    fn end(&self, peer: &Peer, state: State, views: &Views) {
        views.say(peer, false);
        self.lock()
            .entry(peer.clone())
            .and_modify(|seen| seen.state = state);
    }
}

struct Tap<S> {
    roll: MembershipView,
    views: Views,
    news: S,
}

impl<S: Sink<Event>> Sink<Event> for Tap<S> {
    fn told(&self, told: Event) {
        self.roll.take(&told, &self.views);
        self.news.told(told);
    }

    fn gone(&self) {
        self.news.gone();
    }
}

/// Adds members; they join once they are asked to.
pub fn add(
    builder: &mut Builder,
    setup: Setup,
    news: impl Sink<Event> + 'static,
) -> Result<(Port<Command>, MembershipView), BadMembers> {
    let roll = MembershipView::default();
    let tap = Tap {
        roll: roll.clone(),
        views: builder.views(),
        news,
    };
    Ok((builder.add(PART, Members::new(setup)?, tap), roll))
}
