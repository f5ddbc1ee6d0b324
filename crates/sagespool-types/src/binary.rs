//! Ids in text formats as hexadecimal digits, in binary ones as bytes.

/// Serializes an id as text where a person may read it, and as its bytes in messages between
/// processes, where the digits would take twice the room and an allocation each.
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
