//! Reading a JSON document with every fault collected.
//!
//! Each reader returns `None` exactly if it noted a fault, so that a caller
//! reads all fields first and puts the value together at the end.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use sagespool_types::ParseFault;
use serde_json::{Map, Value};

use crate::{SecretText, SettingsFault, SettingsFaults};

/// The faults found so far.
#[derive(Default)]
pub(crate) struct FaultLog(RefCell<Vec<SettingsFault>>);

impl FaultLog {
    pub fn note(&self, fault: SettingsFault) {
        self.0.borrow_mut().push(fault);
    }

    /// The value if no fault was noted.
    pub fn outcome<T>(self, value: Option<T>) -> Result<T, SettingsFaults> {
        let faults = self.0.into_inner();
        match value {
            Some(value) if faults.is_empty() => Ok(value),
            _ => Err(SettingsFaults { faults }),
        }
    }
}

/// One value of the document and where it stands.
#[derive(Clone)]
pub(crate) struct CheckNode<'a> {
    value: &'a Value,
    path: String,
    faults: &'a FaultLog,
}

impl<'a> CheckNode<'a> {
    pub fn root(value: &'a Value, faults: &'a FaultLog) -> Self {
        Self { value, path: "$".to_owned(), faults }
    }

    /// Notes a fault that shows the value, cut to a readable length.
    pub fn fault<T>(&self, allowed: impl Into<String>) -> Option<T> {
        self.fault_with(show_value(self.value), allowed, None)
    }

    pub fn fault_with<T>(
        &self,
        found: impl Into<String>,
        allowed: impl Into<String>,
        nearest: Option<String>,
    ) -> Option<T> {
        let (found, allowed) = (found.into(), allowed.into());
        self.faults.note(SettingsFault { path: self.path.clone(), found, allowed, nearest });
        None
    }

