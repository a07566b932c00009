//! The delay of first tokens beyond what the latency model predicts, by model.

use name::Model;
use std::{collections::HashMap, time::Duration};

/// The change of a learned delay with each measurement.
const STEP: Duration = Duration::from_millis(4);

/// The longest delay that is assumed.
const MAX_DELAY: Duration = Duration::from_millis(400);

/// The learned delays.
///
/// The specification of engines omits what a request waits for at a server besides passes:
/// its admission, and what the engine does before the first one. A delay is the median of
/// what measurements exceed predictions by: servers that stall for seconds after a loss
/// move a mean far from what the others take.
#[derive(Debug, Clone, Default)]
pub struct Delays {
    models: HashMap<Model, Duration>,
}

impl Delays {
    /// Returns the delay to add to predictions for a model.
    pub fn get(&self, model: &Model) -> Duration {
        self.models.get(model).copied().unwrap_or_default()
    }

    /// Records a measured time to a first token, and what was predicted with the delay.
    pub fn record(&mut self, model: &Model, took: Duration, predicted: Duration) {
        let delay = self.models.entry(model.clone()).or_default();
        *delay = if took > predicted {
            (*delay + STEP).min(MAX_DELAY)
        } else {
            delay.saturating_sub(STEP)
        };
    }
}
