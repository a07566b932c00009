//! Time limits and rate limits.

use std::time::Duration;

/// The time limits and rate limits of all decisions on replicas.
#[common::plain]
pub struct Settings {
    /// The age up to which a report counts as evidence that the engine serves.
    pub report_max_age: Duration,
    /// The time without an answer after which a watcher suspects an instance.
    pub suspect_after: Duration,
    /// The time for which a watcher's vote counts unless it is renewed.
    pub vote_lifetime: Duration,
    /// The time between two evaluations above which a node treats itself as paused.
    ///
    /// After a pause, conditions must last for their whole delay again.
    pub pause_threshold: Duration,
    /// The time after which an unlisted instance without reports counts as removed.
    pub gone_after: Duration,
    /// The time for which reports of a replaced boot are rejected.
    pub replaced_boot_retention: Duration,
    /// The delay per rank before a node sends a proposal or an order.
    pub delay_per_rank: Duration,
    /// The time after which a proposal without effect is repeated.
    pub repropose_after: Duration,
    /// The window over which reconfigurations of existing replicas are limited.
    pub reconfiguration_window: Duration,
    /// The least number of reconfigurations allowed in each window.
    pub min_reconfigurations: u32,
    /// The number of replicas for each of which a window allows one reconfiguration.
    ///
    /// `min_reconfigurations` applies if that number is lower.
    pub replicas_per_reconfiguration: u32,
    /// The number of new replicas that one call of `propose` may return.
    pub max_forms_per_call: usize,
    /// The least time between the start of a drain and its end.
    pub min_drain: Duration,
    /// The longest time for which requests in progress delay a change.
    pub max_drain: Duration,
    /// The time from the decision on an order to its deadline.
    pub order_lifetime: Duration,
    /// The time after which an order without effect is resent.
    pub resend_after: Duration,
    /// The time after a change of assignment in which an unfenced engine gets no order.
    ///
    /// Orders for the previous assignment have expired by then: the time covers the
    /// greatest age of a fresh state, `order_lifetime`, and the time that a written
    /// order may take to arrive.
    pub unfenced_quiet_period: Duration,
    /// The number of weight loads that may be in progress at once.
    pub max_concurrent_loads: usize,
    /// The load time that is assumed until one has been measured.
    pub initial_load_time: Duration,
    /// The time until a lost member returns that is assumed until one has been measured.
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
