//! Values of a small deployment, for tests.

use crate::{
    Server,
    config::{EngineSpec, ModelSpec},
    server,
    settings::Bounds,
};
use name::Instance;
use std::time::Duration;

/// Returns the name of a server.
///
/// # Panics
///
/// Panics if the text is not a valid name.
pub fn id(text: &str) -> Instance {
    text.parse().expect("a name")
}

/// Returns a backend server without a membership in a replica.
///
/// # Panics
///
/// Panics if the text is not a valid name.
pub fn server(name: &str) -> Server {
    Server {
        id: id(name),
        service: "llm".parse().expect("a name"),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d".parse().expect("a name"),
        incarnation: 1,
        sequence: None,
        slots: 26,
        is_leaving: false,
        cold_time_left: Duration::ZERO,
        engine: server::EngineState::default(),
    }
}

/// Returns a deployment's bounds.
pub fn bounds() -> Bounds {
    Bounds {
        max_leaving_delay: Duration::from_secs(2),
        max_config_delay: Duration::from_secs(2),
        max_revoke_delay: Some(Duration::from_secs(5)),
        termination_grace: Duration::from_secs(8),
        retry_ratio: 0.2,
        retry_slack: 136.0,
        retry_window: Duration::from_secs(10),
        load_window: Duration::from_secs(5),
        directory_max_age: Duration::from_secs(5),
        max_directory_delay: Duration::from_secs(6),
    }
}

/// Returns a model whose replicas have `size` members.
///
/// # Panics
///
/// Panics if the text is not a valid name.
pub fn model_spec(model: &str, replica_size: usize, expected_share: f64) -> ModelSpec {
    ModelSpec {
        model: model.parse().expect("a name"),
        replica_size,
        expected_share,
        time_factor: 1.0,
        load_time: Duration::from_secs(16),
        warm_load_time: Duration::from_millis(1_600),
    }
}

/// Returns the specification of engines that serve the models.
pub fn engine_spec(models: Vec<ModelSpec>) -> EngineSpec {
    EngineSpec {
        slots: 26,
        kv_cache_tokens: 1_400_000,
        step_time: Duration::from_micros(6_070),
        step_time_per_request: Duration::from_micros(241),
        step_time_per_1k_context: Duration::from_micros(5),
        prefill_tokens_per_s: 46_000.0,
        attention_time_per_million_pairs: Duration::from_micros(700),
        steps_per_pass: 5,
        prefill_chunk_tokens: 2_048,
        mean_prompt_tokens: 1_076.0,
        mean_answer_tokens: 116.0,
        open_time: Duration::from_millis(300),
        loads_per_s: 4.0,
        loads_at_once: 6,
        models,
    }
}
