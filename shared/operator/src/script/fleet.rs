//! The script's functions for what the processes of a fleet share.

// Each argument of a function is a named setting of the file.
#![allow(clippy::too_many_arguments)]

use super::sets::{address, addressed, here, once, valid, whole, within, SETS};
use super::CALLS_MOST;
use crate::values::{
    Cover, Fleet, Peer, Pool, PoolBy, Slow, Stream, StreamFirst, Unclaimed, Uncovered,
};
use anyhow::{anyhow, bail};
use foldmux_limits::resolve::Located;
use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::float::UnpackFloat;
use starlark::values::none::{NoneOr, NoneType};

/// What the calls have set, each with its place in the file.
#[derive(Debug, Default)]
pub(super) struct Parts {
    head: Option<(String, Fleet)>,
    peers: Vec<Located<Peer>>,
    seats: Vec<Located<String>>,
    covers: Vec<Located<Cover>>,
    streams: Vec<Located<Stream>>,
    pools: Vec<Located<Pool>>,
    weights: Vec<Located<(String, f64)>>,
}

fn add<T>(
    list: impl FnOnce(&mut Parts) -> &mut Vec<Located<T>>,
    name: impl Fn(&T) -> &str,
    (what, at): (&str, String),
    value: T,
) -> anyhow::Result<NoneType> {
    SETS.with_borrow_mut(|sets| {
        let list = list(&mut sets.fleet);
        if list.len() >= CALLS_MOST {
            bail!("more than {CALLS_MOST} calls of {what}");
        }
        if list.iter().any(|other| name(&other.value) == name(&value)) {
            bail!("{what} {} is there twice", name(&value));
        }
        list.push(Located { at, value });
        Ok(NoneType)
    })
}

fn one_of<T: Copy>(what: &str, text: &str, words: &[(&str, T)]) -> anyhow::Result<T> {
    let found = words
        .iter()
        .find(|(word, _)| *word == text)
        .map(|(_, value)| *value);
    let all = || {
        words
            .iter()
            .map(|(word, _)| *word)
            .collect::<Vec<_>>()
            .join(", ")
    };
    found.ok_or_else(|| anyhow!("{what}: {text:?} is none of {}", all()))
}

impl Parts {
    /// The whole, where `fleet` was called; errors with their places.
    pub fn finish(self, file: &str) -> Result<Option<Fleet>, Vec<String>> {
        let values = |list: Vec<Located<String>>| list.into_iter().map(|said| said.value).collect();
        let Parts {
            head,
            peers,
            seats,
            covers,
            streams,
            pools,
            weights,
        } = self;
        let Some((at, mut fleet)) = head else {
            let none = peers.is_empty() && seats.is_empty() && covers.is_empty();
            return match none && streams.is_empty() && pools.is_empty() && weights.is_empty() {
                true => Ok(None),
                false => Err(vec![format!(
                    "{file}: peer, seat, cover, stream, pool and weight need a fleet: call fleet(…)"
                )]),
            };
        };
        let strange =
            |seat: &&Located<String>| !peers.iter().any(|peer| peer.value.name == seat.value);
        let mut faults: Vec<String> = seats
            .iter()
            .filter(strange)
            .map(|s| format!("{}: seat {} is no peer", s.at, s.value))
            .collect();
        for (n, peer) in peers.iter().enumerate() {
            let address = peer.value.address;
            if peers[..n]
                .iter()
                .any(|other| other.value.address == address)
            {
                faults.push(format!(
                    "{}: another peer has the address {address}",
                    peer.at
                ));
            }
        }
        fleet.seats = values(seats);
        fleet.peers = peers.into_iter().map(|said| said.value).collect();
        fleet.covers = covers;
        fleet.streams = streams.into_iter().map(|said| said.value).collect();
        fleet.pools = pools.into_iter().map(|said| said.value).collect();
        fleet.weights = weights.into_iter().map(|said| said.value).collect();
        if faults.is_empty() {
            faults.extend(fleet.fits().err().map(|why| format!("{at}: {why}")));
        }
        if faults.is_empty() {
            return Ok(Some(fleet));
        }
        Err(faults)
    }
}

