//! Serialization of ids: hexadecimal digits in text formats, bytes in binary formats.

/// Serializes an id as text in human-readable formats and as bytes in messages between processes.
/// There the digits would take twice the space and an allocation each.
macro_rules! id_serde {
    ($name:ident($inner:ty)) => {
        impl ::serde::Serialize for $name {
            fn serialize<S: ::serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    return serializer.collect_str(self);
                }
                self.0.to_le_bytes().serialize(serializer)
            }
        }

        impl<'de> ::serde::Deserialize<'de> for $name {
            fn deserialize<D: ::serde::Deserializer<'de>>(
                deserializer: D,
            ) -> Result<Self, D::Error> {
                if deserializer.is_human_readable() {
                    let text = String::deserialize(deserializer)?;
                    return text.parse().map_err(::serde::de::Error::custom);
                }
                let bytes = <[u8; size_of::<$inner>()]>::deserialize(deserializer)?;
                Ok(Self(<$inner>::from_le_bytes(bytes)))
            }
        }
    };
}

pub(crate) use id_serde;
