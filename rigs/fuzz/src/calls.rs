//! Calls to draw: good ones, some with another field, some spoilt; and notifications.

use crate::{spoil, spoils};
use proptest::collection::vec;
use proptest::prelude::*;
use rmpv::Value;

fn text() -> BoxedStrategy<String> {
    prop_oneof![
        "[a-z0-9.+-]{0,12}",
        ".{0,6}",
        "[0-9a-f]{16}",
        "[0-9a-f]{32}",
        "[0-9]{1,4}"
    ]
    .boxed()
}

fn value() -> BoxedStrategy<Value> {
    let leaf = prop_oneof![
        any::<u64>().prop_map(Value::from),
        any::<i32>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        any::<bool>().prop_map(Value::from),
        text().prop_map(Value::from),
        vec(any::<u8>(), 0..20).prop_map(Value::from),
        Just(Value::Nil),
        vec(any::<u8>(), 0..5).prop_map(|bytes| Value::Ext(7, bytes)),
    ];
    let deeper = |inner: BoxedStrategy<Value>| {
        prop_oneof![
            vec(inner.clone(), 0..4).prop_map(Value::Array),
            vec((inner.clone(), inner), 0..3).prop_map(Value::Map)
        ]
    };
    leaf.prop_recursive(10, 24, 3, move |inner| deeper(inner.boxed()))
        .boxed()
}

/// Good calls, some with another field, some spoilt; and notifications.
pub fn calls() -> BoxedStrategy<Vec<u8>> {
    let good = |(via, object, part, group): (u64, u64, u32, u32)| {
        let pair = |k: &str, v: String| (Value::from(k), Value::from(v));
        vec![
            pair("i", format!("{via:016x}")),
            pair("d", "1500".into()),
            pair("o", format!("{object:016x}")),
            pair("nth", part.to_string()),
            pair("batch", group.to_string()),
            pair("m", "412.5".into()),
        ]
    };
    let fields = (any::<u64>(), any::<u64>(), any::<u32>(), 0..300u32).prop_map(good);
    let key = prop_oneof!["i", "d", "o", "nth", "batch", "m", "r", "k", "got", "x"];
    let other = vec((key, text()), 0..3);
    let parameters = (fields, other, any::<bool>(), vec(value(), 0..4)).prop_map(
        |(mut map, other, add, rest)| {
            for (key, text) in other {
                match map
                    .iter_mut()
                    .find(|(k, _)| k.as_str() == Some(&key))
                    .filter(|_| !add)
                {
                    Some(pair) => pair.1 = text.into(),
                    None => map.push((key.into(), text.into())),
                }
            }
            std::iter::once(Value::Map(map))
                .chain(rest)
                .collect::<Vec<_>>()
        },
    );
    let parameters = prop_oneof![8 => parameters, 1 => vec(value(), 0..3)];
    let call = (any::<u32>(), text(), parameters).prop_map(|(id, method, parameters)| {
        Value::Array(vec![
            0.into(),
            id.into(),
            method.into(),
            Value::Array(parameters),
        ])
    });
    let ids = prop_oneof![
        vec(any::<u32>().prop_map(Value::from), 0..5),
        vec(value(), 0..3)
    ];
    let forget = (prop_oneof![Just("forget".to_string()), text()], ids)
        .prop_map(|(method, ids)| Value::Array(vec![2.into(), method.into(), Value::Array(ids)]));
    let message = prop_oneof![6 => call, 2 => forget, 1 => value()];
    let encoded = message.prop_map(|value| {
        let mut bytes = Vec::new();
        let _ = rmpv::encode::write_value(&mut bytes, &value);
        bytes
    });
    (encoded, spoils(4))
        .prop_map(|(bytes, spoils)| spoil(bytes, &spoils))
        .boxed()
}
