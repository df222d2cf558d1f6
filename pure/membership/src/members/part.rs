//! Members as a part: what is heard, asked and due.

use super::{swim, Members};
use crate::admission::Refused;
use crate::event::{Event, MemberView};
use crate::{Command, Packet};
use foca::Member;
use foldmux_replicas::{Effect, Effects, Peer, StateMachine, Time};

impl StateMachine for Members {
    type Message = Packet;
    type Command = Command;
    type Event = Event;

    fn on_message(&mut self, now: Time, from: &Peer, message: Packet, out: &mut Effects<Self>) {
        if self.me().left {
            return;
        }
        let known = || {
            self.foca
                .iter_membership_state()
                .map(|member| member.id().name.clone())
                .collect()
        };
        match self
            .admission
            .admit(self.foca.identity(), from, &message, known)
        {
            Ok((packet, rival)) => {
                if let Some(rival) = rival.filter(|rival| self.rival != Some(rival.born)) {
                    self.rival = Some(rival.born);
                    out.push(Effect::Emit(Event::Rival(MemberView::of(&Member::alive(
                        rival,
                    )))));
                }
                let done = self.foca.handle_data(&packet, &mut self.runtime);
                Members::noted(&mut self.counts, done);
            }
            Err(Refused::Unread) => self.counts.unread += 1,
            Err(Refused::Forged) => self.counts.forged += 1,
            Err(Refused::Full) => self.counts.full += 1,
        }
        self.flush(now, out);
    }

    fn on_command(&mut self, now: Time, ask: Command, out: &mut Effects<Self>) {
        match ask {
            Command::Join(contacts) => {
                if self.me().left {
                    let me = self.me().again();
                    self.foca = swim(me, self.pace, &mut self.rng);
                }
                let me = self.me().name.clone();
                self.contacts = contacts
                    .into_iter()
                    .filter(|peer| *peer != me)
                    .take(self.admission.most())
                    .collect();
                self.join_at = Some(now.saturating_add(self.pace.join()));
                self.announce();
            }
            Command::Leave => {
                if !self.me().left {
                    self.leave();
                }
                self.join_at = None;
                self.up.clear();
            }
        }
        self.flush(now, out);
        if self.me().left {
            self.timers.clear();
        }
    }

    /// A link that opens or breaks proves nothing; members ask and are asked in their own time.
    fn on_peer_status(&mut self, _now: Time, _peer: &Peer, _alive: bool, _out: &mut Effects<Self>) {
    }

    fn on_tick(&mut self, now: Time, out: &mut Effects<Self>) {
        // A process that was paused missed the answers, not the others the time: all its timers are later by
        // that.
        let late = self.timers.due().map_or(0, |due| now.saturating_sub(due));
        if late >= self.pace.rtt {
            self.timers.delay(late);
        }
        while let Some(timer) = self.timers.take(now) {
            if self.refuted(&timer) {
                continue;
            }
            let done = self.foca.handle_timer(timer, &mut self.runtime);
            Members::noted(&mut self.counts, done);
            self.flush(now, out);
        }
        if self.join_at.is_some_and(|at| at <= now) {
            self.join_at = Some(now.saturating_add(self.pace.join()));
            self.announce();
            self.flush(now, out);
        }
    }

    fn next_tick(&self) -> Option<Time> {
        self.timers.due().into_iter().chain(self.join_at).min()
    }
}
