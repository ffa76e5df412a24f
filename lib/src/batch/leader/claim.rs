//! When a node may claim the leader lease, and what it promises the leader of that.
//!
//! A leader that cannot renew its lease must not renew leases of workers whose tasks its successor
//! starts elsewhere. It goes on only as long as every other node has promised not to claim the lease
//! yet. While the store is unavailable for all, each of them keeps promising it, and the leader goes
//! on.
//!
//! A promise binds: until it ends, the node sends no claim, whatever it reads meanwhile. A claim that
//! was sent may take effect at any later time, so the node promises nothing until it has read on
//! beyond the offset that it claimed.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use spokelift_platform::store::Offset;

use crate::batch::leader::lease::TAKEOVER_TIMEOUT;

/// What decides when a node may claim the leader lease next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It holds the lease, may claim it at once, or has sent a claim of which it does not know the
    /// outcome.
    Claimed,
    /// It has to read the lease without a renewal for [`TAKEOVER_TIMEOUT`] first: it has not read it
    /// yet, rests, or the store did not answer its last read.
    #[default]
    Unread,
    /// It reads the lease, and last read of a renewal at this time.
    Read(Instant),
}

impl State {
    /// For how long from `now` on the node can promise not to claim the lease without claiming it
    /// any later for that.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    /// use spokelift_lib::batch::leader::claim::State;
    /// use spokelift_lib::batch::leader::lease::TAKEOVER_TIMEOUT;
    /// let now = Instant::now();
    /// assert_eq!(State::Claimed.promise(now), Duration::ZERO);
    /// assert_eq!(State::Unread.promise(now), TAKEOVER_TIMEOUT);
    /// assert_eq!(State::Read(now).promise(now + TAKEOVER_TIMEOUT / 2), TAKEOVER_TIMEOUT / 2);
    /// assert_eq!(State::Read(now).promise(now + TAKEOVER_TIMEOUT * 2), Duration::ZERO);
    /// ```
    pub fn promise(self, now: Instant) -> Duration {
        match self {
            State::Claimed => Duration::ZERO,
            State::Unread => TAKEOVER_TIMEOUT,
            State::Read(at) => TAKEOVER_TIMEOUT.saturating_sub(now.saturating_duration_since(at)),
        }
    }
}

/// A claim that a node has sent.
#[derive(Clone, Copy)]
struct Claim {
    /// The end of the lease topic on which it depends, where its record stands if it took effect.
    at: Offset,
    /// When it was first sent.
    sent: Instant,
}

/// The promises and the claims of a node: at any time, it either has promised not to claim the lease
/// or may send a claim.
#[derive(Default)]
pub struct Claims {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    state: State,
    /// Offset up to which the lease topic was read.
    read_to: Offset,
    /// The last claim that was sent.
    last_claim: Option<Claim>,
    /// When the last promise ends; `None` before the first.
    promised_until: Option<Instant>,
}

impl Inner {
    /// Whether the last claim may have taken effect, or still may: nothing was read yet at its offset.
    fn has_pending_claim(&self) -> bool {
        self.last_claim.is_some_and(|claim| self.read_to <= claim.at)
    }
}

impl Claims {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panics while it holds the claims lock")
    }

    /// Sets what decides when this node may claim the lease next.
    pub fn set_state(&self, state: State) {
        self.lock().state = state;
    }

    /// Records that all records of the lease topic before this offset were read.
    pub fn record_read(&self, read_to: Offset) {
        let mut inner = self.lock();
        inner.read_to = inner.read_to.max(read_to);
    }

    /// When the claim was sent that stands at `offset` in the lease topic; `None` if it is not this
    /// node's.
    pub fn sent_at(&self, offset: Offset) -> Option<Instant> {
        self.lock().last_claim.filter(|claim| claim.at == offset).map(|claim| claim.sent)
    }

    /// Promises not to claim the lease from `now` on; returns for how long.
    pub fn promise(&self, now: Instant) -> Duration {
        let mut inner = self.lock();
        if inner.has_pending_claim() {
            return Duration::ZERO;
        }
        let promise = inner.state.promise(now);
        inner.promised_until = inner.promised_until.max(Some(now + promise));
        promise
    }

    /// Whether this node may send a claim at `now`, which depends on the lease topic ending at `at`: no
    /// promise binds it. If so, it makes none until it has read the record there.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    /// use spokelift_lib::batch::leader::claim::Claims;
    /// let (claims, now) = (Claims::default(), Instant::now());
    /// let promise = claims.promise(now);
    /// assert!(!claims.start_claim(8, now));
    /// assert!(claims.start_claim(8, now + promise));
    /// assert_eq!(claims.promise(now + promise), Duration::ZERO);
    /// ```
    pub fn start_claim(&self, at: Offset, now: Instant) -> bool {
        let mut inner = self.lock();
        if inner.promised_until.is_some_and(|until| now < until) {
            return false;
        }
        // Of several claims at one offset, the first may be the one that takes effect.
        if inner.last_claim.is_none_or(|claim| claim.at != at) {
            inner.last_claim = Some(Claim { at, sent: now });
        }
        true
    }
}
