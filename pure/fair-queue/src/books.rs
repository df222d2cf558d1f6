//! The queue's books: who stands where in the sets, what the active weigh together, charges for what runs over, tenants that
//! come and go by a reload, and what other processes gave a tenant.

use crate::digest::Use;
use crate::flow::{per_weight, stand, Flow, Virtual, QUICK};
use crate::planted::{planted, Fault};
use crate::queue::Queue;
use crate::tenants::{key, Weight};
use crate::Time;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A charge is not doubled beyond this: sums stay within their types.
const CHARGE_MOST: Time = 1 << 50;
/// A tenant does not say that it wants more slots than these; there are no larger pools.
const WANTS_MOST: usize = 1 << 16;

impl Queue {
    /// Time goes forward or stands still. What runs longer than it was charged for is charged as much again.
    pub(crate) fn clock(&mut self, now: Time) {
        self.now = self.now.max(now);
        while let Some((due, at)) = self.due.first().copied().filter(|(due, _)| *due < self.now) {
            self.due.remove(&(due, at));
            let Some(run) = self
                .runs
                .get_mut(at)
                .filter(|run| run.charged < CHARGE_MOST)
            else {
                continue;
            };
            let more = run.charged;
            run.charged += more;
            let (flow, lane, next) = (run.flow, run.lane, run.began.saturating_add(run.charged));
            self.due.insert((next, at));
            if planted(Fault::NeverPutRight) || planted(Fault::ChargeByCount) {
                continue;
            }
            self.change(flow, |queue, at| {
                queue.charge(at, lane, more);
            });
        }
    }

    /// Does something to a tenant, and has it stand where it then belongs.
    pub(crate) fn change<T>(&mut self, at: u32, what: impl FnOnce(&mut Queue, u32) -> T) -> T {
        let was = self.flows[at as usize].active();
        let told = what(self, at);
        let flow = &mut self.flows[at as usize];
        let (is, bucket, weight) = (flow.active(), flow.bucket, flow.weight.0);
        let of_weight = if bucket {
            self.tenants.unnamed.0 > 0
        } else {
            weight > 0
        };
        let quick = flow.lanes[QUICK].len > 0 && of_weight;
        let stands = (flow.waiting() > 0).then_some((stand(flow.weight, flow.tag, at), quick));
        let stood = std::mem::replace(&mut flow.listed, stands);
        let (ready, quicks) = (
            &mut self.ready[bucket as usize],
            &mut self.quick[bucket as usize],
        );
        if stood.map(|s| s.0) != stands.map(|s| s.0) {
            stood.iter().for_each(|(key, _)| {
                ready.remove(key);
            });
            ready.extend(stands.iter().map(|s| s.0));
        }
        if stood != stands {
            stood.iter().filter(|s| s.1).for_each(|(key, _)| {
                quicks.remove(key);
            });
            quicks.extend(stands.iter().filter(|s| s.1).map(|s| s.0));
        }
        match (was, is, bucket) {
            (false, true, true) => self.active += 1,
            (true, false, true) => self.active -= 1,
            (false, true, false) => self.weights += weight,
            (true, false, false) => self.weights -= weight,
            _ => {}
        }
        told
    }

    /// Slot time, more than was charged so far; for one without a name, its group too.
    pub(crate) fn charge(&mut self, at: u32, lane: usize, time: Time) {
        let flow = &mut self.flows[at as usize];
        flow.charge(lane, time);
        if flow.bucket && !planted(Fault::EachNameAWeight) {
            self.group += per_weight(time, self.tenants.unnamed);
        }
    }

    pub(crate) fn forgive(&mut self, at: u32, lane: usize, time: Time) {
        let flow = &mut self.flows[at as usize];
        flow.forgive(lane, time);
        if flow.bucket && !planted(Fault::EachNameAWeight) {
            self.group = self
                .group
                .saturating_sub(per_weight(time, self.tenants.unnamed));
        }
    }

    /// What a tenant weighs, and all that hold a slot or wait, with `more` of it.
    pub(crate) fn weights_with(&self, flow: &Flow, more: u64) -> (Weight, u64) {
        let unnamed = self.tenants.unnamed.0;
        let active = self.active + if flow.bucket { more } else { 0 };
        let all = self.weights + if active > 0 { unnamed } else { 0 };
        match flow.bucket {
            true if unnamed > 0 => (Weight((unnamed / active.max(1)).max(1)), all),
            true => (Weight(0), all),
            false => (flow.weight, all + more * flow.weight.0),
        }
    }

