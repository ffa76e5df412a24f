//! The freshness rule under random schedules. A daemon that serves by `log` or `peer` has applied
//! everything that was on the log `max_age` ago, whichever messages were lost, delayed or
//! duplicated. One that serves by `quorum` has applied all that any majority had applied `max_age`
//! ago, even if daemons were replaced by empty ones meanwhile.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use spokelift_lib::coordination::freshness::Basis;
use spokelift_lib::coordination::freshness::OwnState;
use spokelift_lib::coordination::freshness::PeerState;
use spokelift_lib::coordination::freshness::becomes_complete;
use spokelift_lib::coordination::freshness::evaluate;

const DAEMONS: usize = 3;
const MAX_AGE: u64 = 30;

#[derive(Clone, Copy, Debug)]
enum Event {
    Append,
    /// A read of the log that started `took` ago ends now.
    Read {
        daemon: usize,
        took: u64,
    },
    /// A heartbeat sent `took` ago arrives now; its receiver knows that it was sent no earlier than
    /// `slack` before that.
    Heartbeat {
        from: usize,
        to: usize,
        took: u64,
        slack: u64,
    },
    /// A read that does not reach the log's end.
    ReadPart {
        daemon: usize,
    },
    /// A daemon is replaced by an empty one.
    Restart {
        daemon: usize,
    },
    /// A daemon catches up with what a peer has applied.
    CatchUp {
        daemon: usize,
        peer: usize,
    },
    Wait(u64),
}

#[derive(Clone, Copy, Debug, Default)]
struct Heartbeat {
    sent: u64,
    next: u64,
    log_age: Option<u64>,
    complete: bool,
}

#[derive(Clone, Debug, Default)]
struct Daemon {
    next: u64,
    log_read: Option<u64>,
    complete: bool,
    started: u64,
    heartbeats: [Option<(u64, Heartbeat)>; DAEMONS],
}

/// A past state of a daemon: its next offset, when its last read of the log started, whether it was
/// complete.
type PastState = (u64, Option<u64>, bool);

#[derive(Clone, Debug, Default)]
struct Simulation {
    now: u64,
    appended: Vec<u64>,
    daemons: [Daemon; DAEMONS],
    /// The states after every event, so that delayed messages carry the state at which they were
    /// sent.
    past: Vec<(u64, [PastState; DAEMONS])>,
    /// After every event, the offset that a majority had applied.
    majority_offsets: Vec<(u64, u64)>,
}

impl Simulation {
    fn record_states(&mut self) {
        let state =
            self.daemons.each_ref().map(|daemon| (daemon.next, daemon.log_read, daemon.complete));
        self.past.push((self.now, state));
        let mut next = self.daemons.each_ref().map(|daemon| daemon.next);
        next.sort_unstable();
        // A majority has applied at least the median.
        let majority = next[DAEMONS / 2];
        let before = self.majority_offsets.last().map_or(0, |(_, offset)| *offset);
        self.majority_offsets.push((self.now, majority.max(before)));
    }

    /// The highest offset that a majority had applied before `moment`.
    fn majority_offset_at(&self, moment: u64) -> u64 {
        let past = self.majority_offsets.iter().rev().find(|(time, _)| *time < moment);
        past.map_or(0, |(_, offset)| *offset)
    }

    /// The state of a daemon at `moment`.
    fn state_at(&self, daemon: usize, moment: u64) -> PastState {
        let state = self.past.iter().rev().find(|(time, _)| *time <= moment);
        state.map_or((0, None, false), |(_, daemons)| daemons[daemon])
    }

