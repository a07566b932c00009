//! Values of a small deployment, for tests.

use crate::{
    Server,
    config::{Engine, Weights},
    server,
    settings::Bounds,
};
use name::Instance;
use std::time::Duration;

/// Returns the name of a server.
///
/// # Panics
///
/// Panics if the text is no name.
pub fn id(text: &str) -> Instance {
    text.parse().expect("a name")
}

/// Returns a backend server that is a member of nothing.
///
/// # Panics
///
/// Panics if the text is no name.
pub fn server(name: &str) -> Server {
    Server {
        id: id(name),
        service: "llm".parse().expect("a name"),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "d".parse().expect("a name"),
        born: 1,
        slots: 26,
        is_leaving: false,
        cold_for: Duration::ZERO,
        engine: server::Engine::default(),
    }
}

/// Returns a deployment's bounds.
pub fn bounds() -> Bounds {
    Bounds {
        leaving: Duration::from_secs(2),
        config: Duration::from_secs(2),
        revoke: Some(Duration::from_secs(5)),
        grace: Duration::from_secs(8),
        retry_ratio: 0.2,
        retry_slack: 136.0,
        load_window: Duration::from_secs(5),
        max_answer_age: Duration::from_secs(5),
    }
}

/// Returns a model whose replicas have `size` members.
///
/// # Panics
///
/// Panics if the text is no name.
pub fn weights(model: &str, size: usize, share: f64) -> Weights {
    Weights {
        model: model.parse().expect("a name"),
        size,
        share,
        pace: 1.0,
        load: Duration::from_secs(16),
        warm: Duration::from_millis(1_600),
    }
}

/// Returns the costs of engines that serve some models.
pub fn engine(models: Vec<Weights>) -> Engine {
    Engine {
        slots: 26,
        memory_tokens: 1_400_000,
        step: Duration::from_micros(6_070),
        step_per_request: Duration::from_micros(241),
        step_per_context: Duration::from_micros(5),
        read_per_s: 46_000.0,
        pairs_per_million: Duration::from_micros(700),
        stride: 5,
        chunk: 2_048,
        usual_prompt: 1_076.0,
        usual_answer: 116.0,
        forming: Duration::from_millis(300),
        loads_per_s: 4.0,
        loads_at_once: 6,
        models,
    }
}