    /// Tenants with a name, from now on. Who waits or runs under a name that is none any more ends as it began;
    /// who waits in a bucket under a name that is one now ends there.
    pub fn retune(&mut self, now: Time, named: &BTreeMap<Arc<str>, Weight>, unnamed: Weight) {
        self.clock(now);
        if (self.tenants.unnamed.0 == 0) != (unnamed.0 == 0) {
            self.group = self.virtual_now[(unnamed.0 == 0) as usize];
        }
        self.tenants.unnamed = unnamed;
        // They stand among the quick, or not, by what the unnamed weigh.
        (0..self.tenants.buckets()).for_each(|at| self.change(at, |_, _| ()));
        let known: Vec<_> = self
            .tenants
            .named()
            .map(|(name, at)| (name.clone(), at))
            .collect();
        for (name, at) in known {
            match named.get(&name) {
                Some(weight) => self.weigh(at, *weight),
                None => {
                    self.tenants.remove(&name);
                    self.flows[at as usize].retired = true;
                    self.let_go(at);
                }
            }
        }
        for (name, weight) in named {
            if self.tenants.named().all(|(known, _)| known != name) {
                let at = self.flows.insert(Flow {
                    weight: *weight,
                    ..Flow::default()
                }) as u32;
                self.tenants.add(name.clone(), at);
            }
        }
    }

    /// Its tag stays: what it was charged, it was charged by the weight that held.
    fn weigh(&mut self, at: u32, weight: Weight) {
        let old = self.flows[at as usize].weight;
        self.change(at, |queue, at| {
            let flow = &mut queue.flows[at as usize];
            if flow.active() {
                queue.weights = queue.weights - old.0 + weight.0;
            }
            // One of no weight stood by another virtual time.
            if (old.0 == 0) != (weight.0 == 0) {
                flow.tag = queue.virtual_now[(weight.0 == 0) as usize];
            }
            flow.weight = weight;
        });
    }

    pub(crate) fn let_go(&mut self, at: u32) {
        if self
            .flows
            .get(at as usize)
            .is_some_and(|flow| flow.retired && !flow.active())
        {
            self.flows.remove(at as usize);
        }
    }

    /// Slot time that other processes gave a tenant: its next here stand by as much further back, up to `most`.
    pub fn used_elsewhere(&mut self, now: Time, key: u64, time: Time, most: Time) {
        self.clock(now);
        let at = self.tenants.find_key(key);
        self.change(at, |queue, at| {
            let most = if planted(Fault::EveryDigestBelieved) {
                Time::MAX
            } else {
                most
            };
            // One that is away pays too: it may be busy elsewhere all the time.
            let charge = |tag: &mut Virtual, now: Virtual, weight| {
                let charged = (*tag).max(now) + per_weight(time, weight);
                *tag = (*tag).max(charged.min(now + per_weight(most, weight)));
            };
            let flow = &mut queue.flows[at as usize];
            let now = queue.virtual_now[flow.class()];
            charge(&mut flow.tag, now, flow.weight);
            if flow.bucket {
                let class = queue.tenants.group_class();
                charge(
                    &mut queue.group,
                    queue.virtual_now[class],
                    queue.tenants.unnamed,
                );
            }
        });
    }

    /// What tenants have used, and want now: the busiest first, `most` of them.
    pub fn uses(&self, most: usize) -> Vec<Use> {
        let mut uses: Vec<Use> = Vec::new();
        let wants = |flow: &Flow| (flow.running + flow.waiting()).min(WANTS_MOST) as u32 * 1_000;
        for at in 0..self.tenants.buckets() {
            let flow = &self.flows[at as usize];
            uses.push(Use {
                tenant: at as u64,
                used: flow.used,
                wants: wants(flow),
            });
        }
        for (name, at) in self.tenants.named() {
            let flow = &self.flows[at as usize];
            uses.push(Use {
                tenant: key(name),
                used: flow.used,
                wants: wants(flow),
            });
        }
        uses.retain(|u| u.used > 0 || u.wants > 0);
        uses.sort_by_key(|u| (std::cmp::Reverse(u.wants), u.tenant));
        uses.truncate(most);
        uses
    }
}
