//! JSON values with their positions in a file.

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, Visitor},
};
use serde_json::value::RawValue;
use std::fmt;

/// A JSON value with its position.
#[derive(Clone, Copy, Debug)]
pub(super) struct Node<'t> {
    /// Text of the value.
    pub(super) text: &'t str,
    /// Byte offset of the value in the file.
    pub(super) offset: usize,
}

/// Members of an object in the order of the file; also those whose name occurs again.
struct Members<'t>(Vec<(Box<str>, &'t RawValue)>);

impl<'t> Node<'t> {
    /// Parses a file of one value.
    pub(super) fn parse(text: &'t str) -> Result<Self, serde_json::Error> {
        let raw: &RawValue = serde_json::from_str(text)?;
        Ok(Self { text, offset: 0 }.child(raw))
    }

    /// Returns the members of an object; `None` if the value is none.
    pub(super) fn members(self) -> Option<Vec<(Box<str>, Self)>> {
        let Members(members) = serde_json::from_str(self.text).ok()?;
        let members = members.into_iter();
        Some(members.map(|(name, raw)| (name, self.child(raw))).collect())
    }

    /// Returns the items of an array; `None` if the value is none.
    pub(super) fn items(self) -> Option<Vec<Self>> {
        let items: Vec<&RawValue> = serde_json::from_str(self.text).ok()?;
        Some(items.into_iter().map(|raw| self.child(raw)).collect())
    }

    /// Returns the value as another type; `None` if it is none.
    pub(super) fn get<T: Deserialize<'t>>(self) -> Option<T> {
        serde_json::from_str(self.text).ok()
    }

    fn child(self, raw: &'t RawValue) -> Self {
        let text = raw.get();
        // A raw value borrows from the text that it was parsed from.
        let start = text.as_ptr().addr() - self.text.as_ptr().addr();
        Self {
            text,
            offset: self.offset + start,
        }
    }
}

impl<'de> Deserialize<'de> for Members<'de> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Reader;

        impl<'de> Visitor<'de> for Reader {
            type Value = Members<'de>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
                let mut members = Vec::new();
                while let Some(member) = map.next_entry()? {
                    members.push(member);
                }
                Ok(Members(members))
            }
        }

        from.deserialize_map(Reader)
    }
}
