//! The operator's file: whatever it holds, it is evaluated within its bounds, twice alike, and each fault is one line.

use crate::{spoil, spoils};
use foldmux_operator::script::evaluate;
use proptest::collection::vec;
use proptest::prelude::*;

pub fn file(bytes: &[u8]) -> Result<(), String> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let run = || evaluate("file.star", text.clone()).map(drop);
    let (one, two) = (run(), run());
    if one != two {
        return Err(format!("{one:?}, and then {two:?}"));
    }
    match one {
        Err(faults) if faults.is_empty() => Err("refused without a reason".into()),
        Err(faults) => {
            let broken = faults
                .iter()
                .find(|f| f.contains('\n') || !f.starts_with("file.star"));
            broken.map_or(Ok(()), |fault| Err(format!("no plain line: {fault:?}")))
        }
        Ok(_) => Ok(()),
    }
}

/// The file that is shipped, by its calls.
const SHIPPED: &str = include_str!("../../../deploy/foldmux.star");

/// Calls of the functions that there are, with values that fit and values that don't; the shipped file; some spoilt.
pub fn files() -> BoxedStrategy<Vec<u8>> {
    let value = prop_oneof![
        any::<i32>().prop_map(|n| n.to_string()),
        Just("\"127.0.0.1:0\"".to_string()),
        Just("\"mix-record\"".to_string()),
        "\"[a-z.:0-9é-]{0,12}\"",
        Just("None".to_string()),
        Just("[\"archive\"]".to_string()),
        Just("{\"a\": 1}".to_string()),
        Just("[x for x in range(1000000)]".to_string()),
        Just("1.5".to_string()),
        Just("-1".to_string()),
    ];
    let name = prop_oneof![
        "hierarchy|archive|hub|location|relay|dns|notify|ext_proc|ask|token_key|ledger|limits|set|budget",
        "fleet|peer|seat|cover|stream|pool|weight",
        "[a-z_]{1,10}",
    ];
    let key = "epoch|domain|overlap_ms|address|parents|memory_mb|connections|listen|zone|lease_ms|path|method|key|\
               entries|remember_ms|secret|number|attempts|key_file|drift_percent|site|uncovered|slots|by|slow";
    let argument = prop_oneof![
        value.clone(),
        (key, value).prop_map(|(key, value)| format!("{key} = {value}"))
    ];
    let call = (name, vec(argument, 0..5))
        .prop_map(|(name, list)| format!("{name}({})\n", list.join(", ")));
    let loops = prop_oneof![
        Just("def f(n):\n    return f(n + 1)\nf(0)\n".to_string()),
        Just("x = \"a\" * 1000\nfor i in range(30):\n    x = x + x\n".to_string()),
        Just("[i for i in range(10000000)]\n".to_string()),
    ];
    let calls = vec(prop_oneof![12 => call, 1 => loops], 0..8).prop_map(|lines| lines.concat());
    let text = prop_oneof![2 => calls, 2 => Just(SHIPPED.to_string())];
    (text, spoils(4))
        .prop_map(|(text, spoils)| spoil(text.into_bytes(), &spoils))
        .boxed()
}
