//! The fields of chat completion bodies that the process itself reads.
//!
//! Every request and every event of a stream passes here, so the visitors are written by hand and
//! skip all other fields.

use {
    serde::{
        Deserialize, Deserializer,
        de::{Error, IgnoredAny, MapAccess, Visitor},
    },
    std::{
        fmt::{self, Formatter},
        marker::PhantomData,
    },
};

/// The fields of a chat completion request that decide where and how it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ChatHead {
    pub(crate) model: String,
    pub(crate) is_stream: bool,
    pub(crate) has_messages: bool,
}

/// The model that a chat completion, or one event of its stream, names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ResponseModel {
    pub(crate) model: String,
}

/// A type that is deserialized field by field from a JSON object.
trait Fields: Default {
    /// The description of the type in error messages.
    const EXPECTED: &'static str;

    /// Reads or skips the value that follows `key`.
    fn read_field<'de, A: MapAccess<'de>>(
        &mut self,
        key: &str,
        map: &mut A,
    ) -> Result<(), A::Error>;
}

impl Fields for ChatHead {
    const EXPECTED: &'static str = "a chat completion request";

    fn read_field<'de, A: MapAccess<'de>>(
        &mut self,
        key: &str,
        map: &mut A,
    ) -> Result<(), A::Error> {
        match key {
            "model" => self.model = map.next_value()?,
            "stream" => self.is_stream = map.next_value::<Option<bool>>()?.unwrap_or_default(),
            "messages" => {
                map.next_value::<Vec<IgnoredAny>>()?;
                self.has_messages = true;
            }
            _ => {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }
}

impl Fields for ResponseModel {
    const EXPECTED: &'static str = "a chat completion";

    fn read_field<'de, A: MapAccess<'de>>(
        &mut self,
        key: &str,
        map: &mut A,
    ) -> Result<(), A::Error> {
        if key == "model" {
            self.model = map.next_value()?;
        } else {
            map.next_value::<IgnoredAny>()?;
        }
        Ok(())
    }
}

struct FieldVisitor<T>(PhantomData<T>);

impl<'de, T: Fields> Visitor<'de> for FieldVisitor<T> {
    type Value = T;

    fn expecting(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(T::EXPECTED)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<T, A::Error> {
        let mut value = T::default();
        while let Some(key) = map.next_key::<String>()? {
            value.read_field(&key, &mut map)?;
        }
        Ok(value)
    }
}

impl<'de> Deserialize<'de> for ChatHead {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let head = deserializer.deserialize_map(FieldVisitor::<Self>(PhantomData))?;
        if head.model.is_empty() {
            return Err(D::Error::custom("`model` is missing"));
        }
        if !head.has_messages {
            return Err(D::Error::custom("`messages` is missing"));
        }
        Ok(head)
    }
}

impl<'de> Deserialize<'de> for ResponseModel {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldVisitor::<Self>(PhantomData))
    }
}
