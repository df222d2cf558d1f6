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
mod tests;
