//! What a plan does to the world.

use super::schedule::Scheduled;
use super::world::World;
use super::{name, setup, Act};
use foldmux_replicas::StateMachine;
use foldmux_takeover::{Command, Takeover};

impl World {
    pub fn act(&mut self, act: Act) {
        let place = |who: u8| who as usize % self.plan.processes;
        match act {
            Act::Command { key, at } => self.new_client(key, place(at)),
            Act::Kill { who, restart } => self.kill(place(who), restart),
            Act::Pause { who, span } => self.pause(place(who), span),
            Act::Cut {
                from,
                to,
                both,
                span,
            } => {
                let (from, to) = (place(from), place(to));
                let links = [(from, to), (to, from)]
                    .into_iter()
                    .take(1 + both as usize)
                    .collect();
                self.cut(links, span);
            }
            Act::Alone { who, span } => {
                let who = place(who);
                let others = (0..self.plan.processes).filter(|other| *other != who);
                self.cut(
                    others
                        .flat_map(|other| [(who, other), (other, who)])
                        .collect(),
                    span,
                );
            }
            Act::Leave { who } => {
                let who = place(who);
                let keys: Vec<u8> = self.processes[who].hosts.keys().copied().collect();
                self.lost_at
                    .extend(keys.into_iter().map(|key| (key, self.now)));
                self.ask(who, Command::ReleaseAll);
            }
        }
    }

    pub fn start(&mut self, at: usize, memory: bool) {
        let process = &mut self.processes[at];
        process.life += 1;
        (process.born, process.tick) = (self.now, 0);
        let session = (at as u64) << 32 | process.life;
        let mut part = Takeover::new(5_000, setup(&self.plan, at, session, memory));
        (0..self.plan.processes)
            .for_each(|peer| part.on_peer_status(5_000, &name(peer), true, &mut Vec::new()));
        process.part = Some(part);
    }

    fn kill(&mut self, who: usize, restart: u64) {
        let process = &mut self.processes[who];
        if process.part.take().is_none() {
            return;
        }
        process.paused = false;
        process.waiting.clear();
        process.tickets.clear();
        let lost: Vec<u8> = process.hosts.drain().map(|(key, _)| key).collect();
        self.lost_at
            .extend(lost.into_iter().map(|key| (key, self.now)));
        if restart > 0 {
            self.later(restart, Scheduled::Start { at: who });
        }
    }

    fn pause(&mut self, who: usize, span: u64) {
        if self.processes[who].part.is_some() && !self.processes[who].paused {
            self.processes[who].paused = true;
            self.later(span, Scheduled::Wake { at: who });
        }
    }

    fn cut(&mut self, links: Vec<(usize, usize)>, span: u64) {
        links
            .iter()
            .for_each(|link| *self.cut.entry(*link).or_default() += 1);
        self.later(span, Scheduled::Heal { links });
    }
}
