//! Chooses a replica for one attempt.

use crate::{policy::Policy, prefix::Match};
use name::{Domain, Generation, Region, Replica};
use rand::Rng;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The load up to which affinity may choose a replica, in percent of the mean.
const LOAD_BOUND_PERCENT: u64 = 125;

/// The cached prefix blocks that outweigh one step of distance.
const BLOCKS_PER_DISTANCE_STEP: u32 = 4;

/// The distance, in steps, added for an adapter that is not loaded.
const ADAPTER_LOAD_DISTANCE: u32 = 3;

/// A replica that could serve a request.
#[common::value]
pub struct Candidate {
    /// The replica.
    pub replica: Replica,
    /// The replica's [`replica_key`].
    pub key: u64,
    /// The generation of the replica to which the attempt is sent.
    pub generation: Generation,
    /// The failure domain of its first member.
    pub domain: Domain,
    /// The region of that domain.
    pub region: Region,
    /// The maximum requests in progress now: its cold or warm limit; 0 excludes it.
    pub capacity: u32,
    /// Requests in progress, by [`crate::Load::estimate`].
    pub load: u32,
    /// Whether it has the requested version of the model loaded.
    pub has_version: bool,
    /// Whether it has the requested adapter loaded, true if none is requested.
    pub has_adapter: bool,
}

/// The properties of a request on which the choice depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request<'a> {
    /// This node's failure domain.
    pub domain: &'a Domain,
    /// This node's region.
    pub region: &'a Region,
    /// The prompt's [`crate::prefix::hashes`].
    pub prefix: &'a [u64],
    /// The keys of replicas that already failed this request.
    pub avoid: &'a [u64],
    /// The number of choices made by this node, for the round-robin policy.
    pub choice_count: u64,
}

/// Why a replica was chosen.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It has a prefix of the prompt in its cache.
    Cached,
    /// The hash of the prompt's first block selects it.
    Hashed,
    /// It is the less loaded of two random candidates.
    LessLoaded,
    /// It is the least loaded; no replica was within the load bound.
    LeastLoaded,
    /// It is the choice of a policy without affinity.
    Baseline,
}

/// The chosen replica and the reason for the choice.
#[common::key]
pub struct Choice {
    /// Its index among the candidates.
    pub index: usize,
    /// Why it was chosen.
    pub reason: Reason,
}

/// Returns the hash that identifies a replica in affinity data.
pub fn replica_key(replica: &Replica) -> u64 {
    xxh3_64(replica.as_str().as_bytes())
}

/// Chooses a candidate for one attempt; `None` if none can serve it.
///
/// Takes time linear in the number of candidates. Candidates in `avoid` are
/// chosen only if there is no other.
pub fn choose(
    candidates: &[Candidate],
    request: &Request<'_>,
    affinity: &Match,
    policy: Policy,
    rng: &mut impl Rng,
) -> Option<Choice> {
    let can_serve = |c: &Candidate| c.has_version && c.capacity > 0;
    let is_untried = |c: &Candidate| can_serve(c) && !request.avoid.contains(&c.key);
    let mut usable = indices_where(candidates, is_untried);
    if usable.is_empty() {
        usable = indices_where(candidates, can_serve);
    }
    if usable.is_empty() {
        return None;
    }
    let count = u64::try_from(usable.len()).ok()?;
    let index = match policy {
        Policy::Affinity => return choose_by_affinity(candidates, &usable, request, affinity, rng),
        Policy::Random => usable[rng.random_range(0..usable.len())],
        Policy::RoundRobin => usable[usize::try_from(request.choice_count % count).ok()?],
        Policy::LeastLoad => least_loaded(candidates, &usable)?,
    };
    Some(Choice {
        index,
        reason: Reason::Baseline,
    })
}

/// Returns the indices of the candidates that match `predicate`.
fn indices_where(candidates: &[Candidate], predicate: impl Fn(&Candidate) -> bool) -> Vec<usize> {
    let numbered = candidates.iter().enumerate();
    let wanted = numbered.filter(|(_, candidate)| predicate(candidate));
    wanted.map(|(index, _)| index).collect()
}

