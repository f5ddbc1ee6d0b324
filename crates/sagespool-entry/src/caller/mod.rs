//! HTTP for callers: authentication, checking of requests, answers and refusals.

mod answer;
mod completion;
mod error;
mod headers;
mod identity;
mod server;
mod service_call;

pub use completion::{CompletionCall, read_completion};
pub use error::{CallerError, refusal_status};
pub use headers::{CallHeaders, read_headers};
pub(crate) use identity::read_identity;
pub use server::serve;
pub use service_call::{ServiceCall, read_service_call};
