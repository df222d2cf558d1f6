//! What foca wants done, and what of it the process is told.

use super::Members;
use crate::event::{Event, MemberView};
use crate::identity::NodeIdentity;
use crate::Packet;
use foca::{Member, OwnedNotification};
use foldmux_replicas::{Effect, Effects, Time};

impl Members {
    /// What foca wants done, until it wants nothing more.
    pub(super) fn flush(&mut self, now: Time, out: &mut Effects<Members>) {
        while let Some(notification) = self.runtime.to_notify() {
            self.notified(notification, out);
        }
        while let Some((to, data)) = self.runtime.to_send() {
            out.push(Effect::Send {
                to: to.name,
                message: Packet(data.to_vec()),
            });
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            let after = Time::try_from(after.as_micros()).unwrap_or(Time::MAX);
            self.timers.put(now.saturating_add(after), timer);
        }
    }

    fn notified(
        &mut self,
        notification: OwnedNotification<NodeIdentity>,
        out: &mut Effects<Members>,
    ) {
        match notification {
            OwnedNotification::Rename(_, new) if new.left => self.left(new, out),
            OwnedNotification::MemberUp(new) if new.left => self.left(new, out),
            OwnedNotification::MemberUp(new) => self.came(new, out),
            // Who left and is back within one packet is renamed twice, and never *up* to foca.
            OwnedNotification::Rename(_, new)
                if self.up.contains_key(&new.name) || self.alive(&new.name) =>
            {
                self.came(new, out)
            }
            OwnedNotification::MemberDown(old) if self.up.remove(&old.name).is_some() => {
                out.push(Effect::Emit(Event::Down(old.name)));
            }
            OwnedNotification::Rejoin(_) => {
                self.counts.returns += 1;
                self.seen = false;
            }
            OwnedNotification::Active => self.seen = true,
            OwnedNotification::Idle | OwnedNotification::Defunct => self.seen = false,
            _ => {}
        }
    }

    fn came(&mut self, who: NodeIdentity, out: &mut Effects<Members>) {
        if who.name == self.me().name {
            return;
        }
        let seen = MemberView::of(&Member::alive(who.clone()));
        match self.up.insert(who.name.clone(), who.born) {
            None => out.push(Effect::Emit(Event::Up(seen))),
            Some(born) if born != who.born => out.push(Effect::Emit(Event::Restarted(seen))),
            Some(_) => {}
        }
    }

    fn left(&mut self, who: NodeIdentity, out: &mut Effects<Members>) {
        if self.up.remove(&who.name).is_some() {
            out.push(Effect::Emit(Event::Left(who.name.clone())));
        }
        // One that left is dead to all at once, and nobody asks after it.
        if who.name != self.me().name {
            let down = Member::new(who, 0, foca::State::Down);
            let done = self
                .foca
                .apply_many(std::iter::once(down), true, &mut self.runtime);
            Members::noted(&mut self.counts, done);
        }
    }
}
