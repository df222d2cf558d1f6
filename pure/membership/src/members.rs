//! The part: foca, its timers and its chance, driven by messages, asks and time.

use crate::admission::Admission;
use crate::event::MemberView;
use crate::identity::NodeIdentity;
use crate::timers::Timers;
use crate::{BadMembers, Pace};
use foca::{AccumulatingRuntime, Foca, Member, NoCustomBroadcast, PostcardCodec, Timer};
use foldmux_replicas::{Peer, Time};
use rand::{rngs::SmallRng, RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::num::NonZeroUsize;

mod effects;
mod part;

/// What a process has to say of itself and of its fleet.
#[derive(Clone, Debug)]
pub struct Setup {
    pub me: NodeIdentity,
    pub pace: Pace,
    /// Names that are kept, dead ones too; a further one is not taken in.
    pub most: usize,
    pub seed: u64,
}

/// What was not taken in, or went wrong, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub unread: u64,
    pub forged: u64,
    pub full: u64,
    /// Errors that foca told.
    pub errors: u64,
    /// Times that this process was taken for dead, and came back.
    pub returns: u64,
}

type Swim = Foca<NodeIdentity, PostcardCodec, SmallRng, NoCustomBroadcast>;

pub struct Members {
    foca: Swim,
    runtime: AccumulatingRuntime<NodeIdentity>,
    timers: Timers,
    admission: Admission,
    pace: Pace,
    rng: SmallRng,
    contacts: Vec<Peer>,
    /// When contacts are asked next; none before the first join, and after leaving.
    join_at: Option<Time>,
    /// Who was told to be up, with the generation that its life started with.
    up: BTreeMap<Peer, u64>,
    /// The other life under this name that was told last.
    rival: Option<u64>,
    /// Whether anyone is known to see this process as it speaks of itself now.
    seen: bool,
    counts: Counts,
}

fn swim(me: NodeIdentity, pace: Pace, rng: &mut SmallRng) -> Swim {
    Foca::new(
        me,
        pace.config(),
        SmallRng::seed_from_u64(rng.random()),
        PostcardCodec,
    )
}

impl Members {
    pub fn new(setup: Setup) -> Result<Members, BadMembers> {
        if !setup.me.fits() {
            return Err(BadMembers::Name(setup.me.name));
        }
        if setup.pace.rtt == 0 {
            return Err(BadMembers::Pace);
        }
        let mut rng = SmallRng::seed_from_u64(setup.seed);
        Ok(Members {
            foca: swim(setup.me, setup.pace, &mut rng),
            runtime: AccumulatingRuntime::new(),
            timers: Timers::default(),
            admission: Admission::new(setup.most),
            pace: setup.pace,
            rng,
            contacts: Vec::new(),
            join_at: None,
            up: BTreeMap::new(),
            rival: None,
            seen: false,
            counts: Counts::default(),
        })
    }

    /// This process, as it speaks of itself now.
    pub fn me(&self) -> &NodeIdentity {
        self.foca.identity()
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Timers that wait: bounded by two a member.
    pub fn waiting(&self) -> usize {
        self.timers.len()
    }

    /// All that is known of the others, dead ones too.
    pub fn seen(&self) -> Vec<MemberView> {
        self.others().map(MemberView::of).collect()
    }

    fn others(&self) -> impl Iterator<Item = &Member<NodeIdentity>> {
        let me = &self.foca.identity().name;
        self.foca
            .iter_membership_state()
            .filter(move |member| member.id().name != *me)
    }

    fn alive(&self, peer: &Peer) -> bool {
        self.foca
            .iter_members()
            .any(|member| member.id().name == *peer)
    }

    /// Whether a suspicion came to nothing. foca 2.0 sends the suspected its death notice also when it has refuted,
    /// and so makes it come back under another identity for each: it does not get to see such a timer.
    fn refuted(&self, timer: &Timer<NodeIdentity>) -> bool {
        #[cfg(feature = "planted")]
        if crate::planted::on(crate::planted::Fault::RefutedInVain) {
            return false;
        }
        let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = timer
        else {
            return false;
        };
        let suspected = Member::new(member_id.clone(), *incarnation, foca::State::Suspect);
        self.others().all(|member| *member != suspected)
    }

    fn noted<E>(counts: &mut Counts, done: Result<(), E>) {
        counts.errors += u64::from(done.is_err());
    }

    /// Announces this process: to a few of its contacts while nobody sees it, else to one that it does not
    /// see.
    fn announce(&mut self) {
        let wanted = |peer: &&Peer| !self.seen || !self.alive(peer);
        let mut some: Vec<Peer> = self.contacts.iter().filter(wanted).cloned().collect();
        for _ in 0..if self.seen { 1 } else { 3 } {
            if some.is_empty() {
                return;
            }
            let contact = some.swap_remove(self.rng.random_range(0..some.len()));
            let done = self
                .foca
                .announce(NodeIdentity::contact(&contact), &mut self.runtime);
            Members::noted(&mut self.counts, done);
        }
    }

    fn leave(&mut self) {
        // Each that is known is told by this process itself; who misses it hears it from the others.
        let mut config = self.pace.config();
        config.num_indirect_probes =
            NonZeroUsize::new(self.foca.num_members()).unwrap_or(NonZeroUsize::MIN);
        #[cfg(feature = "planted")]
        if crate::planted::on(crate::planted::Fault::LeavesUntold) {
            self.foca = swim(self.me().leaving(), self.pace, &mut self.rng);
            return;
        }
        let leaving = self.me().leaving();
        Members::noted(&mut self.counts, self.foca.set_config(config));
        Members::noted(
            &mut self.counts,
            self.foca.change_identity(leaving, &mut self.runtime),
        );
        Members::noted(&mut self.counts, self.foca.leave_cluster(&mut self.runtime));
    }
}
