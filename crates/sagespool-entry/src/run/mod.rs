//! One request's run: reserved at the branch's home, attempted at upstreams, its answer forwarded
//! to the caller.

mod admission;
mod attach;
mod attempt;
mod cache_news;
mod drive;
mod events;
mod homes;
mod judge;
mod order;
mod passage;

pub(crate) use admission::{QueueWord, refresh_limits};
pub use drive::start_run;
pub use events::{AnswerEvent, AnswerReceiver};
pub use order::RequestOrder;