    /// An object. Fields that `read` didn't ask for are faults.
    pub fn object<T>(self, read: impl FnOnce(&ObjectNode<'a>) -> Option<T>) -> Option<T> {
        let Value::Object(fields) = self.value else {
            return self.fault_with(show_kind(self.value), "an object", None);
        };
        let object =
            ObjectNode { fields, path: self.path, faults: self.faults, known: RefCell::default() };
        let value = read(&object);
        object.note_unknown();
        value
    }

    /// An object whose fields have names of the operator's choice.
    pub fn entries<T>(self, read: impl Fn(&str, CheckNode<'a>) -> Option<T>) -> Option<Vec<T>> {
        let Value::Object(fields) = self.value else {
            return self.fault_with(show_kind(self.value), "an object", None);
        };
        let read_one = |(name, value): (&String, &'a Value)| {
            let path = field_path(&self.path, name);
            read(name, CheckNode { value, path, faults: self.faults })
        };
        let items: Vec<Option<T>> = fields.iter().map(read_one).collect();
        items.into_iter().collect()
    }

    pub fn list<T>(self, read: impl Fn(CheckNode<'a>) -> Option<T>) -> Option<Vec<T>> {
        self.items(read)?.into_iter().collect()
    }

    /// The items of a list, `None` for each with a fault.
    fn items<T>(&self, read: impl Fn(CheckNode<'a>) -> Option<T>) -> Option<Vec<Option<T>>> {
        let Value::Array(items) = self.value else {
            return self.fault_with(show_kind(self.value), "a list", None);
        };
        let read_one = |(index, value): (usize, &'a Value)| {
            let path = format!("{}[{index}]", self.path);
            read(CheckNode { value, path, faults: self.faults })
        };
        Some(items.iter().enumerate().map(read_one).collect())
    }

    /// Notes each item that equals an earlier one; true if there is none.
    fn note_repeated<T>(&self, items: &[Option<T>], same: impl Fn(&T, &T) -> bool) -> bool {
        let mut unique = true;
        for (index, item) in items.iter().enumerate() {
            let Some(item) = item else { continue };
            if items[..index].iter().flatten().any(|earlier| same(earlier, item)) {
                let path = format!("{}[{index}]", self.path);
                let found = "the same again".to_owned();
                let allowed = "each only once".to_owned();
                self.faults.note(SettingsFault { path, found, allowed, nearest: None });
                unique = false;
            }
        }
        unique
    }

    pub fn text(&self, allowed: &str) -> Option<&'a str> {
        match self.value {
            Value::String(text) => Some(text),
            _ => self.fault(allowed),
        }
    }

    pub fn parse<T: FromStr<Err = ParseFault>>(self) -> Option<T> {
        let text = self.text("a text")?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(fault) => self.fault(format!("{} ({})", fault.wanted, fault.help)),
        }
    }

    pub fn flag(self) -> Option<bool> {
        match self.value {
            Value::Bool(flag) => Some(*flag),
            _ => self.fault("true or false"),
        }
    }

    pub fn number(self, range: RangeInclusive<u64>) -> Option<u64> {
        match self.value.as_u64() {
            Some(number) if range.contains(&number) => Some(number),
            _ => self.fault(format!("a whole number from {} to {}", range.start(), range.end())),
        }
    }

    pub fn small_number(self, range: RangeInclusive<u32>) -> Option<u32> {
        let number = self.number(u64::from(*range.start())..=u64::from(*range.end()))?;
        Some(u32::try_from(number).expect("the range is one of u32"))
    }

    pub fn one_of<T: Copy>(self, words: &[(&str, T)]) -> Option<T> {
        let names: Vec<&str> = words.iter().map(|(name, _)| *name).collect();
        let allowed = format!("one of {}", quote_all(&names));
        let text = self.text(&allowed)?;
        let found = words.iter().find(|(name, _)| *name == text);
        let Some((_, value)) = found else {
            return self.fault_with(show_value(self.value), allowed, nearest_of(text, &names));
        };
        Some(*value)
    }

    /// As [`one_of`](Self::one_of), where something else is allowed too.
    pub fn one_of_or<T: Copy>(self, words: &[(&str, T)], also: &str) -> Option<T> {
        let names: Vec<&str> = words.iter().map(|(name, _)| *name).collect();
        let text = self.value.as_str().unwrap_or_default();
        if let Some((_, value)) = words.iter().find(|(name, _)| *name == text) {
            return Some(*value);
        }
        let allowed = format!("one of {} {also}", quote_all(&names));
        self.fault_with(show_value(self.value), allowed, nearest_of(text, &names))
    }

    pub fn is_object(&self) -> bool {
        self.value.is_object()
    }

    /// A time given in milliseconds.
    pub fn millis(self, range: RangeInclusive<u64>) -> Option<Duration> {
        self.number(range).map(Duration::from_millis)
    }

    /// A list in which nothing stands twice.
    pub fn list_of_unique<T: PartialEq>(
        self,
        read: impl Fn(CheckNode<'a>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let items = self.items(read)?;
        let unique = self.note_repeated(&items, T::eq);
        let items: Option<Vec<T>> = items.into_iter().collect();
        items.filter(|_| unique)
    }

    /// A list of objects with names, none twice.
    pub fn named_list<T>(
        self,
        sizes: RangeInclusive<usize>,
        read: impl Fn(&ObjectNode<'a>) -> Option<T>,
        name_of: impl Fn(&T) -> &str,
    ) -> Option<Vec<T>> {
        let items = self.items(|node| node.object(&read))?;
        let unique = self.note_repeated(&items, |one, other| name_of(one) == name_of(other));
        if !sizes.contains(&items.len()) {
            let allowed = format!("from {} to {}", sizes.start(), sizes.end());
            return self.fault_with(format!("{} entries", items.len()), allowed, None);
        }
        let items: Option<Vec<T>> = items.into_iter().collect();
        items.filter(|_| unique)
    }

    /// Where to listen; port 0 lets the system choose.
    pub fn listen_address(self) -> Option<SocketAddr> {
        const ALLOWED: &str = "an address as IP:port, for example `127.0.0.1:7000`";
        match self.text(ALLOWED)?.parse() {
            Ok(address) => Some(address),
            Err(_) => self.fault(ALLOWED),
        }
    }

    /// Where something is reached: neither port 0 nor an unspecified IP.
    pub fn reached_address(self) -> Option<SocketAddr> {
        const ALLOWED: &str = "an address that can be connected to, as IP:port with a port from 1 \
                               and not `0.0.0.0` or `[::]`";
        match self.text(ALLOWED)?.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 && !address.ip().is_unspecified() => Some(address),
            _ => self.fault(ALLOWED),
        }
    }

    /// Guards against a secret on the screen: a certificate or key pasted in
    /// place of its path has line breaks, and isn't shown.
    pub fn file_path(self) -> Option<PathBuf> {
        const ALLOWED: &str = "the path of a PEM file";
        let text = self.text(ALLOWED)?;
        if text.contains('\n') || text.contains("-----BEGIN") {
            return self.fault_with("a text of several lines (not shown)", ALLOWED, None);
        }
        if text.is_empty() {
            return self.fault(ALLOWED);
        }
        Some(PathBuf::from(text))
    }

    /// A text whose place shows only the kind of what was found.
    pub fn text_unseen(&self, allowed: &str) -> Option<&'a str> {
        match self.value {
            Value::String(text) => Some(text),
            _ => self.fault_with(show_kind(self.value), allowed, None),
        }
    }

    /// A text that no fault shows, fit for a header.
    pub fn secret(self, allowed: &str) -> Option<SecretText> {
        match self.value {
            Value::String(text) if is_header_text(text) => Some(SecretText::new(text)),
            Value::String(text) if !text.is_empty() => {
                let found = "a text with spaces or other characters that a header can't carry \
                             (not shown)";
                self.fault_with(found, allowed, None)
            }
            Value::String(_) => self.fault_with("an empty text", allowed, None),
            _ => self.fault_with(format!("{} (not shown)", show_kind(self.value)), allowed, None),
        }
    }
}

fn is_header_text(text: &str) -> bool {
    !text.is_empty() && text.chars().all(|c| c.is_ascii_graphic())
}

/// An object whose fields are read by name.
pub(crate) struct ObjectNode<'a> {
    fields: &'a Map<String, Value>,
    path: String,
    faults: &'a FaultLog,
    known: RefCell<Vec<&'static str>>,
}

impl<'a> ObjectNode<'a> {
    pub fn field(&self, name: &'static str) -> Option<CheckNode<'a>> {
        self.know(&[name]);
        let value = self.fields.get(name)?;
        Some(CheckNode { value, path: field_path(&self.path, name), faults: self.faults })
    }

    /// An object among the fields whose other fields are read elsewhere.
    pub fn peek(&self, name: &str) -> Option<ObjectNode<'a>> {
        let fields = self.fields.get(name)?.as_object()?;
        let path = field_path(&self.path, name);
        Some(ObjectNode { fields, path, faults: self.faults, known: RefCell::default() })
    }