#[starlark_module]
pub(super) fn functions(builder: &mut GlobalsBuilder) {
    /// What this process shares with the others of its fleet: on where it is called.
    fn fleet(
        #[starlark(require = named)] listen: &str,
        #[starlark(require = named)] key_file: &str,
        #[starlark(require = named, default = 500i64)] lease_ms: i64,
        #[starlark(require = named, default = UnpackFloat(1.0))] drift_percent: UnpackFloat,
        #[starlark(require = named, default = 20i64)] round_trip_ms: i64,
        #[starlark(require = named, default = 4_096i64)] queue: i64,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let own = valid(Fleet {
            listen: address("listen", listen)?,
            key_file: key_file.to_string(),
            lease_ms: whole("lease_ms", lease_ms)?,
            drift_percent: drift_percent.0,
            round_trip_ms: whole("round_trip_ms", round_trip_ms)?,
            queue: whole("queue", queue)?,
            peers: Vec::new(),
            seats: Vec::new(),
            covers: Vec::new(),
            streams: Vec::new(),
            pools: Vec::new(),
            weights: Vec::new(),
        })?;
        let at = here(eval);
        once(|s| &mut s.fleet.head, (at, own), "fleet")
    }

    /// A process of the fleet, this one too, by its name (`GW_NAME`); the site is a zone of the settings.
    fn peer(
        name: &str,
        #[starlark(require = named)] address: &str,
        #[starlark(require = named)] site: &str,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let levels = site.split('/').count();
        if levels > 3 || site.split('/').any(str::is_empty) {
            bail!("site: {site:?} is no site, nor site/hub/office");
        }
        let address = super::sets::address("address", address)?;
        if address.port() == 0 {
            bail!("address: {address} has no port");
        }
        let peer = valid(Peer {
            name: name.to_string(),
            address,
            site: site.to_string(),
        })?;
        add(
            |parts| &mut parts.peers,
            |peer| &peer.name,
            ("peer", here(eval)),
            peer,
        )
    }

    /// A peer that speaks for keys, streams and pools; three at least.
    fn seat(name: &str, eval: &mut Evaluator) -> anyhow::Result<NoneType> {
        add(
            |parts| &mut parts.seats,
            |seat| seat,
            ("seat", here(eval)),
            name.to_string(),
        )
    }

    /// A class whose requests another process takes over.
    fn cover(
        class: &str,
        #[starlark(require = named, default = "run")] uncovered: &str,
        #[starlark(require = named, default = "finish")] unclaimed: &str,
        #[starlark(require = named, default = 2_000i64)] keep_ms: i64,
        #[starlark(require = named, default = false)] terms: bool,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let uncovereds = [("run", Uncovered::Run), ("refuse", Uncovered::Refuse)];
        let unclaimeds = [("finish", Unclaimed::Finish), ("let_go", Unclaimed::LetGo)];
        let cover = valid(Cover {
            class: class.to_string(),
            uncovered: one_of("uncovered", uncovered, &uncovereds)?,
            unclaimed: one_of("unclaimed", unclaimed, &unclaimeds)?,
            keep_ms: whole("keep_ms", keep_ms)?,
            terms,
        })?;
        add(
            |parts| &mut parts.covers,
            |cover| &cover.class,
            ("cover", here(eval)),
            cover,
        )
    }

    /// A stream that is read once for each site.
    fn stream(
        name: &str,
        #[starlark(require = named, default = "all")] slow: &str,
        #[starlark(require = named, default = "whole")] first: &str,
        #[starlark(require = named, default = 100i64)] patience_ms: i64,
        #[starlark(require = named, default = 10_000i64)] window_ms: i64,
        #[starlark(require = named, default = 4_096i64)] items: i64,
        #[starlark(require = named, default = 1_024i64)] kb: i64,
        #[starlark(require = named, default = 256i64)] readers: i64,
        #[starlark(require = named, default = NoneOr::None)] serve: NoneOr<&str>,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let slows = [
            ("all", Slow::All),
            ("latest", Slow::Latest),
            ("skip", Slow::Skip),
        ];
        let firsts = [
            ("whole", StreamFirst::Whole),
            ("ring", StreamFirst::Ring),
            ("live", StreamFirst::Live),
        ];
        let stream = valid(Stream {
            name: name.to_string(),
            slow: one_of("slow", slow, &slows)?,
            first: one_of("first", first, &firsts)?,
            patience_ms: whole("patience_ms", patience_ms)?,
            window_ms: whole("window_ms", window_ms)?,
            items: whole("items", items)?,
            kb: whole("kb", kb)?,
            readers: whole("readers", readers)?,
            serve: addressed("serve", serve)?,
        })?;
        add(
            |parts| &mut parts.streams,
            |stream| &stream.name,
            ("stream", here(eval)),
            stream,
        )
    }

    /// Slots that all processes hold together, shared by weight.
    fn pool(
        name: &str,
        #[starlark(require = named)] slots: i64,
        #[starlark(require = named, default = "tenant")] by: &str,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let bys = [
            ("tenant", PoolBy::Tenant),
            ("class", PoolBy::Class),
            ("caller", PoolBy::Caller),
        ];
        let (slots, by) = (whole("slots", slots)?, one_of("by", by, &bys)?);
        let pool = valid(Pool {
            name: name.to_string(),
            slots,
            by,
        })?;
        add(
            |parts| &mut parts.pools,
            |pool| &pool.name,
            ("pool", here(eval)),
            pool,
        )
    }

    /// What a tenant weighs whose share the settings do not tell; 0: served when nobody else waits.
    fn weight(name: &str, weight: UnpackFloat, eval: &mut Evaluator) -> anyhow::Result<NoneType> {
        let weight = within("weight", weight.0, 0.0, 1e6)?;
        add(
            |parts| &mut parts.weights,
            |(name, _)| name,
            ("weight", here(eval)),
            (name.to_string(), weight),
        )
    }
}
