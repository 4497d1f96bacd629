//! Which member should own a shard: rendezvous hashing, weighted toward the same hall.

use xxhash_rust::xxh3;

/// How much heavier a member of the shard's own hall weighs than any other.
const SAME_HALL_WEIGHT: f64 = 16.0;

/// A member that may own shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The name of the instance.
    pub name: String,
    /// The hall that it stands in.
    pub hall: String,
}

/// Returns the member that should own `shard`, which stands in `hall`.
///
/// All members that see the same candidates agree, and a change of one
/// candidate moves only the shards that it gains or loses.
pub fn preferred<'a>(shard: &str, hall: &str, members: &'a [Candidate]) -> Option<&'a Candidate> {
    members.iter().max_by(|a, b| {
        score(shard, hall, a)
            .total_cmp(&score(shard, hall, b))
            .then_with(|| a.name.cmp(&b.name))
    })
}

/// Returns the member that a caller's key leads to.
pub fn home<'a>(key: &str, members: &'a [Candidate]) -> Option<&'a Candidate> {
    preferred(key, "", members)
}

fn score(shard: &str, hall: &str, member: &Candidate) -> f64 {
    let weight = match member.hall == hall {
        true => SAME_HALL_WEIGHT,
        false => 1.0,
    };
    let hash = xxh3::xxh3_64(format!("{shard}\u{0}{}", member.name).as_bytes());
    let unit = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -weight / unit.ln()
}
