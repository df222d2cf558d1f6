//! Descriptors from a few words: fields, messages, enumerations, files.

use prost_types::field_descriptor_proto::{Label, Type};
use prost_types::{
    DescriptorProto, EnumDescriptorProto, EnumValueDescriptorProto, FieldDescriptorProto,
    FileDescriptorProto, OneofDescriptorProto,
};

/// A field: its name, number and type; `.full.Name` of a message, `enum .full.Name`, or a scalar. `one`: in the oneof.
pub(super) struct Field(
    pub(super) &'static str,
    pub(super) i32,
    pub(super) &'static str,
    pub(super) Shape,
);

#[derive(Clone, Copy, PartialEq)]
pub(super) enum Shape {
    Single,
    Repeated,
    One,
}
pub(super) use Shape::{One, Repeated, Single};

fn field(Field(name, number, kind, shape): &Field) -> FieldDescriptorProto {
    let scalar = match *kind {
        "string" => Some(Type::String),
        "bytes" => Some(Type::Bytes),
        "bool" => Some(Type::Bool),
        "uint32" => Some(Type::Uint32),
        _ => None,
    };
    let (r#type, type_name) = match (scalar, kind.strip_prefix("enum ")) {
        (Some(scalar), _) => (scalar, None),
        (None, Some(name)) => (Type::Enum, Some(name.to_string())),
        (None, None) => (Type::Message, Some(kind.to_string())),
    };
    FieldDescriptorProto {
        name: Some(name.to_string()),
        number: Some(*number),
        label: Some(if *shape == Repeated {
            Label::Repeated
        } else {
            Label::Optional
        } as i32),
        r#type: Some(r#type as i32),
        type_name,
        oneof_index: (*shape == One).then_some(0),
        ..FieldDescriptorProto::default()
    }
}

pub(super) fn message(name: &str, oneof: Option<&str>, fields: &[Field]) -> DescriptorProto {
    let one = |name: &str| OneofDescriptorProto {
        name: Some(name.to_string()),
        ..OneofDescriptorProto::default()
    };
    DescriptorProto {
        name: Some(name.to_string()),
        field: fields.iter().map(field).collect(),
        oneof_decl: oneof.map(one).into_iter().collect(),
        ..DescriptorProto::default()
    }
}

pub(super) fn choice(name: &str, values: &[&str]) -> EnumDescriptorProto {
    let value = |(n, name): (usize, &&str)| EnumValueDescriptorProto {
        name: Some(name.to_string()),
        number: Some(n as i32),
        ..EnumValueDescriptorProto::default()
    };
    EnumDescriptorProto {
        name: Some(name.to_string()),
        value: values.iter().enumerate().map(value).collect(),
        ..EnumDescriptorProto::default()
    }
}

pub(super) fn file(
    name: &str,
    package: &str,
    needs: &[&str],
    messages: Vec<DescriptorProto>,
) -> FileDescriptorProto {
    FileDescriptorProto {
        name: Some(name.to_string()),
        package: Some(package.to_string()),
        dependency: needs.iter().map(|need| need.to_string()).collect(),
        message_type: messages,
        syntax: Some("proto3".to_string()),
        ..FileDescriptorProto::default()
    }
}
