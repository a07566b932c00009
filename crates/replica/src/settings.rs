//! Bounds of time and rate.

use std::time::Duration;

/// The bounds of time and rate for all decisions on replicas.
#[common::plain]
pub struct Settings {
    /// The age up to which a report is evidence that the engine serves.
    pub fresh: Duration,
    /// The silence after which a watcher suspects an instance.
    pub suspect_after: Duration,
    /// The time for which a watcher's vote counts unless it is renewed.
    pub vote_life: Duration,
    /// The time between judgements above which a watcher takes itself to have been paused.
    pub pause: Duration,
    /// The time after which an instance that is unlisted and silent is gone for good.
    pub gone_after: Duration,
    /// The time for which a boot that was replaced is refused in reports.
    pub boot_memory: Duration,
    /// The delay that each rank adds before a node proposes or orders.
    pub rank_step: Duration,
    /// The time after which an unanswered proposal is made again.
    pub repropose: Duration,
    /// The window in which re-forms are counted.
    pub reform_window: Duration,
    /// The least number of re-forms that a window allows.
    pub reform_floor: u32,
    /// The number of replicas for which a window allows one more re-form.
    pub reform_per: u32,
    /// The number of new replicas that one call may propose.
    pub forms: usize,
    /// The time for which a planned change of a replica waits before its drain is judged.
    pub drain_least: Duration,
    /// The longest time for which requests in progress hold back a change.
    pub drain_limit: Duration,
    /// The time from the decision on an order to the last moment to write it.
    pub order_life: Duration,
    /// The time after which an order without effect is sent again.
    pub resend: Duration,
    /// The time for which an engine without fencing is left alone after a change.
    ///
    /// It covers the greatest age of a fresh state, `order_life`, and the time
    /// that a written order may take to arrive.
    pub settle: Duration,
    /// The number of weight loads in progress at once.
    pub loads: usize,
    /// The load time assumed before one was measured.
    pub load: Duration,
    /// The time to return assumed before one was measured.
    pub back: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fresh: Duration::from_millis(1_500),
            suspect_after: Duration::from_millis(1_500),
            vote_life: Duration::from_secs(3),
            pause: Duration::from_secs(1),
            gone_after: Duration::from_secs(60),
            boot_memory: Duration::from_secs(10),
            rank_step: Duration::from_millis(500),
            repropose: Duration::from_secs(3),
            reform_window: Duration::from_secs(10),
            reform_floor: 2,
            reform_per: 20,
            forms: 16,
            drain_least: Duration::from_secs(3),
            drain_limit: Duration::from_secs(300),
            order_life: Duration::from_secs(1),
            resend: Duration::from_secs(1),
            settle: Duration::from_secs(5),
            loads: 4,
            load: Duration::from_secs(60),
            back: Duration::from_secs(20),
        }
    }
}
