//! Reads strings, numbers, enum values, addresses, paths and secrets.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use sagespool_types::ParseError;
use serde_json::Value;

use crate::SecretText;
use crate::check::ValueNode;
use crate::check::text::{nearest_of, quote_names, show_kind, show_value};

impl<'a> ValueNode<'a> {
    pub fn text(&self, allowed: &str) -> Option<&'a str> {
        match self.value {
            Value::String(text) => Some(text),
            _ => self.reject(allowed),
        }
    }

    pub fn parse<T: FromStr<Err = ParseError>>(self) -> Option<T> {
        let text = self.text("a string")?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => self.reject(format!("{} ({})", error.wanted, error.help)),
        }
    }

    pub fn boolean(self) -> Option<bool> {
        match self.value {
            Value::Bool(boolean) => Some(*boolean),
            _ => self.reject("true or false"),
        }
    }

    pub fn number(self, range: RangeInclusive<u64>) -> Option<u64> {
        match self.value.as_u64() {
            Some(number) if range.contains(&number) => Some(number),
            _ => self.reject(format!("a whole number from {} to {}", range.start(), range.end())),
        }
    }

    pub fn number_u32(self, range: RangeInclusive<u32>) -> Option<u32> {
        let number = self.number(u64::from(*range.start())..=u64::from(*range.end()))?;
        Some(u32::try_from(number).expect("both bounds fit in u32"))
    }

    pub fn float(self, range: RangeInclusive<f64>) -> Option<f64> {
        match self.value.as_f64() {
            Some(number) if range.contains(&number) => Some(number),
            _ => self.reject(format!("a number from {} to {}", range.start(), range.end())),
        }
    }

    pub fn seconds(self, range: RangeInclusive<f64>) -> Option<Duration> {
        self.float(range).map(Duration::from_secs_f64)
    }

    pub fn one_of<T: Copy>(self, choices: &[(&str, T)]) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let allowed = format!("one of {}", quote_names(&names));
        let text = self.text(&allowed)?;
        let found = choices.iter().find(|(name, _)| *name == text);
        let Some((_, value)) = found else {
            return self.reject_with(show_value(self.value), allowed, nearest_of(text, &names));
        };
        Some(*value)
    }

    /// Like [`one_of`](Self::one_of), where the error text also names the alternative `also`.
    pub fn one_of_or<T: Copy>(self, choices: &[(&str, T)], also: &str) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        let text = self.value.as_str().unwrap_or_default();
        if let Some((_, value)) = choices.iter().find(|(name, _)| *name == text) {
            return Some(*value);
        }
        let allowed = format!("one of {} {also}", quote_names(&names));
        self.reject_with(show_value(self.value), allowed, nearest_of(text, &names))
    }

    pub fn is_object(&self) -> bool {
        self.value.is_object()
    }

    /// A duration in milliseconds.
    pub fn millis(self, range: RangeInclusive<u64>) -> Option<Duration> {
        self.number(range).map(Duration::from_millis)
    }

    /// An address to listen at; with port 0 the system chooses the port.
    pub fn listen_address(self) -> Option<SocketAddr> {
        const ALLOWED: &str = "an address as IP:port, for example `127.0.0.1:7000`";
        match self.text(ALLOWED)?.parse() {
            Ok(address) => Some(address),
            Err(_) => self.reject(ALLOWED),
        }
    }

    /// An address to connect to: neither port 0 nor an unspecified IP.
    pub fn connect_address(self) -> Option<SocketAddr> {
        const ALLOWED: &str = "an address that can be connected to, as IP:port with a port from 1 \
                               and not `0.0.0.0` or `[::]`";
        match self.text(ALLOWED)?.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 && !address.ip().is_unspecified() => Some(address),
            _ => self.reject(ALLOWED),
        }
    }

    /// The path of a PEM file. A certificate or key pasted in place of its path has line breaks
    /// and isn't shown in the error.
    pub fn pem_path(self) -> Option<PathBuf> {
        const ALLOWED: &str = "the path of a PEM file";
        let text = self.text(ALLOWED)?;
        if text.contains('\n') || text.contains("-----BEGIN") {
            return self.reject_with("a string of several lines (not shown)", ALLOWED, None);
        }
        if text.is_empty() {
            return self.reject(ALLOWED);
        }
        Some(PathBuf::from(text))
    }

    /// A string; the error for another type shows the type only, not the value.
    pub fn text_redacted(&self, allowed: &str) -> Option<&'a str> {
        match self.value {
            Value::String(text) => Some(text),
            _ => self.reject_with(show_kind(self.value), allowed, None),
        }
    }

    /// A secret that is valid in a header. Errors don't show it.
    pub fn secret(self, allowed: &str) -> Option<SecretText> {
        match self.value {
            Value::String(text) if is_header_text(text) => Some(SecretText::new(text)),
            Value::String(text) if !text.is_empty() => {
                let found = "a string with spaces or other characters that a header can't contain \
                             (not shown)";
                self.reject_with(found, allowed, None)
            }
            Value::String(_) => self.reject_with("an empty string", allowed, None),
            _ => self.reject_with(format!("{} (not shown)", show_kind(self.value)), allowed, None),
        }
    }
}

fn is_header_text(text: &str) -> bool {
    !text.is_empty() && text.chars().all(|c| c.is_ascii_graphic())
}
