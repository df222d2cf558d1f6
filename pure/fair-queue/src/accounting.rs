//! Accounting of the queue: the sets of ready tenants, the sum of active weights, charges for requests that outrun
//! their prediction, changes of the named tenants on reload, and charges for slot time that other processes gave a
//! tenant.

use crate::digest::TenantUsage;
use crate::flow::{order_key, virtual_cost, Flow, VirtualTime, QUICK};
use crate::planted::{planted, Fault};
use crate::queue::Queue;
use crate::tenants::{name_hash, Weight};
use crate::Time;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A charge of this much (us) is not doubled again, so that sums stay within their types.
const MAX_CHARGE: Time = 1 << 50;
/// Most slots that a tenant reports as wanted; pools have fewer.
const MAX_WANTED: usize = 1 << 16;

impl Queue {
    /// Advances the clock; an earlier time is ignored. A run that has outrun its charge is charged the same amount
    /// again.
    pub(crate) fn advance_clock(&mut self, now: Time) {
        self.now = self.now.max(now);
        while let Some((due, index)) = self
            .charge_due
            .first()
            .copied()
            .filter(|(due, _)| *due < self.now)
        {
            self.charge_due.remove(&(due, index));
            let Some(run) = self
                .runs
                .get_mut(index)
                .filter(|run| run.charged < MAX_CHARGE)
            else {
                continue;
            };
            let added = run.charged;
            run.charged += added;
            let (flow, lane, next) = (
                run.flow,
                run.lane,
                run.started_at.saturating_add(run.charged),
            );
            self.charge_due.insert((next, index));
            if planted(Fault::NoCostCorrection) || planted(Fault::ChargeByCount) {
                continue;
            }
            self.update_flow(flow, |queue, index| {
                queue.charge(index, lane, added);
            });
        }
    }

    /// Applies a change to a tenant's flow and updates its entries in the ready sets and the sums of active weights.
    pub(crate) fn update_flow<T>(
        &mut self,
        index: u32,
        change: impl FnOnce(&mut Queue, u32) -> T,
    ) -> T {
        let was_active = self.flows[index as usize].active();
        let result = change(self, index);
        let flow = &mut self.flows[index as usize];
        let (is_active, bucket, weight) = (flow.active(), flow.bucket, flow.weight.0);
        let has_weight = if bucket {
            self.tenants.unnamed_weight.0 > 0
        } else {
            weight > 0
        };
        let quick = flow.lanes[QUICK].len > 0 && has_weight;
        let new_entry =
            (flow.waiting() > 0).then_some((order_key(flow.weight, flow.tag, index), quick));
        let old_entry = std::mem::replace(&mut flow.ready_entry, new_entry);
        let (ready, quick_set) = (
            &mut self.ready[bucket as usize],
            &mut self.quick[bucket as usize],
        );
        if old_entry.map(|s| s.0) != new_entry.map(|s| s.0) {
            old_entry.iter().for_each(|(key, _)| {
                ready.remove(key);
            });
            ready.extend(new_entry.iter().map(|s| s.0));
        }
        if old_entry != new_entry {
            old_entry.iter().filter(|s| s.1).for_each(|(key, _)| {
                quick_set.remove(key);
            });
            quick_set.extend(new_entry.iter().filter(|s| s.1).map(|s| s.0));
        }
        match (was_active, is_active, bucket) {
            (false, true, true) => self.active_buckets += 1,
            (true, false, true) => self.active_buckets -= 1,
            (false, true, false) => self.active_weight += weight,
            (true, false, false) => self.active_weight -= weight,
            _ => {}
        }
        result
    }

    /// Charges slot time (us) to a tenant; for a bucket of unnamed tenants, also to the group of all buckets.
    pub(crate) fn charge(&mut self, index: u32, lane: usize, time: Time) {
        let flow = &mut self.flows[index as usize];
        flow.charge(lane, time);
        if flow.bucket && !planted(Fault::WeightPerUnnamedTenant) {
            self.group_tag += virtual_cost(time, self.tenants.unnamed_weight);
        }
    }

    /// Takes back slot time (us) that was charged and not used.
    pub(crate) fn refund(&mut self, index: u32, lane: usize, time: Time) {
        let flow = &mut self.flows[index as usize];
        flow.refund(lane, time);
        if flow.bucket && !planted(Fault::WeightPerUnnamedTenant) {
            self.group_tag = self
                .group_tag
                .saturating_sub(virtual_cost(time, self.tenants.unnamed_weight));
        }
    }

    /// The weight of a tenant, and the sum of the weights of all active tenants with `added` active flows of
    /// this tenant added.
    pub(crate) fn weights_with(&self, flow: &Flow, added: u64) -> (Weight, u64) {
        let unnamed_weight = self.tenants.unnamed_weight.0;
        let active = self.active_buckets + if flow.bucket { added } else { 0 };
        let all = self.active_weight + if active > 0 { unnamed_weight } else { 0 };
        match flow.bucket {
            true if unnamed_weight > 0 => (Weight((unnamed_weight / active.max(1)).max(1)), all),
            true => (Weight(0), all),
            false => (flow.weight, all + added * flow.weight.0),
        }
    }

