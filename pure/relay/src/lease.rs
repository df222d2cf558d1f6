//! A relay's lease on a branch: requests, yielding to another holder, and stepping down.

use crate::branch_relay::BranchRelay;
use crate::context::Context;
use crate::election::{Candidates, ClaimResult};
use crate::messages::Message;
use crate::planted::{planted, Fault};
use foldmux_replicas::{Peer, Time};

impl BranchRelay {
    pub(crate) fn request_lease(&mut self, now: Time, ctx: &mut Context) {
        let request = ctx.next_nonce();
        let Some(claim) = &mut self.claim else { return };
        claim.start_round(now, request, ctx.config.lease / 3);
        for replica in claim.replicas().clone() {
            let message = Message::Claim {
                branch: self.branch.clone(),
                request,
                lease: ctx.config.lease,
            };
            ctx.send(&replica, message);
        }
    }

    pub fn on_claim_reply(
        &mut self,
        now: Time,
        from: &Peer,
        request: u64,
        holder: Option<Peer>,
        candidates: &Candidates,
        ctx: &mut Context,
    ) {
        let Some(claim) = &mut self.claim else {
            // The claim was sent before this relay closed. The replica would keep the lease for a process
            // that does not relay.
            if holder.is_none() {
                ctx.send(
                    from,
                    Message::Release {
                        branch: self.branch.clone(),
                    },
                );
            }
            return;
        };
        let holder = holder.filter(|holder| *holder != ctx.config.own);
        match claim.on_reply(from, request, holder, ctx.config.lease, ctx.config.drift) {
            ClaimResult::Pending => {}
            ClaimResult::Won => {
                (self.replacing, self.sends_from) = (None, self.sends_from.min(now))
            }
            ClaimResult::Lost(holders) => {
                let awaits_handover = |holder: &Peer| {
                    self.replacing
                        .as_ref()
                        .is_some_and(|(who, until)| who == holder && now < *until)
                };
                let same = holders.windows(2).all(|pair| pair[0] == pair[1]);
                let own_rank = candidates.rank(&ctx.config.own);
                let yields = |holder: &&Peer| {
                    !awaits_handover(holder) && (same || candidates.rank(holder) < own_rank)
                };
                if let Some(to) = holders
                    .iter()
                    .filter(yields)
                    .min_by_key(|holder| candidates.rank(holder))
                {
                    self.hand_over(now, Some(to.clone()), ctx);
                }
            }
        }
    }

    /// Releases the lease at once and redirects the followers. They are sent events until they have left.
    pub fn hand_over(&mut self, now: Time, to: Option<Peer>, ctx: &mut Context) {
        let Some(claim) = self.claim.take() else {
            return;
        };
        for replica in claim.replicas() {
            ctx.send(
                replica,
                Message::Release {
                    branch: self.branch.clone(),
                },
            );
        }
        for (peer, (nonce, _)) in &self.sessions {
            let (branch, nonce, to) = (self.branch.clone(), *nonce, to.clone());
            if !planted(Fault::LeavesSilently) {
                ctx.send(peer, Message::Redirect { branch, nonce, to });
            }
        }
        self.handover_until = Some(now + 2 * ctx.config.lease);
        if planted(Fault::LeavesSilently) {
            self.close();
        }
    }

    /// Hands over to the next candidate, and declines the role for the time `ineligible_for`. Does nothing
    /// when there is no other candidate.
    pub fn step_down(
        &mut self,
        now: Time,
        ineligible_for: Time,
        candidates: &Candidates,
        ctx: &mut Context,
    ) {
        let own = ctx.config.own.clone();
        let Some(next) = candidates.next(now, &ctx.dead, &[&own]).cloned() else {
            return;
        };
        self.ineligible_until = now + ineligible_for;
        self.hand_over(now, Some(next), ctx);
    }

    /// Handles a follower's report that this relay was late. The relay steps down once half of its followers
    /// have reported it within `min_tenure`, at most once in that time.
    pub fn on_late_report(
        &mut self,
        now: Time,
        from: &Peer,
        candidates: &Candidates,
        ctx: &mut Context,
    ) {
        if !self.sessions.contains_key(from) || self.claim.is_none() {
            return;
        }
        let min_tenure = ctx.config.min_tenure;
        self.late_reports.insert(from.clone(), now);
        self.late_reports.retain(|_, at| now < *at + min_tenure);
        // Followers that left because of the lateness count too.
        let all = self.late_reports.len()
            + self
                .followers
                .iter()
                .filter(|(peer, _)| !self.late_reports.contains_key(*peer))
                .count();
        if self.late_reports.len() * 2 >= all && now >= self.opened_at + min_tenure {
            self.step_down(now, 5 * min_tenure, candidates, ctx);
        }
    }
}