/// Chooses by cached prefix, then by hash, then by load, within the load bound.
fn choose_by_affinity(
    candidates: &[Candidate],
    usable: &[usize],
    request: &Request<'_>,
    affinity: &Match,
    rng: &mut impl Rng,
) -> Option<Choice> {
    let bound = LoadBound::new(usable.iter().map(|index| &candidates[*index]));
    let within_bound: Vec<usize> = usable
        .iter()
        .copied()
        .filter(|index| bound.admits(&candidates[*index]))
        .collect();
    if within_bound.is_empty() {
        let index = least_loaded(candidates, usable)?;
        let reason = Reason::LeastLoaded;
        return Some(Choice { index, reason });
    }
    if let Some(index) = best_cached(candidates, &within_bound, request, affinity) {
        let reason = Reason::Cached;
        return Some(Choice { index, reason });
    }
    let nearest = within_bound
        .iter()
        .map(|index| distance(&candidates[*index], request))
        .min()?;
    let nearby: Vec<usize> = within_bound
        .into_iter()
        .filter(|index| distance(&candidates[*index], request) == nearest)
        .collect();
    if let Some(first) = request.prefix.first() {
        let score =
            |index: &usize| xxh3_64_with_seed(&candidates[*index].key.to_le_bytes(), *first);
        let index = nearby.into_iter().max_by_key(score)?;
        let reason = Reason::Hashed;
        return Some(Choice { index, reason });
    }
    let pair = [0; 2].map(|_| nearby[rng.random_range(0..nearby.len())]);
    let index = least_loaded(candidates, &pair)?;
    let reason = Reason::LessLoaded;
    Some(Choice { index, reason })
}

/// Returns the candidate with the most cached blocks, less the cost of its distance.
fn best_cached(
    candidates: &[Candidate],
    within_bound: &[usize],
    request: &Request<'_>,
    affinity: &Match,
) -> Option<usize> {
    if affinity.is_empty() {
        return None;
    }
    let net_blocks = |index: &usize| {
        let candidate = &candidates[*index];
        let blocks = affinity.blocks(candidate.key);
        let cost = distance(candidate, request) * BLOCKS_PER_DISTANCE_STEP;
        (blocks > 0 && blocks >= cost).then(|| blocks - cost)
    };
    let eligible = within_bound
        .iter()
        .filter_map(|index| Some((net_blocks(index)?, *index)));
    let best = eligible.max_by_key(|(net_blocks, index)| {
        (*net_blocks, std::cmp::Reverse(candidates[*index].load))
    });
    best.map(|(_, index)| index)
}

/// Returns the candidate with the lowest load relative to its capacity.
fn least_loaded(candidates: &[Candidate], among: &[usize]) -> Option<usize> {
    let ratio = |index: &usize| {
        let candidate = &candidates[*index];
        u64::from(candidate.load + 1) * 1_000 / u64::from(candidate.capacity.max(1))
    };
    among.iter().copied().min_by_key(ratio)
}

/// Returns the distance of a candidate in steps.
///
/// It is 0 in the same failure domain, 1 in the same region, 2 elsewhere, and more
/// if the candidate must load the adapter first.
fn distance(candidate: &Candidate, request: &Request<'_>) -> u32 {
    let steps = if candidate.domain == *request.domain {
        0
    } else if candidate.region == *request.region {
        1
    } else {
        2
    };
    match candidate.has_adapter {
        true => steps,
        false => steps + ADAPTER_LOAD_DISTANCE,
    }
}

/// The maximum load, relative to capacity, up to which affinity may choose a replica.
struct LoadBound {
    load: u64,
    capacity: u64,
}

impl LoadBound {
    /// Returns the bound for the mean load of `candidates`.
    fn new<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Self {
        let zero = Self {
            load: 1,
            capacity: 0,
        };
        candidates.fold(zero, |sum, c| Self {
            load: sum.load + u64::from(c.load),
            capacity: sum.capacity + u64::from(c.capacity),
        })
    }

    /// Returns whether one more request keeps `candidate` within the bound.
    fn admits(&self, candidate: &Candidate) -> bool {
        let capacity = u64::from(candidate.capacity);
        let share = (self.load * capacity * LOAD_BOUND_PERCENT).div_ceil(self.capacity * 100);
        // Requests beyond the capacity would only wait.
        u64::from(candidate.load) < share.min(capacity)
    }
}
