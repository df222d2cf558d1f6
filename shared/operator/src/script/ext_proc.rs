//! The script's functions for the external processor.

// Each argument of a function is a named setting of the file.
#![allow(clippy::too_many_arguments)]

use super::sets::{address, few, here, once, valid, whole};
use crate::values::{AskRule, Durable, ExtProc, LedgerFile, Tls, TokenKey};
use anyhow::{anyhow, bail};
use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::list::UnpackList;
use starlark::values::none::{NoneOr, NoneType};

#[starlark_module]
pub(super) fn functions(builder: &mut GlobalsBuilder) {
    /// The external processor: on where it is called.
    fn ext_proc(
        #[starlark(require = named)] listen: &str,
        #[starlark(require = named, default = "")] svid: &str,
        #[starlark(require = named, default = "")] key: &str,
        #[starlark(require = named, default = "")] bundle: &str,
        #[starlark(require = named, default = UnpackList::default())] allowed: UnpackList<String>,
        #[starlark(require = named, default = "foldmux")] name: &str,
        #[starlark(require = named, default = 64i64)] connections: i64,
        #[starlark(require = named, default = 2_048i64)] streams: i64,
        #[starlark(require = named, default = 2i64)] threads: i64,
        #[starlark(require = named, default = 500i64)] patience_ms: i64,
        #[starlark(require = named, default = 200i64)] message_timeout_ms: i64,
        #[starlark(require = named, default = 200i64)] good_for_ms: i64,
        #[starlark(require = named, default = 300_000i64)] idle_ms: i64,
        #[starlark(require = named, default = 60_000i64)] overlap_ms: i64,
        #[starlark(require = named, default = true)] again: bool,
        #[starlark(require = named, default = false)] strict: bool,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let listen = address("listen", listen)?;
        let (svid, key, bundle) = (svid.to_string(), key.to_string(), bundle.to_string());
        let secured =
            [&svid, &key, &bundle].iter().any(|file| !file.is_empty()) || !allowed.items.is_empty();
        let tls = secured.then_some(Tls {
            listen,
            svid,
            key,
            bundle,
            allowed: allowed.items,
        });
        let own = ExtProc {
            listen,
            tls,
            name: name.to_string(),
            connections: whole("connections", connections)?,
            streams: whole("streams", streams)?,
            threads: whole("threads", threads)?,
            patience_ms: whole("patience_ms", patience_ms)?,
            message_timeout_ms: whole("message_timeout_ms", message_timeout_ms)?,
            good_for_ms: whole("good_for_ms", good_for_ms)?,
            idle_ms: whole("idle_ms", idle_ms)?,
            overlap_ms: whole("overlap_ms", overlap_ms)?,
            again,
            strict,
            asks: Vec::new(),
            keys: Vec::new(),
            ledger: None,
        };
        let at = here(eval);
        once(|s| &mut s.ext_proc, (at, own), "ext_proc")
    }

    /// Which requests of the external processor's callers ask for a class.
    fn ask(
        class: &str,
        #[starlark(require = named)] path: &str,
        #[starlark(require = named, default = "GET")] method: &str,
        #[starlark(require = named, default = NoneOr::None)] key: NoneOr<&str>,
        #[starlark(require = named, default = false)] rewrite: bool,
    ) -> anyhow::Result<NoneType> {
        let rule = valid(AskRule {
            class: class.to_string(),
            method: method.to_string(),
            path: path.to_string(),
            key: key.into_option().map(str::to_ascii_lowercase),
            rewrite,
        })?;
        few(|s| &mut s.asks, rule, "asks")
    }

    /// A key that signs the tokens of attempts; the last one signs, those before it are believed for a while.
    fn token_key(
        #[starlark(require = named)] number: i64,
        #[starlark(require = named)] secret: &str,
    ) -> anyhow::Result<NoneType> {
        let number =
            u8::try_from(number).map_err(|_| anyhow!("number: {number} is not within 0 to 255"))?;
        few(
            |s| &mut s.keys,
            valid(TokenKey {
                number,
                secret: secret.to_string(),
            })?,
            "token keys",
        )
    }

    /// Where the external processor keeps what it knows of keyed attempts.
    fn ledger(
        file: &str,
        #[starlark(require = named, default = 100_000i64)] entries: i64,
        #[starlark(require = named, default = "group")] durable: &str,
        #[starlark(require = named, default = 60_000i64)] remember_ms: i64,
    ) -> anyhow::Result<NoneType> {
        let durable = match durable {
            "group" => Durable::Group,
            "each" => Durable::Each,
            "behind" => Durable::Behind,
            other => bail!("durable: {other:?} is none of group, each and behind"),
        };
        let own = valid(LedgerFile {
            file: file.to_string(),
            entries: whole("entries", entries)?,
            durable,
            remember_ms: whole("remember_ms", remember_ms)?,
        })?;
        once(|s| &mut s.ledger, own, "ledger")
    }
}
