//! One request's run: reserved at the branch's home, attempted at upstreams, its answer forwarded
//! to the caller.

mod admission;
mod attach;
mod attempt;
mod cache_updates;
mod events;
mod forwarder;
mod home_client;
mod lifecycle;
mod next_step;
mod spec;

pub(crate) use admission::{QueueDecision, refresh_limits};
pub use events::{AnswerEvent, AnswerReceiver};
pub use lifecycle::start_run;
pub use spec::RequestSpec;
