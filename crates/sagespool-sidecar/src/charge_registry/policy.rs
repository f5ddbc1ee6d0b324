//! When ended charges are reported.

use std::time::Duration;

use bon::Builder;

/// When ended charges are reported to the holder of their grant, and idle grants evicted.
#[derive(Debug, Clone, Copy, Builder)]
pub struct ReportPolicy {
    /// Delay from the end of a charge to its first report if the entry had stopped reading the
    /// answer. Reports that fall due in the same tick share a message.
    #[builder(default = Duration::from_millis(250))]
    pub first_delay: Duration,
    /// The same if the entry was still reading, and so reports the end to the home. A home settles
    /// charges at most every 5 s; an earlier report finds the charge not durable and is repeated.
    #[builder(default = Duration::from_secs(6))]
    pub first_delay_if_delivered: Duration,
    /// Delay from the first report to the second; it doubles with each report.
    /// The holder writes its books every few seconds, so a shorter delay gains nothing.
    #[builder(default = Duration::from_secs(2))]
    pub repeat_delay: Duration,
    /// Upper bound of the delay between two reports.
    #[builder(default = Duration::from_secs(16))]
    pub max_delay: Duration,
    /// Most charges in one report: at about 130 bytes each, far below the link's frame size.
    #[builder(default = 512)]
    pub max_batch: usize,
    /// Time after which a grant without charges is evicted.
    #[builder(default = Duration::from_secs(3600))]
    pub idle_timeout: Duration,
}

impl Default for ReportPolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}
