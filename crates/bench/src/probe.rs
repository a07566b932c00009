//! Drafts through the entries beside drafts asked of the engines directly.

use crate::{
    Kind,
    caller::{self, Caller},
    load::{Arrival, Work, fresh_prompt},
};
use backend::{Limits, Pool, Target, engine, proto::Generate};
use name::{Attempt, Model};
use rand::seq::IndexedRandom;
use standin::World;
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};

/// The time between two probes of a kind.
const EACH: Duration = Duration::from_millis(120);

/// The tokens of a probe.
const TOKENS: u32 = 2;

/// The longest time for a direct call.
const WITHIN: Duration = Duration::from_secs(10);

/// Times to the first token.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Probes {
    /// Through the entries.
    pub(crate) through: Vec<Duration>,
    /// Directly.
    pub(crate) direct: Vec<Duration>,
}

/// Probes until `end`, each time once through an entry and once directly.
pub(crate) async fn run(
    world: Arc<World>,
    kind: Kind,
    caller: Arc<Caller>,
    end: Instant,
) -> Probes {
    let pool = Pool::new(Limits::default());
    let mut probes = Probes::default();
    let mut number = 0;
    while Instant::now() < end {
        let through = caller.call(&arrival(number)).await;
        probes.through.extend(through.first_token);
        let direct = direct(&world, kind, &pool, &arrival(number + 1)).await;
        probes.direct.extend(direct);
        number += 2;
        sleep(EACH).await;
    }
    probes
}

/// Returns a draft whose prompt no engine has cached.
fn arrival(number: u64) -> Arrival {
    Arrival {
        at: Duration::ZERO,
        account: 0,
        work: Work::Draft(TOKENS),
        seed: number,
        prompt: fresh_prompt(number),
        counts: false,
    }
}

/// Asks the lead of a random replica, and returns the time to its first token.
async fn direct(world: &World, kind: Kind, pool: &Pool, arrival: &Arrival) -> Option<Duration> {
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
        max_tokens: TOKENS,
        priority: 0,
        seed: arrival.seed,
    };
    let asked = Instant::now();
    let answer = engine::generate(pool, target, &request, || true, WITHIN).await;
    let mut answer = answer.ok()?;
    answer.next().await?.ok()?;
    let first = asked.elapsed();
    while let Some(Ok(_)) = answer.next().await {}
    Some(first)
}
