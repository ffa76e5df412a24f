//! Memory of the leader for jobs: a job is accepted only if the leader can keep it.
//!
//! A short body can state a hundred thousand tasks, and each leader after this one keeps them, too.
//! So a node has the leader reserve memory before it writes a job to the store. It is granted more
//! than one job takes, so that most jobs need not ask.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// What a node is granted beyond the job that it asks for, in bytes; most jobs take some 4,000.
pub const ADVANCE_BYTES: u64 = 64 * 1024;
/// How long a node may use what it was granted.
const CREDIT_LIFETIME: Duration = Duration::from_secs(2);
/// How long the leader counts a grant beside the jobs that it knows: until those that were accepted
/// by it have been reported.
const GRANT_LIFETIME: Duration = Duration::from_secs(4);

/// What the leader has granted lately.
#[derive(Debug, Default)]
pub struct Grants {
    recent: VecDeque<(Instant, u64)>,
}

impl Grants {
    /// Grants memory for a job that needs `needed` bytes, where jobs take `used` of `limit`; 0 if it
    /// is refused. One job gets at most half of what is left, so that many large ones leave some for
    /// small ones.
    ///
    /// ```
    /// use std::time::Instant;
    /// use spokelift_lib::batch::job_memory::Grants;
    /// let (now, mut grants) = (Instant::now(), Grants::default());
    /// assert!(grants.grant(4_000, 0, 1_000_000, now) >= 4_000);
    /// assert_eq!(grants.grant(500_000, 0, 1_000_000, now), 0);
    /// assert_eq!(grants.grant(4_000, 1_000_000, 1_000_000, now), 0);
    /// ```
    pub fn grant(&mut self, needed: u64, used: u64, limit: u64, now: Instant) -> u64 {
        let is_over = |at: Instant| now.saturating_duration_since(at) > GRANT_LIFETIME;
        while self.recent.pop_front_if(|(at, _)| is_over(*at)).is_some() {}
        let granted: u64 = self.recent.iter().map(|(_, bytes)| bytes).sum();
        let left = limit.saturating_sub(used).saturating_sub(granted);
        if needed > left / 2 {
            return 0;
        }
        let bytes = (needed + ADVANCE_BYTES).min(left);
        self.recent.push_back((now, bytes));
        bytes
    }
}

/// What a node may still use of a grant.
#[derive(Debug, Default)]
pub struct Credit {
    /// Incarnation of the node whose scheduler granted it.
    leader: Option<u64>,
    bytes: u64,
    granted_at: Option<Instant>,
}

impl Credit {
    /// Takes bytes that `leader` granted; returns whether there are enough.
    pub fn take(&mut self, bytes: u64, leader: Option<u64>, now: Instant) -> bool {
        let is_valid = self.granted_at.is_some_and(|at| {
            self.leader == leader && now.saturating_duration_since(at) <= CREDIT_LIFETIME
        });
        if is_valid && bytes <= self.bytes {
            self.bytes -= bytes;
            return true;
        }
        false
    }

    /// Replaces what is left by another grant.
    pub fn set(&mut self, bytes: u64, leader: Option<u64>, now: Instant) {
        *self = Credit { leader, bytes, granted_at: Some(now) };
    }
}
