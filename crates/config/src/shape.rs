//! Checks that objects are written as JSON objects. The derived deserializers also accept a list of the field values in their
//! order. Only new configurations are checked; those that an earlier version accepted stay valid.

use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// The expected shape of a JSON value.
#[derive(Clone, Copy)]
enum Shape {
    Any,
    /// An object or null, with a function from the name of a field to the shape of its value.
    Object(fn(&str) -> Shape),
    /// A list of objects.
    Objects,
}

/// Checks the JSON text of a configuration.
///
/// # Errors
///
/// A value has another shape than expected, or the text is not valid JSON.
pub fn check(text: &str) -> Result<(), serde_json::Error> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    Shape::Object(configuration_field).deserialize(&mut deserializer)
}

fn configuration_field(field: &str) -> Shape {
    match field {
        "routing" => Shape::Object(|_| Shape::Object(route_field)),
        "targets" | "subscribers" => Shape::Object(|_| Shape::Object(any_field)),
        "thresholds" => Shape::Object(any_field),
        _ => Shape::Any,
    }
}

fn route_field(field: &str) -> Shape {
    match field {
        "distribution" => Shape::Objects,
        _ => Shape::Any,
    }
}

fn any_field(_: &str) -> Shape {
    Shape::Any
}

impl<'de> DeserializeSeed<'de> for Shape {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Shape {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Shape::Any => "anything",
            Shape::Object(_) => "an object",
            Shape::Objects => "a list of objects",
        })
    }

    fn visit_map<M: MapAccess<'de>>(self, mut entries: M) -> Result<(), M::Error> {
        let Shape::Object(shape_of) = self else { return Err(serde::de::Error::custom("a list is wanted")) };
        while let Some(name) = entries.next_key::<String>()? {
            match shape_of(&name) {
                Shape::Any => entries.next_value::<IgnoredAny>().map(drop)?,
                shape => entries.next_value_seed(shape)?,
            }
        }
        Ok(())
    }

    fn visit_seq<S: SeqAccess<'de>>(self, mut items: S) -> Result<(), S::Error> {
        let Shape::Objects = self else { return Err(serde::de::Error::custom("an object is wanted")) };
        while items.next_element_seed(Shape::Object(any_field))?.is_some() {}
        Ok(())
    }

    fn visit_unit<E: serde::de::Error>(self) -> Result<(), E> {
        Ok(())
    }
}