    /// Fields that are allowed here, though not read.
    pub fn know(&self, names: &[&'static str]) {
        self.known.borrow_mut().extend(names);
    }

    pub fn required<T>(
        &self,
        name: &'static str,
        read: impl FnOnce(CheckNode<'a>) -> Option<T>,
    ) -> Option<T> {
        match self.field(name) {
            Some(node) => read(node),
            None => self.fault_at(name, "nothing", "this field is required"),
        }
    }

    /// `Some(None)` if the field isn't there.
    pub fn optional<T>(
        &self,
        name: &'static str,
        read: impl FnOnce(CheckNode<'a>) -> Option<T>,
    ) -> Option<Option<T>> {
        match self.field(name) {
            Some(node) => read(node).map(Some),
            None => Some(None),
        }
    }

    pub fn or<T>(
        &self,
        name: &'static str,
        default: T,
        read: impl FnOnce(CheckNode<'a>) -> Option<T>,
    ) -> Option<T> {
        match self.field(name) {
            Some(node) => read(node),
            None => Some(default),
        }
    }

    /// Notes a fault of a field, whether it is there or not.
    pub fn fault_at<T>(
        &self,
        name: &str,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Option<T> {
        let path = field_path(&self.path, name);
        let (found, allowed) = (found.into(), allowed.into());
        self.faults.note(SettingsFault { path, found, allowed, nearest: None });
        None
    }

    /// Notes a fault further down, at a path from this object.
    pub fn fault_below(&self, at: &str, found: String, allowed: String) {
        let path = format!("{}.{at}", self.path);
        self.faults.note(SettingsFault { path, found, allowed, nearest: None });
    }

    /// Notes a fault if a field's word isn't one of the known ones.
    pub fn note_unless_word(&self, name: &str, word: &str, words: &[&str]) {
        if words.contains(&word) {
            return;
        }
        self.faults.note(SettingsFault {
            path: field_path(&self.path, name),
            found: format!("{word:?}"),
            allowed: format!("one of {}", quote_all(words)),
            nearest: nearest_of(word, words),
        });
    }

    /// An unknown field's value isn't shown: it may be a secret under a misspelt name.
    fn note_unknown(&self) {
        let known = self.known.borrow();
        for name in self.fields.keys().filter(|name| !known.contains(&name.as_str())) {
            self.faults.note(SettingsFault {
                path: field_path(&self.path, name),
                found: "an unknown field".to_owned(),
                allowed: format!("the fields {}", quote_all(&known)),
                nearest: nearest_of(name, &known),
            });
        }
    }
}

/// Below this likeness (Jaro-Winkler, 0 to 1) a suggestion confuses more than it helps.
const LEAST_LIKENESS: f64 = 0.75;

/// The known word most like a text, if any is like it at all.
pub(crate) fn nearest_of(text: &str, words: &[&str]) -> Option<String> {
    let likeness = |word: &&str| (strsim::jaro_winkler(text, word), word.to_string());
    let best = words.iter().map(likeness).max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 >= LEAST_LIKENESS).then_some(best.1)
}

fn quote_all(words: &[&str]) -> String {
    let quoted: Vec<String> = words.iter().map(|word| format!("`{word}`")).collect();
    quoted.join(", ")
}

/// `$.a.b`, or `$.a["odd name"]` where the name would be misread.
pub(crate) fn field_path(parent: &str, name: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || "_-".contains(c);
    if !name.is_empty() && name.chars().all(plain) {
        return format!("{parent}.{name}");
    }
    format!("{parent}[{name:?}]")
}

const SHOWN_CHARACTERS: usize = 64;

fn show_value(value: &Value) -> String {
    match value {
        Value::Array(_) | Value::Object(_) => show_kind(value).to_owned(),
        Value::String(text) if text.chars().count() > SHOWN_CHARACTERS => {
            let start: String = text.chars().take(SHOWN_CHARACTERS).collect();
            format!("{start:?}… (a text of {} bytes)", text.len())
        }
        Value::String(text) => format!("{text:?}"),
        scalar => scalar.to_string(),
    }
}

fn show_kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a flag",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
