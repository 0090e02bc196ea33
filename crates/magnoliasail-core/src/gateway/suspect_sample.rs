//! Bounds the parts of prompts that are kept of the requests at one crash.
//!
//! Batches of ordinary prompts are kept whole. Of more, a sample is kept that is the same for all requests of a crash and another one at each crash, so that
//! every part is found after some crashes, at whatever place of its prompt it is.

use {super::message::SuspectRequest, xxhash_rust::xxh3::xxh3_64_with_seed};

/// Limit on the parts of all requests at a crash, with repetitions.
pub(super) const MAX_SUSPECT_PARTS: usize = 65_536;

/// Keeps at most [`MAX_SUSPECT_PARTS`] parts of these requests. `seed` decides which.
pub(super) fn limit_parts<'a>(requests: impl Iterator<Item = &'a mut SuspectRequest>, seed: u64) {
    let rank = |part: u64| xxh3_64_with_seed(&part.to_le_bytes(), seed);
    let mut requests: Vec<_> = requests.collect();
    let parts = requests.iter().flat_map(|request| &request.parts);
    let mut ranks: Vec<u64> = parts.map(|&part| rank(part)).collect();
    if ranks.len() <= MAX_SUSPECT_PARTS {
        return;
    }
    let (_, &mut first_left_out, _) = ranks.select_nth_unstable(MAX_SUSPECT_PARTS);
    for request in &mut requests {
        request.parts.retain(|&part| rank(part) < first_left_out);
    }
}