    /// Number of records on the log before `moment`.
    fn on_log_at(&self, moment: u64) -> u64 {
        self.appended.iter().filter(|time| **time < moment).count() as u64
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Append => self.appended.push(self.now),
            Event::Read { daemon, took } => {
                let started_at = self.now.saturating_sub(took).max(self.daemons[daemon].started);
                // The log answers with at least the records that it held when the read started.
                let own = &mut self.daemons[daemon];
                own.next =
                    own.next.max(self.appended.iter().filter(|t| **t <= started_at).count() as u64);
                own.log_read = Some(own.log_read.unwrap_or(0).max(started_at));
                own.complete = true;
            }
            Event::ReadPart { daemon } => {
                // The first page of a long log.
                let half = self.appended.len() as u64 / 2;
                let own = &mut self.daemons[daemon];
                own.next = own.next.max(half);
            }
            Event::Restart { daemon } => {
                self.daemons[daemon] = Daemon { started: self.now, ..Daemon::default() };
            }
            Event::Heartbeat { from, to, took, slack } if from != to => {
                let sent = self.now.saturating_sub(took);
                let (next, log_read, complete) = self.state_at(from, sent);
                let log_age = log_read.map(|read| sent.saturating_sub(read));
                // It echoes a heartbeat of the receiver's incarnation, so it was sent after that
                // started.
                let earliest_sent_at = sent.saturating_sub(slack);
                let same_incarnation = earliest_sent_at >= self.daemons[to].started;
                let newer =
                    self.daemons[to].heartbeats[from].is_none_or(|(_, last)| last.sent < sent);
                if newer && same_incarnation {
                    let heartbeat = Heartbeat { sent, next, log_age, complete };
                    self.daemons[to].heartbeats[from] = Some((earliest_sent_at, heartbeat));
                }
            }
            Event::Heartbeat { .. } => {}
            Event::CatchUp { daemon, peer } => {
                let peer_next = self.daemons[peer].next;
                let own = &mut self.daemons[daemon];
                own.next = own.next.max(peer_next);
            }
            Event::Wait(time) => self.now += time,
        }
        self.record_states();
    }

    fn basis(&mut self, daemon: usize) -> Basis {
        let own = &self.daemons[daemon];
        let log_age = own.log_read.map(|read| millis(self.now - read));
        let peers = own.heartbeats.iter().flatten().filter_map(|(earliest_sent_at, heartbeat)| {
            let age = self.now - earliest_sent_at;
            let log_age = heartbeat.log_age.map(|own| millis(own + age));
            (age < MAX_AGE).then_some(PeerState {
                next: heartbeat.next,
                log_age,
                is_complete: heartbeat.complete,
            })
        });
        let peers: Vec<PeerState> = peers.collect();
        let uptime = millis(self.now - own.started);
        let own = OwnState { next: own.next, log_age, is_complete: own.complete, uptime };
        let max_age = millis(MAX_AGE);
        self.daemons[daemon].complete |= becomes_complete(own, &peers, DAEMONS, max_age);
        evaluate(own, &peers, DAEMONS, max_age)
    }
}

fn millis(ticks: u64) -> Duration {
    Duration::from_millis(ticks)
}

fn events() -> impl Strategy<Value = Event> {
    let daemon = || 0..DAEMONS;
    prop_oneof![
        2 => Just(Event::Append),
        4 => (daemon(), 0u64..8).prop_map(|(daemon, took)| Event::Read { daemon, took }),
        8 => (daemon(), daemon(), 0u64..25, 0u64..4).prop_map(|(from, to, took, slack)| Event::Heartbeat { from, to, took, slack }),
        3 => (daemon(), daemon()).prop_map(|(daemon, peer)| Event::CatchUp { daemon, peer }),
        2 => daemon().prop_map(|daemon| Event::ReadPart { daemon }),
        1 => daemon().prop_map(|daemon| Event::Restart { daemon }),
        5 => (1u64..12).prop_map(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 6000,
        failure_persistence: None,
        // A fixed seed, so that the outcome does not depend on the run.
        rng_seed: RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn serving_daemon_has_applied_accepted_records(schedule in prop::collection::vec(events(), 1..150)) {
        let mut simulation = Simulation { now: 1000, ..Simulation::default() };
        simulation.record_states();
        for event in schedule {
            simulation.apply(event);
            for daemon in 0..DAEMONS {
                let next = simulation.daemons[daemon].next;
                let max_age_ago = simulation.now.saturating_sub(MAX_AGE);
                match simulation.basis(daemon) {
                    Basis::Log | Basis::Peer => {
                        prop_assert!(next >= simulation.on_log_at(max_age_ago), "{daemon} is behind: {simulation:?}");
                    }
                    Basis::Quorum => {
                        prop_assert!(next >= simulation.majority_offset_at(max_age_ago), "{daemon} has applied less than a majority: {simulation:?}");
                    }
                    Basis::Stale => {}
                }
            }
        }
    }
}
