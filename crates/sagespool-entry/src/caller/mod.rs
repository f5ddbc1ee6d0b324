//! Callers' side: who asks, what for, and how answers and refusals look in HTTP.

mod answer;
mod completion;
mod fault;
mod headers;
mod identity;
mod server;
mod service_call;

pub use completion::{CompletionCall, read_completion};
pub use fault::{CallFault, refusal_status};
pub use headers::{CallHeaders, read_headers};
pub use server::serve;
pub use service_call::{ServiceCall, read_service_call};
