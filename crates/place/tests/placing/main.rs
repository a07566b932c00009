//! Tests of placement, queueing and refusal, including under contention.

mod budget;
mod choice;
mod fleet;
mod level;
mod limit;
mod load;
mod queue;
mod reach;

use clock::Moment;
use site::{config::EngineSpec, fixture};
use std::time::Duration;

const SLOTS: u32 = 26;

/// The predicted time to the first token of an idle replica.
const TIME_TO_FIRST_TOKEN: Duration = Duration::from_millis(100);

fn at_ms(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Returns the specification of engines whose model needs two members.
fn engine() -> EngineSpec {
    fixture::engine_spec(vec![fixture::model_spec("m", 2, 1.0)])
}
