//! Turns in which nodes watch a topic of the store.
//!
//! If every node watched the topics that concern all of them, reads would grow with the number of
//! nodes. So beyond a few nodes they take turns: each rests for a random time after its turn, so
//! that on average a fixed number watch, and tells the others what is new. No node has a role that
//! another would have to take over: whichever nodes are lost, the turns of the others come as
//! before. A node whose knowledge turns out to be outdated starts a turn at once.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::transport::clock;

/// Length of a turn.
const TURN: Duration = Duration::from_millis(2_000);

/// The nodes that take turns with this one, and how many of them should watch at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Group {
    /// Number of nodes, including this one.
    pub nodes: usize,
    /// Mean number of nodes that watch.
    pub watchers: usize,
}

impl Group {
    /// How long a node rests between two turns: a time of which the mean lets `watchers` of the
    /// nodes watch. `sample`, from 0 to 1, picks it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use spokelift_lib::batch::watch::Group;
    /// assert_eq!(Group { nodes: 9, watchers: 10 }.rest(0.5), Duration::ZERO);
    /// assert_eq!(Group { nodes: 20, watchers: 10 }.rest(0.5), Duration::from_secs(2));
    /// assert_eq!(Group { nodes: 80, watchers: 10 }.rest(1.0), Duration::from_secs(28));
    /// ```
    pub fn rest(&self, sample: f64) -> Duration {
        let others = self.nodes.saturating_sub(self.watchers) as f64;
        TURN.mul_f64(2.0 * sample * others / self.watchers.max(1) as f64)
    }
}

/// The turns of a node at a topic.
pub struct Turns {
    state: Mutex<State>,
    /// Wakes the node from its rest.
    started: Notify,
    /// Number of reads that have ended.
    reads: watch::Sender<u64>,
}

struct State {
    /// When the node may rest.
    ends_at: Instant,
    is_resting: bool,
    /// When the last read ended.
    read_at: Option<Instant>,
}

impl Default for Turns {
    fn default() -> Turns {
        let state = Mutex::new(State { ends_at: clock::now(), is_resting: false, read_at: None });
        Turns { state, started: Notify::new(), reads: watch::Sender::new(0) }
    }
}

impl Turns {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the turn lock")
    }

    /// Whether this node watches; otherwise it rests.
    pub fn is_watching(&self) -> bool {
        !self.state().is_resting
    }

    /// Starts a turn now, or makes the present one last longer.
    pub fn start(&self) {
        let mut state = self.state();
        state.ends_at = clock::now() + TURN;
        state.is_resting = false;
        self.started.notify_one();
    }

    /// Waits for `time`, or until a turn is started.
    pub async fn pause(&self, time: Duration) {
        // The next read comes when the time is over, or when it is asked for.
        let _ = timeout(time, self.started.notified()).await;
    }

    /// Waits until the next turn of this node if its last one is over; returns whether it has
    /// rested.
    pub async fn rest(&self, group: Group) -> bool {
        let rest = group.rest(rand::random());
        {
            let mut state = self.state();
            if rest.is_zero() || clock::now() < state.ends_at {
                return false;
            }
            state.is_resting = true;
        }
        self.pause(rest).await;
        let mut state = self.state();
        state.ends_at = clock::now() + TURN;
        state.is_resting = false;
        true
    }

    /// Records that a read has ended, with or without a result.
    pub fn finish_read(&self) {
        self.state().read_at = Some(clock::now());
        self.reads.send_modify(|reads| *reads += 1);
    }

    /// Makes sure that the topic has been read within `max_age`: otherwise starts a turn, if none is
    /// under way, and waits for its first read, up to `limit`.
    pub async fn refresh(&self, max_age: Duration, limit: Duration) {
        let mut reads = self.reads.subscribe();
        if self.state().read_at.is_some_and(|at| clock::since(at) < max_age) {
            return;
        }
        self.start();
        // After the time limit, what was known before is all there is.
        let _ = timeout(limit, reads.changed()).await;
    }
}
