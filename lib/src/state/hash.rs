//! Stable hashing: equal inputs have equal hashes on every daemon and in every build.

use blake3::Hasher;

/// Hash of `parts`; each part is prefixed by its length, so that moving bytes between parts changes
/// the hash.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let head = digest.as_bytes()[..8].try_into().expect("a blake3 digest holds 32 bytes");
    u64::from_le_bytes(head)
}

/// The member of `members` that owns `key`, by rendezvous hashing: the removal of a member moves only
/// the keys that it owned. `None` if there are no members.
///
/// ```
/// use spokelift_lib::state::hash::owner;
/// let before = owner(b"box-7", &[0, 1, 2]).unwrap();
/// let others: Vec<u16> = [0, 1, 2].into_iter().filter(|m| *m != before).collect();
/// assert_ne!(owner(b"box-7", &others), Some(before));
/// assert_eq!(owner(b"box-7", &[]), None);
/// ```
pub fn owner(key: &[u8], members: &[u16]) -> Option<u16> {
    members.iter().copied().max_by_key(|member| stable_hash(&[key, &member.to_le_bytes()]))
}

/// Rank of `member` among `members` in the rendezvous order of `key`; 0 is the owner.
pub fn rank(key: &[u8], member: u16, members: &[u16]) -> usize {
    let own = stable_hash(&[key, &member.to_le_bytes()]);
    members.iter().filter(|other| stable_hash(&[key, &other.to_le_bytes()]) > own).count()
}
