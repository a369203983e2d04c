//! Objects where objects are wanted: the derived readers take a list of the fields' values, in their order, for an object as
//! well. Asked of what is to be taken alone, and not of what was agreed by an earlier version.

use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// What a value has to be.
#[derive(Clone, Copy)]
enum Shape {
    Any,
    /// An object, or nothing; with the shape of each entry's value by its name.
    Object(fn(&str) -> Shape),
    /// A list of objects.
    Objects,
}

/// Looks at a whole configuration. Errors: a list stands where an object is wanted, or the text can't be read.
pub fn check(text: &str) -> Result<(), serde_json::Error> {
    let mut reader = serde_json::Deserializer::from_str(text);
    Shape::Object(configuration).deserialize(&mut reader)
}

fn configuration(field: &str) -> Shape {
    match field {
        "routing" => Shape::Object(|_| Shape::Object(route)),
        "targets" | "subscribers" => Shape::Object(|_| Shape::Object(anything)),
        "thresholds" => Shape::Object(anything),
        _ => Shape::Any,
    }
}

fn route(field: &str) -> Shape {
    match field {
        "distribution" => Shape::Objects,
        _ => Shape::Any,
    }
}

fn anything(_: &str) -> Shape {
    Shape::Any
}

impl<'de> DeserializeSeed<'de> for Shape {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Shape {
    type Value = ();

    fn expecting(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            Shape::Any => "anything",
            Shape::Object(_) => "an object",
            Shape::Objects => "a list of objects",
        })
    }

    fn visit_map<M: MapAccess<'de>>(self, mut entries: M) -> Result<(), M::Error> {
        let Shape::Object(of) = self else { return Err(serde::de::Error::custom("a list is wanted")) };
        while let Some(name) = entries.next_key::<String>()? {
            match of(&name) {
                Shape::Any => entries.next_value::<IgnoredAny>().map(drop)?,
                shape => entries.next_value_seed(shape)?,
            }
        }
        Ok(())
    }

    fn visit_seq<S: SeqAccess<'de>>(self, mut items: S) -> Result<(), S::Error> {
        let Shape::Objects = self else { return Err(serde::de::Error::custom("an object is wanted")) };
        while items.next_element_seed(Shape::Object(anything))?.is_some() {}
        Ok(())
    }

    fn visit_unit<E: serde::de::Error>(self) -> Result<(), E> {
        Ok(())
    }
}
