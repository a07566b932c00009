//! Compares drafts through the entries with drafts sent directly to engines.

use crate::{
    Kind,
    caller::{self, Caller},
    load::{Arrival, Work, unique_prompt},
};
use backend::{Limits, Pool, Target, engine, proto::Generate};
use name::{Attempt, Model};
use rand::seq::IndexedRandom;
use standin::World;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// The delay between two pairs of probes.
const PROBE_DELAY: Duration = Duration::from_millis(120);

/// The maximum number of tokens of a probe.
const PROBE_TOKENS: u32 = 2;

/// The timeout of a direct call.
const DIRECT_CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Times to the first token.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct FirstTokenTimes {
    /// Times of calls through the entries.
    pub(crate) through_entries: Vec<Duration>,
    /// Times of direct calls to engines.
    pub(crate) direct: Vec<Duration>,
}

/// Probes until `end`, alternately through an entry and directly.
pub(crate) async fn run(
    world: Arc<World>,
    kind: Kind,
    caller: Arc<Caller>,
    end: Instant,
) -> FirstTokenTimes {
    let pool = Pool::new(Limits::default());
    let mut probes = FirstTokenTimes::default();
    let mut number = 0;
    while Instant::now() < end {
        let through_entries = caller.call(&probe_arrival(number)).await;
        probes.through_entries.extend(through_entries.first_token);
        let direct = direct_first_token(&world, kind, &pool, &probe_arrival(number + 1)).await;
        probes.direct.extend(direct);
        number += 2;
        sleep(PROBE_DELAY).await;
    }
    probes
}

/// Returns a draft whose prompt is in no engine's cache.
fn probe_arrival(number: u64) -> Arrival {
    Arrival {
        at: Duration::ZERO,
        account: 0,
        work: Work::Draft(PROBE_TOKENS),
        seed: number,
        prompt: unique_prompt(number),
        is_counted: false,
    }
}

/// Calls the first member of a random replica and returns the time to its first token.
async fn direct_first_token(
    world: &World,
    kind: Kind,
    pool: &Pool,
    arrival: &Arrival,
) -> Option<Duration> {
    let serving = world.survey().serving;
    let replica = serving.choose(&mut rand::rng())?;
    let server = world.server(replica.members.first()?)?;
    let target = Target {
        address: server.listed().address,
        boot: Some(server.report().boot),
        generation: replica.generation,
    };
    let request = Generate {
        attempt: Attempt::random(),
        model: Model::try_from(caller::model(kind)).ok()?,
        prompt: arrival.prompt.clone(),
        resume_after: String::new(),
        resume_tokens: 0,
        max_tokens: PROBE_TOKENS,
        priority: 0,
        seed: arrival.seed,
    };
    let started = Instant::now();
    let answer = engine::generate(pool, target, &request, || true, DIRECT_CALL_TIMEOUT).await;
    let mut answer = answer.ok()?;
    answer.next().await?.ok()?;
    let first = started.elapsed();
    while let Some(Ok(_)) = answer.next().await {}
    Some(first)
}