    /// Replaces the named tenants and the weights. Requests that wait or run under a removed name finish normally;
    /// requests that wait in a bucket under a name that is added stay in the bucket.
    pub fn set_weights(
        &mut self,
        now: Time,
        named: &BTreeMap<Arc<str>, Weight>,
        unnamed_weight: Weight,
    ) {
        self.advance_clock(now);
        if (self.tenants.unnamed_weight.0 == 0) != (unnamed_weight.0 == 0) {
            self.group_tag = self.virtual_now[(unnamed_weight.0 == 0) as usize];
        }
        self.tenants.unnamed_weight = unnamed_weight;
        // Whether a bucket belongs in the quick set depends on the weight of unnamed tenants.
        (0..self.tenants.buckets()).for_each(|index| self.update_flow(index, |_, _| ()));
        let known: Vec<_> = self
            .tenants
            .named()
            .map(|(name, index)| (name.clone(), index))
            .collect();
        for (name, index) in known {
            match named.get(&name) {
                Some(weight) => self.set_weight(index, *weight),
                None => {
                    self.tenants.remove(&name);
                    self.flows[index as usize].retired = true;
                    self.remove_if_retired(index);
                }
            }
        }
        for (name, weight) in named {
            if self.tenants.named().all(|(known, _)| known != name) {
                let index = self.flows.insert(Flow {
                    weight: *weight,
                    ..Flow::default()
                }) as u32;
                self.tenants.add(name.clone(), index);
            }
        }
    }

    /// Sets a named tenant's weight. Its start tag stays: earlier slot time was charged by the weight of that time.
    fn set_weight(&mut self, index: u32, weight: Weight) {
        let old = self.flows[index as usize].weight;
        self.update_flow(index, |queue, index| {
            let flow = &mut queue.flows[index as usize];
            if flow.active() {
                queue.active_weight = queue.active_weight - old.0 + weight.0;
            }
            // A tenant of weight 0 was ordered by another virtual time.
            if (old.0 == 0) != (weight.0 == 0) {
                flow.tag = queue.virtual_now[(weight.0 == 0) as usize];
            }
            flow.weight = weight;
        });
    }

    /// Removes the flow of a tenant that is no longer named once none of its requests runs or waits.
    pub(crate) fn remove_if_retired(&mut self, index: u32) {
        if self
            .flows
            .get(index as usize)
            .is_some_and(|flow| flow.retired && !flow.active())
        {
            self.flows.remove(index as usize);
        }
    }

    /// Charges slot time (us) that other processes gave a tenant: its next requests here start that much later, by at
    /// most `max` (us).
    pub fn charge_remote_usage(&mut self, now: Time, key: u64, time: Time, max: Time) {
        self.advance_clock(now);
        let index = self.tenants.flow_of_hash(key);
        self.update_flow(index, |queue, index| {
            let max = if planted(Fault::UnboundedDigestCharge) {
                Time::MAX
            } else {
                max
            };
            // An idle tenant is charged too: it may be busy at other processes all the time.
            let charge = |tag: &mut VirtualTime, now: VirtualTime, weight| {
                let charged = (*tag).max(now) + virtual_cost(time, weight);
                *tag = (*tag).max(charged.min(now + virtual_cost(max, weight)));
            };
            let flow = &mut queue.flows[index as usize];
            let now = queue.virtual_now[flow.virtual_clock()];
            charge(&mut flow.tag, now, flow.weight);
            if flow.bucket {
                let clock = queue.tenants.group_clock();
                charge(
                    &mut queue.group_tag,
                    queue.virtual_now[clock],
                    queue.tenants.unnamed_weight,
                );
            }
        });
    }

    /// Slot time used and slots wanted by each tenant: those that want most first, at most `max` tenants.
    pub fn usage(&self, max: usize) -> Vec<TenantUsage> {
        let mut usage: Vec<TenantUsage> = Vec::new();
        let wanted = |flow: &Flow| (flow.running + flow.waiting()).min(MAX_WANTED) as u32 * 1_000;
        for index in 0..self.tenants.buckets() {
            let flow = &self.flows[index as usize];
            usage.push(TenantUsage {
                tenant: index as u64,
                used: flow.used,
                wanted: wanted(flow),
            });
        }
        for (name, index) in self.tenants.named() {
            let flow = &self.flows[index as usize];
            usage.push(TenantUsage {
                tenant: name_hash(name),
                used: flow.used,
                wanted: wanted(flow),
            });
        }
        usage.retain(|u| u.used > 0 || u.wanted > 0);
        usage.sort_by_key(|u| (std::cmp::Reverse(u.wanted), u.tenant));
        usage.truncate(max);
        usage
    }
}
