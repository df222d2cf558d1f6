//! Parsing of a load report's fields.

use super::*;

fn fields() -> Fields {
    Fields::new(["util", "inflight", "x0", "x1"])
}

fn read(text: &str) -> Load {
    fields().read(text.as_bytes())
}

#[test]
fn a_report_is_parsed_by_the_names_of_the_settings_in_any_order() {
    let load = read("inflight:7;util:0.61");
    assert_eq!(
        load,
        Load {
            util: Some(0.61),
            inflight: Some(7.0),
            ..Load::default()
        }
    );
    assert_eq!(
        read(" x1: 2 ; x0:0"),
        Load {
            hits: Some(0.0),
            link: Some(2.0),
            ..Load::default()
        }
    );
    // In the simulator the values come without names, by position.
    let other = Fields::new(["x1", "moon", "inflight"]);
    let by_place = Load {
        link: Some(0.5),
        inflight: Some(3.0),
        ..Load::default()
    };
    assert_eq!(other.load(&[0.5, 9.0, 3.0, 8.0]), by_place);
    assert_eq!(other.load(&[f32::INFINITY, 9.0]), Load::default());
    assert!(Fields::new([""; 40]).is_empty() && Fields::new(["moon"]).is_empty());
}

#[test]
fn both_names_of_a_field_have_the_same_meaning() {
    // The settings may use the simulator's names while responses use those of the sockets. Guards against a parser that
    // then finds no field.
    let fields = Fields::new(["cpu", "active", "x0", "x1"]);
    let load = Load {
        util: Some(0.5),
        inflight: Some(7.0),
        hits: Some(0.25),
        link: Some(1.5),
    };
    assert_eq!(fields.load(&[0.5, 7.0, 0.25, 1.5]), load);
    assert_eq!(fields.read(b"util:0.5;inflight:7;x0:0.25;x1:1.5"), load);
    assert_eq!(fields.read(b"cpu:0.5;active:7;x0:0.25;x1:1.5"), load);
    assert_eq!(
        fields.read(b"cpu:0.5;util:0.6"),
        Load::default(),
        "duplicated under two names"
    );
}

#[test]
fn an_invalid_field_leaves_the_others_valid() {
    let long = format!("util:0.{}", "1".repeat(MAX_FIELD_LEN));
    for bad in [
        "util:-0.1",
        "util:NaN",
        "util:inf",
        "util:1e39",
        "util:",
        "util",
        "util:x",
        "util:0.5;util:0.5",
        "util:0.5;util:0.6;util:0.7",
        "util:2000000",
        "util=0.5",
        ":0.5",
        "moon:0.5",
        "",
        "util:0.5 0.6",
        &long,
    ] {
        let load = read(&format!("{bad};inflight:7"));
        assert_eq!((load.util, load.inflight), (None, Some(7.0)), "{bad}");
    }
    for none in ["", ";;;", "moon:1", "util:-1", "util", "\u{1}\u{2}"] {
        assert!(read(none).is_empty(), "{none:?}");
    }
    // Fields after the maximum number are ignored.
    assert!(read(&format!("{}util:0.5", "moon:1;".repeat(MAX_FIELDS_READ))).is_empty());
    assert!(
        Fields::default().read(b"util:0.5").is_empty(),
        "the settings name none"
    );
}
