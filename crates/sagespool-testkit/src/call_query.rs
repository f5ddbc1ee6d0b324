//! The parameters behind the question mark of a call.

use std::borrow::Cow;
use std::error::Error;
use std::fmt;
use std::str::FromStr;

use trillium_client::Url;

/// A parameter that is missing or cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct QueryFault {
    parameter: &'static str,
    found: Option<String>,
}

impl fmt::Display for QueryFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.found {
            Some(found) => write!(f, "`{}={found}` is not a whole number", self.parameter),
            None => write!(f, "the parameter `{}` is missing", self.parameter),
        }
    }
}

impl Error for QueryFault {}

/// The parameters of one call, with percent-encoding undone.
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

    /// A parameter's text.
    pub(crate) fn text(&self, parameter: &str) -> Option<&str> {
        let pair = self.pairs.iter().find(|(name, _)| name == parameter)?;
        Some(&pair.1)
    }

    /// A whole number, if the parameter is given.
    pub(crate) fn number<T: FromStr>(
        &self,
        parameter: &'static str,
    ) -> Result<Option<T>, QueryFault> {
        let Some(text) = self.text(parameter) else { return Ok(None) };
        let fault = |_| QueryFault { parameter, found: Some(text.to_owned()) };
        text.parse().map(Some).map_err(fault)
    }

    /// A whole number that must be given.
    pub(crate) fn required<T: FromStr>(&self, parameter: &'static str) -> Result<T, QueryFault> {
        self.number(parameter)?.ok_or(QueryFault { parameter, found: None })
    }
}
