//! Names under the operator's zone: `PART.OBJECT.CLASS.ZONE` asks for a placement, `CACHE.node.ZONE` for the
//! address of a member that an answer named.

use hickory_proto::rr::Name;
use std::str::from_utf8;

/// The label under which members have names.
const NODE: &str = "node";

#[derive(Debug, PartialEq)]
pub enum Asked {
    /// Not under the zone.
    Outside,
    Apex,
    /// The member's name.
    Node(String),
    Part {
        class: String,
        object: u64,
        part: u32,
    },
    /// Under the zone, and nothing that it holds.
    Unknown,
}

pub fn read(name: &Name, zone: &Name) -> Asked {
    if !zone.zone_of(name) {
        return Asked::Outside;
    }
    let own = (name.num_labels() - zone.num_labels()) as usize;
    let labels: Option<Vec<String>> = name
        .iter()
        .take(own)
        .map(|l| from_utf8(l).ok().map(str::to_ascii_lowercase))
        .collect();
    match labels.as_deref() {
        Some([]) => Asked::Apex,
        Some([member, node]) if node == NODE => Asked::Node(member.clone()),
        Some([part, object, class]) => {
            let whole = object.len() == 16 && object.bytes().all(|b| b.is_ascii_hexdigit());
            let (number, part) = (u64::from_str_radix(object, 16), part.parse());
            match (whole, number, part) {
                (true, Ok(object), Ok(part)) => Asked::Part {
                    class: class.clone(),
                    object,
                    part,
                },
                _ => Asked::Unknown,
            }
        }
        _ => Asked::Unknown,
    }
}

/// The name of a member; none where it is no label.
pub fn node(member: &str, zone: &Name) -> Option<Name> {
    Name::from_ascii(format!("{member}.{NODE}"))
        .ok()?
        .append_domain(zone)
        .ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_are_read_by_their_labels_whatever_their_case() {
        let zone = Name::from_ascii("route.example.").unwrap();
        let read = |name: &str| read(&Name::from_ascii(name).unwrap(), &zone);
        let part = Asked::Part {
            class: "mix-video".into(),
            object: 0x7f3a_9c21_e0b4_d655,
            part: 3,
        };
        assert_eq!(read("3.7F3a9c21e0b4d655.Mix-Video.ROUTE.example."), part);
        assert_eq!(read("s-1.node.route.example."), Asked::Node("s-1".into()));
        assert_eq!(
            (read("route.example."), read("example.")),
            (Asked::Apex, Asked::Outside)
        );
        for unknown in [
            "3.7f3a.mix-video",
            "x.7f3a9c21e0b4d655.mix-video",
            "a.b.c.d",
            "mix-video",
        ] {
            assert_eq!(read(&format!("{unknown}.route.example.")), Asked::Unknown);
        }
        assert_eq!(
            node("s-1", &zone).unwrap().to_string(),
            "s-1.node.route.example."
        );
    }
}
