//! Placing, queueing and refusing, each under the load it answers.

mod budget;
mod choice;
mod fleet;
mod load;
mod queue;

use clock::Moment;
use site::{config::EngineSpec, fixture};
use std::time::Duration;

const SLOTS: u32 = 26;

/// When the first token of a request to an idle replica is expected.
const TIME_TO_FIRST_TOKEN: Duration = Duration::from_millis(100);

fn at_ms(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Returns the costs of engines whose model has two members.
fn engine() -> EngineSpec {
    fixture::engine_spec(vec![fixture::model_spec("m", 2, 1.0)])
}
