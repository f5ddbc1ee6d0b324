//! How often charges are reported.

use std::time::Duration;

use bon::Builder;

/// How often ended charges are reported to the holder of their grant.
#[derive(Debug, Clone, Copy, Builder)]
pub struct ReportPolicy {
    /// From the end of a charge to its first report if its entry no longer listened; reports of a
    /// tick share a message.
    #[builder(default = Duration::from_millis(250))]
    pub first_after: Duration,
    /// The same if its entry was told, which tells the home. A home settles charges at most every
    /// five seconds, so that a report before that is answered in vain and has to be repeated.
    #[builder(default = Duration::from_secs(6))]
    pub heard_after: Duration,
    /// From the first report to the second; the wait doubles with each.
    /// The holder writes its books every few seconds, so asking sooner is in vain.
    #[builder(default = Duration::from_secs(2))]
    pub repeat_after: Duration,
    /// The longest wait between two reports.
    #[builder(default = Duration::from_secs(16))]
    pub longest_wait: Duration,
    /// The most charges in one report: some 130 bytes each, far below a frame of the link.
    #[builder(default = 512)]
    pub batch: usize,
    /// A grant without open charges is forgotten after so long.
    #[builder(default = Duration::from_secs(3600))]
    pub idle_after: Duration,
}

impl Default for ReportPolicy {
    fn default() -> Self {
        Self::builder().build()
    }
}
