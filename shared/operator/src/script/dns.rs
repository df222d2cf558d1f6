//! The script's function for DNS request routing.

// Each argument of a function is a named setting of the file.
#![allow(clippy::too_many_arguments)]

use super::sets::{address, addressed, once, valid, whole};
use crate::values::{Dns, Tls};
use anyhow::anyhow;
use starlark::environment::GlobalsBuilder;
use starlark::starlark_module;
use starlark::values::list::UnpackList;
use starlark::values::none::{NoneOr, NoneType};

#[starlark_module]
pub(super) fn functions(builder: &mut GlobalsBuilder) {
    /// DNS request routing: on where it is called.
    fn dns(
        #[starlark(require = named)] zone: &str,
        #[starlark(require = named, default = NoneOr::None)] udp: NoneOr<&str>,
        #[starlark(require = named, default = NoneOr::None)] tcp: NoneOr<&str>,
        #[starlark(require = named, default = NoneOr::None)] tls: NoneOr<&str>,
        #[starlark(require = named, default = "")] svid: &str,
        #[starlark(require = named, default = "")] key: &str,
        #[starlark(require = named, default = "")] bundle: &str,
        #[starlark(require = named, default = UnpackList::default())] allowed: UnpackList<String>,
        #[starlark(require = named, default = UnpackList::default())] notify: UnpackList<String>,
        #[starlark(require = named, default = 2_000i64)] lease_ms: i64,
        #[starlark(require = named, default = 500i64)] patience_ms: i64,
    ) -> anyhow::Result<NoneType> {
        let tls = addressed("tls", tls)?.map(|listen| Tls {
            listen,
            svid: svid.to_string(),
            key: key.to_string(),
            bundle: bundle.to_string(),
            allowed: allowed.items,
        });
        let notify = notify
            .items
            .iter()
            .map(|text| address("notify", text))
            .collect::<Result<_, _>>()?;
        let dns = valid(Dns {
            zone: zone.to_string(),
            udp: addressed("udp", udp)?,
            tcp: addressed("tcp", tcp)?,
            tls,
            notify,
            lease_ms: whole("lease_ms", lease_ms)?,
            patience_ms: whole("patience_ms", patience_ms)?,
        })?;
        dns.listens().map_err(|why| anyhow!("{why}"))?;
        once(|s| &mut s.operator.dns, dns, "dns")
    }
}
