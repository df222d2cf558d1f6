//! The parts that the operator's file names beside the members: covered requests, the journal by site, slots of pools.

use crate::cover::start::RunningCover;
use crate::cover::PreparedCover;
use crate::journal::JournalClient;
use crate::relayed::{self, Relayed};
use crate::turns::Turns;
use foldmux_core::servers::ServerList;
use foldmux_core::Core;
use foldmux_fleet::{Builder, Port};
use foldmux_operator::Fleet as Said;
use foldmux_settings::Decoded;
use std::sync::Arc;
use std::time::Instant;

/// What the process brings to them.
pub struct Own<'a> {
    pub name: &'a str,
    pub decoded: &'a Decoded,
    /// The classes as the fronts serve them: name and place.
    pub classes: Vec<(&'a Arc<str>, &'a Arc<usize>)>,
    pub members: &'a Arc<ServerList>,
    /// Requests that it has at once, and its memory (MB).
    pub open: usize,
    pub memory_mb: u64,
    pub seed: u64,
}

/// Added to the fleet, and not in service yet.
#[derive(Default)]
pub struct Parts {
    cover: Option<(PreparedCover, Port<foldmux_takeover::Command>)>,
    relayed: Option<(Relayed, Port<foldmux_relay::Ask>)>,
    turns: Option<Arc<Turns>>,
    told: Vec<String>,
}

/// In service.
#[derive(Default)]
pub struct Serving {
    cover: Option<RunningCover>,
    relayed: Option<Relayed>,
    turns: Option<Arc<Turns>>,
}

impl Parts {
    pub fn add(builder: &mut Builder, said: &Said, own: &Own) -> Result<Parts, String> {
        let mut parts = Parts::default();
        let bounds = (own.open, own.memory_mb, own.seed);
        if let Some(ready) = PreparedCover::new(
            said,
            own.name,
            own.decoded,
            own.classes.iter().copied(),
            bounds,
        )? {
            let port = ready.add(builder);
            let classes: Vec<&str> = said
                .covers
                .iter()
                .map(|cover| &*cover.value.class)
                .collect();
            parts.told.push(format!("covers {}", classes.join(", ")));
            parts.cover = Some((ready, port));
        }
        if let Some((relayed, part, tells)) = Relayed::new(said, own.name, own.seed)? {
            let port = builder.add(relayed::BYTE, part, tells);
            parts.told.push(format!("relays {}", relayed::JOURNAL));
            parts.relayed = Some((relayed, port));
        }
        parts.turns = Turns::add(
            builder,
            said,
            own.name,
            own.decoded,
            own.members.clone(),
            own.seed,
        )?;
        if parts.turns.is_some() {
            let pools: Vec<String> = said
                .pools
                .iter()
                .map(|pool| format!("{} ({} slots)", pool.name, pool.slots))
                .collect();
            parts.told.push(format!("shares {}", pools.join(", ")));
        }
        Ok(parts)
    }

    /// From now on what this process reads at the journal service is shared, where the file says so.
    pub fn share(&self, journal: &mut JournalClient) {
        self.relayed
            .iter()
            .for_each(|(relayed, _)| journal.share(relayed.desk.clone()));
    }

    /// The fleet runs since `began`. `journal`: as the one that reads the source, once it shares.
    pub fn start(
        self,
        core: &Arc<Core>,
        journal: JournalClient,
        began: Instant,
        seed: u64,
    ) -> Result<Serving, String> {
        let Parts {
            cover,
            relayed,
            turns,
            told,
        } = self;
        let mut serving = Serving::default();
        if let Some((ready, port)) = cover {
            serving.cover = Some(ready.start(core, port, began)?);
        }
        if let Some((relayed, port)) = relayed {
            relayed.start(port, journal, seed)?;
            serving.relayed = Some(relayed);
        }
        if let Some(turns) = turns {
            turns.start().map_err(|e| format!("fleet: {e}"))?;
            let _ = core.permits.set(turns.clone());
            serving.turns = Some(turns);
        }
        told.iter().for_each(|line| tracing::info!("fleet: {line}"));
        Ok(serving)
    }
}

impl Serving {
    /// What others can go on with is theirs at once.
    pub fn leave(&self) {
        self.cover.iter().for_each(RunningCover::leave);
        self.relayed.iter().for_each(|relayed| relayed.desk.leave());
        self.turns.iter().for_each(|turns| turns.leave());
    }

    /// How many weights are taken; none where there is no pool.
    pub fn reweigh(&self, said: &Said, tenants: &[(String, f64)]) -> Option<usize> {
        self.turns
            .as_ref()
            .map(|turns| turns.reweigh(said, tenants))
    }

    pub fn report(&self) {
        self.cover
            .iter()
            .for_each(|cover| tracing::info!("fleet: {}", cover.report()));
    }
}
