//! Parses JSON documents, rejecting repeated fields, and reads typed values from them.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

use crate::check::{ErrorCollector, ObjectNode, ValueNode, field_path};
use crate::{ValidationError, ValidationErrors};

/// Reads an object from `document` with `read`; returns every error at once.
pub(crate) fn check_document<T>(
    document: &Value,
    read: fn(&ObjectNode) -> Option<T>,
) -> Result<T, ValidationErrors> {
    let errors = ErrorCollector::default();
    let value = ValueNode::root(document, &errors).object(read);
    errors.into_result(value)
}

/// Like [`check_document`], but parses `text` first; repeated fields are also errors.
pub(crate) fn check_text<T>(
    text: &str,
    read: fn(&ObjectNode) -> Option<T>,
) -> Result<T, ValidationErrors> {
    let errors = ErrorCollector::default();
    let document = read_document(text, &errors)?;
    let value = ValueNode::root(&document, &errors).object(read);
    errors.into_result(value)
}

/// Parses `text` as one JSON document.
///
/// JSON parsers usually keep the last of two fields of one name without an error. An edit of
/// the first one then has no effect, so a repeated field is an error here.
fn read_document(text: &str, errors: &ErrorCollector) -> Result<Value, ValidationErrors> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let seed = ValueSeed { path: "$".to_owned(), errors };
    let value = seed.deserialize(&mut reader).map_err(|error| syntax_error(&error))?;
    reader.end().map_err(|error| syntax_error(&error))?;
    Ok(value)
}

fn syntax_error(error: &serde_json::Error) -> ValidationErrors {
    let path = format!("line {} column {}", error.line(), error.column());
    let found = error.to_string();
    let found = found.split(" at line ").next().unwrap_or_default().to_owned();
    let allowed = "one JSON document".to_owned();
    ValidationErrors { errors: vec![ValidationError { path, found, allowed, nearest: None }] }
}

struct ValueSeed<'a> {
    path: String,
    errors: &'a ErrorCollector,
}

impl<'de> DeserializeSeed<'de> for ValueSeed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, reader: D) -> Result<Value, D::Error> {
        reader.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueSeed<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: Error>(self, boolean: bool) -> Result<Value, E> {
        Ok(Value::Bool(boolean))
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Value, E> {
        Ok(Value::Number(number.into()))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<Value, E> {
        Ok(Value::Number(number.into()))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<Value, E> {
        Ok(Number::from_f64(number).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Value, E> {
        Ok(Value::String(text.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        loop {
            let path = format!("{}[{}]", self.path, list.len());
            let seed = ValueSeed { path, errors: self.errors };
            let Some(item) = items.next_element_seed(seed)? else { return Ok(Value::Array(list)) };
            list.push(item);
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut fields = Map::new();
        while let Some(name) = entries.next_key::<String>()? {
            let path = field_path(&self.path, &name);
            let seed = ValueSeed { path: path.clone(), errors: self.errors };
            let value = entries.next_value_seed(seed)?;
            if fields.insert(name, value).is_some() {
                let found = "a repeated field".to_owned();
                let allowed = "each field only once".to_owned();
                self.errors.push(ValidationError { path, found, allowed, nearest: None });
            }
        }
        Ok(Value::Object(fields))
    }
}
