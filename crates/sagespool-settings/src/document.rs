//! From text to a JSON document, with repeated fields noted, and from a document to what it holds.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

use crate::check::{CheckNode, FaultLog, ObjectNode, field_path};
use crate::{ValidationError, ValidationErrors};

/// Reads what a document holds, with `read` for its fields; every fault at once.
pub(crate) fn check_document<T>(
    document: &Value,
    read: fn(&ObjectNode) -> Option<T>,
) -> Result<T, ValidationErrors> {
    let faults = FaultLog::default();
    let value = CheckNode::root(document, &faults).object(read);
    faults.outcome(value)
}

/// As [`check_document`], from a file's text; repeated fields are faults too.
pub(crate) fn check_text<T>(
    text: &str,
    read: fn(&ObjectNode) -> Option<T>,
) -> Result<T, ValidationErrors> {
    let faults = FaultLog::default();
    let document = read_document(text, &faults)?;
    let value = CheckNode::root(&document, &faults).object(read);
    faults.outcome(value)
}

/// Reads a text as one JSON document.
///
/// JSON readers usually keep the last of two fields with one name, in
/// silence: an operator who edits the first sees no effect. Here the second
/// is a fault.
fn read_document(text: &str, faults: &FaultLog) -> Result<Value, ValidationErrors> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let seed = ValueSeed { path: "$".to_owned(), faults };
    let value = seed.deserialize(&mut reader).map_err(|fault| syntax_fault(&fault))?;
    reader.end().map_err(|fault| syntax_fault(&fault))?;
    Ok(value)
}

fn syntax_fault(fault: &serde_json::Error) -> ValidationErrors {
    let path = format!("line {} column {}", fault.line(), fault.column());
    let found = fault.to_string();
    let found = found.split(" at line ").next().unwrap_or_default().to_owned();
    let allowed = "one JSON document".to_owned();
    ValidationErrors { faults: vec![ValidationError { path, found, allowed, nearest: None }] }
}

struct ValueSeed<'a> {
    path: String,
    faults: &'a FaultLog,
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

    fn visit_bool<E: Error>(self, flag: bool) -> Result<Value, E> {
        Ok(Value::Bool(flag))
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
            let seed = ValueSeed { path, faults: self.faults };
            let Some(item) = items.next_element_seed(seed)? else { return Ok(Value::Array(list)) };
            list.push(item);
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Value, A::Error> {
        let mut fields = Map::new();
        while let Some(name) = entries.next_key::<String>()? {
            let path = field_path(&self.path, &name);
            let seed = ValueSeed { path: path.clone(), faults: self.faults };
            let value = entries.next_value_seed(seed)?;
            if fields.insert(name, value).is_some() {
                let found = "the same field again".to_owned();
                let allowed = "each field once".to_owned();
                self.faults.note(ValidationError { path, found, allowed, nearest: None });
            }
        }
        Ok(Value::Object(fields))
    }
}
