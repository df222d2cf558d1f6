//! Carries out the actions of a plan.

use super::schedule::Scheduled;
use super::simulation::Simulation;
use super::{name, setup, Action};
use foldmux_replicas::StateMachine;
use foldmux_takeover::{Command, Takeover};

impl Simulation {
    pub fn perform(&mut self, action: Action) {
        let index = |target: u8| target as usize % self.plan.processes;
        match action {
            Action::ClientRequest { key, at } => self.new_client(key, index(at)),
            Action::Kill { target, restart } => self.kill(index(target), restart),
            Action::Pause { target, span } => self.pause(index(target), span),
            Action::Cut {
                from,
                to,
                both,
                span,
            } => {
                let (from, to) = (index(from), index(to));
                let links = [(from, to), (to, from)]
                    .into_iter()
                    .take(1 + both as usize)
                    .collect();
                self.cut(links, span);
            }
            Action::Isolate { target, span } => {
                let target = index(target);
                let others = (0..self.plan.processes).filter(|other| *other != target);
                self.cut(
                    others
                        .flat_map(|other| [(target, other), (other, target)])
                        .collect(),
                    span,
                );
            }
            Action::ShutDown { target } => {
                let target = index(target);
                let keys: Vec<u8> = self.processes[target].threads.keys().copied().collect();
                self.owner_lost_at
                    .extend(keys.into_iter().map(|key| (key, self.now)));
                self.command(target, Command::ReleaseAll);
            }
        }
    }

    pub fn start(&mut self, at: usize, state_recovered: bool) {
        let process = &mut self.processes[at];
        process.incarnation += 1;
        (process.started_at, process.scheduled_tick) = (self.now, 0);
        let session = (at as u64) << 32 | process.incarnation;
        let mut takeover = Takeover::new(5_000, setup(&self.plan, at, session, state_recovered));
        (0..self.plan.processes)
            .for_each(|peer| takeover.on_peer_status(5_000, &name(peer), true, &mut Vec::new()));
        process.takeover = Some(takeover);
    }

    fn kill(&mut self, target: usize, restart: u64) {
        let process = &mut self.processes[target];
        if process.takeover.take().is_none() {
            return;
        }
        process.paused = false;
        process.deferred.clear();
        process.tickets.clear();
        let lost: Vec<u8> = process.threads.drain().map(|(key, _)| key).collect();
        self.owner_lost_at
            .extend(lost.into_iter().map(|key| (key, self.now)));
        if restart > 0 {
            self.schedule(restart, Scheduled::Start { at: target });
        }
    }

    fn pause(&mut self, target: usize, span: u64) {
        if self.processes[target].takeover.is_some() && !self.processes[target].paused {
            self.processes[target].paused = true;
            self.schedule(span, Scheduled::Resume { at: target });
        }
    }

    fn cut(&mut self, links: Vec<(usize, usize)>, span: u64) {
        links
            .iter()
            .for_each(|link| *self.cut_links.entry(*link).or_default() += 1);
        self.schedule(span, Scheduled::RestoreLinks { links });
    }
}
