//! Rendezvous hashing: an order of candidates that all nodes agree on.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rendezvous score of `candidate` for `topic`; the highest wins.
pub fn rendezvous_score(key: &str, candidate: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(candidate.as_bytes(), seed)
}

/// Returns the rank of `own` among `candidates` for `topic`, from 0.
///
/// Candidates are distinct; one that is not among them ranks as if it were.
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
