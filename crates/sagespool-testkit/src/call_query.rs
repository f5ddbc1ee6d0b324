//! The query parameters of a call.

use std::borrow::Cow;
use std::error::Error;
use std::fmt;
use std::str::FromStr;

use trillium_client::Url;

/// A query parameter that is missing or invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct QueryError {
    parameter: &'static str,
    found: Option<String>,
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.found {
            Some(found) => write!(f, "`{}={found}` is not a whole number", self.parameter),
            None => write!(f, "the parameter `{}` is missing", self.parameter),
        }
    }
}

impl Error for QueryError {}

/// The query parameters of a call, percent-decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CallQuery {
    pairs: Vec<(String, String)>,
}

impl CallQuery {
    pub(crate) fn parse(querystring: &str) -> Self {
        let mut url = Url::parse("http://query/").expect("a constant URL is valid");
        url.set_query(Some(querystring));
        let owned =
            |(name, value): (Cow<'_, str>, Cow<'_, str>)| (name.into_owned(), value.into_owned());
        Self { pairs: url.query_pairs().map(owned).collect() }
    }

    /// The value of a parameter, if given.
    pub(crate) fn text(&self, parameter: &str) -> Option<&str> {
        let pair = self.pairs.iter().find(|(name, _)| name == parameter)?;
        Some(&pair.1)
    }

    /// The value of a parameter as a whole number, if given.
    pub(crate) fn number<T: FromStr>(
        &self,
        parameter: &'static str,
    ) -> Result<Option<T>, QueryError> {
        let Some(text) = self.text(parameter) else { return Ok(None) };
        let error = |_| QueryError { parameter, found: Some(text.to_owned()) };
        text.parse().map(Some).map_err(error)
    }

    /// The value of a required parameter as a whole number.
    pub(crate) fn required<T: FromStr>(&self, parameter: &'static str) -> Result<T, QueryError> {
        self.number(parameter)?.ok_or(QueryError { parameter, found: None })
    }
}
