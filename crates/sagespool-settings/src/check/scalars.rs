//! Texts, numbers, words, addresses, paths and secrets.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use sagespool_types::ParseError;
use serde_json::Value;

use crate::SecretText;
use crate::check::CheckNode;
use crate::check::words::{nearest_of, quote_all, show_kind, show_value};

impl<'a> CheckNode<'a> {
    pub fn text(&self, allowed: &str) -> Option<&'a str> {
        match self.value {
            Value::String(text) => Some(text),
            _ => self.fault(allowed),
        }
    }

    pub fn parse<T: FromStr<Err = ParseError>>(self) -> Option<T> {
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

    pub fn fraction(self, range: RangeInclusive<f64>) -> Option<f64> {
        match self.value.as_f64() {
            Some(number) if range.contains(&number) => Some(number),
            _ => self.fault(format!("a number from {} to {}", range.start(), range.end())),
        }
    }

    pub fn seconds(self, range: RangeInclusive<f64>) -> Option<Duration> {
        self.fraction(range).map(Duration::from_secs_f64)
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
