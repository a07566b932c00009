//! Bounds of time and rate.

use std::time::Duration;

/// The bounds of time and rate for all decisions on replicas.
#[common::plain]
pub struct Settings {
    /// The age up to which a report is evidence that the engine serves.
    pub report_max_age: Duration,
    /// The silence after which a watcher suspects an instance.
    pub suspect_after: Duration,
    /// The time for which a watcher's vote counts unless it is renewed.
    pub vote_lifetime: Duration,
    /// The time between judgements above which a watcher takes itself to have been paused.
    pub pause_threshold: Duration,
    /// The time after which an instance that is unlisted and silent is gone for good.
    pub gone_after: Duration,
    /// The time for which a boot that was replaced is refused in reports.
    pub replaced_boot_retention: Duration,
    /// The delay that each rank adds before a node proposes or orders.
    pub delay_per_rank: Duration,
    /// The time after which an unanswered proposal is made again.
    pub repropose_after: Duration,
    /// The window in which re-forms are counted.
    pub reconfiguration_window: Duration,
    /// The least number of re-forms that a window allows.
    pub min_reconfigurations: u32,
    /// The number of replicas for which a window allows one more re-form.
    pub replicas_per_reconfiguration: u32,
    /// The number of new replicas that one call may propose.
    pub max_forms_per_call: usize,
    /// The time for which a planned change of a replica waits before its drain is judged.
    pub min_drain: Duration,
    /// The longest time for which requests in progress hold back a change.
    pub max_drain: Duration,
    /// The time from the decision on an order to the last moment to write it.
    pub order_lifetime: Duration,
    /// The time after which an order without effect is sent again.
    pub resend_after: Duration,
    /// The time for which an engine without fencing is left alone after a change.
    ///
    /// It covers the greatest age of a fresh state, `order_life`, and the time
    /// that a written order may take to arrive.
    pub unfenced_quiet_period: Duration,
    /// The number of weight loads in progress at once.
    pub max_concurrent_loads: usize,
    /// The load time assumed before one was measured.
    pub initial_load_time: Duration,
    /// The time to return assumed before one was measured.
    pub initial_return_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            report_max_age: Duration::from_millis(1_500),
            suspect_after: Duration::from_millis(1_500),
            vote_lifetime: Duration::from_secs(3),
            pause_threshold: Duration::from_secs(1),
            gone_after: Duration::from_secs(60),
            replaced_boot_retention: Duration::from_secs(10),
            delay_per_rank: Duration::from_millis(500),
            repropose_after: Duration::from_secs(3),
            reconfiguration_window: Duration::from_secs(10),
            min_reconfigurations: 2,
            replicas_per_reconfiguration: 20,
            max_forms_per_call: 16,
            min_drain: Duration::from_secs(3),
            max_drain: Duration::from_secs(300),
            order_lifetime: Duration::from_secs(1),
            resend_after: Duration::from_secs(1),
            unfenced_quiet_period: Duration::from_secs(5),
            max_concurrent_loads: 4,
            initial_load_time: Duration::from_secs(60),
            initial_return_time: Duration::from_secs(20),
        }
    }
}
