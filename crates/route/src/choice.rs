//! The choice of a replica for one attempt.

use crate::{policy::Policy, prefix::Match};
use name::{Domain, Generation, Region, Replica};
use rand::Rng;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The load that affinity may add to a replica, relative to the mean, in percent.
const LOAD_BOUND_PERCENT: u64 = 125;

/// The blocks of cached prefix that outweigh one step of distance.
const BLOCKS_PER_DISTANCE_STEP: u32 = 4;

/// The steps of distance for an adapter that is not loaded yet.
const ADAPTER_LOAD_DISTANCE: u32 = 3;

/// A replica that could serve a request.
#[common::value]
pub struct Candidate {
    /// The replica.
    pub replica: Replica,
    /// The replica's [`key`].
    pub key: u64,
    /// The generation that the attempt will name.
    pub generation: Generation,
    /// The failure domain of its first member.
    pub domain: Domain,
    /// That domain's region.
    pub region: Region,
    /// Requests that it bears now: its cold or warm limit; none if zero.
    pub capacity: u32,
    /// Requests in progress, by [`crate::Load::estimate`].
    pub load: u32,
    /// Whether it has the wanted version of the model loaded.
    pub has_version: bool,
    /// Whether it has the wanted adapter loaded, true if none is wanted.
    pub has_adapter: bool,
}

/// What the choice needs to know of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request<'a> {
    /// This node's failure domain.
    pub domain: &'a Domain,
    /// This node's region.
    pub region: &'a Region,
    /// The prompt's [`crate::prefix::hashes`].
    pub prefix: &'a [u64],
    /// Replicas that failed this request already.
    pub avoid: &'a [u64],
    /// How many choices this node has made, for the policy that takes turns.
    pub choice_count: u64,
}

/// Why a replica was chosen.
#[common::key]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It holds a prefix of the prompt.
    Cached,
    /// The prompt's first block hashes to it.
    Hashed,
    /// It is the less loaded of two.
    LessLoaded,
    /// Affinity would have overloaded every replica.
    LeastLoaded,
    /// The policy looks at nothing else.
    Baseline,
}

/// A chosen replica.
#[common::key]
pub struct Choice {
    /// Its place among the candidates.
    pub index: usize,
    /// Why.
    pub reason: Reason,
}

/// Returns the key of a replica, for affinity.
pub fn replica_key(replica: &Replica) -> u64 {
    xxh3_64(replica.as_str().as_bytes())
}

/// Returns the candidate for one attempt, or `None` if none can serve it.
///
/// Takes time linear in the number of candidates. Candidates in `avoid` are
/// taken only if there is no other.
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

/// Returns the places of the candidates for which `is_wanted` says yes.
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

/// Returns the replica whose cached prefix outweighs its distance most.
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

/// Returns the candidate with the least load relative to its capacity.
fn least_loaded(candidates: &[Candidate], among: &[usize]) -> Option<usize> {
    let ratio = |index: &usize| {
        let candidate = &candidates[*index];
        u64::from(candidate.load + 1) * 1_000 / u64::from(candidate.capacity.max(1))
    };
    among.iter().copied().min_by_key(ratio)
}

/// Returns the distance of a candidate: 0 in the same failure domain, 1 in the
/// same region, 2 beyond, and more if it must load the adapter first.
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

/// The load that affinity may bring a replica to, relative to its capacity.
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
        // More than the capacity would only wait.
        u64::from(candidate.load) < share.min(capacity)
    }
}
