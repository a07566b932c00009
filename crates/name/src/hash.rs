//! Rendezvous hashing: the same order of candidates on all nodes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rendezvous score of `candidate` for `key`; the highest wins.
pub fn rendezvous_score(key: &str, candidate: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(candidate.as_bytes(), seed)
}

/// Returns the rank of `own` among `candidates` for `key`, from 0.
///
/// The candidates must be distinct. If `own` is not among them, the result is
/// the rank that it would have.
pub fn rendezvous_rank<'a>(
    key: &str,
    own: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> usize {
    let own_score = (rendezvous_score(key, own), own);
    candidates
        .into_iter()
        .filter(|candidate| (rendezvous_score(key, candidate), *candidate) > own_score)
        .count()
}
