//! The freshness rule over random schedules: a daemon that serves by `log` or `peer` has applied
//! everything that was on the log `max_age` ago, whatever was lost, late or doubled; one that
//! serves by `quorum` knows all that any of its majority knew `max_age` ago.

use std::time::Duration;

use proptest::prelude::*;
use spokelift_lib::coordination::fresh::Basis;
use spokelift_lib::coordination::fresh::Heard;
use spokelift_lib::coordination::fresh::Own;
use spokelift_lib::coordination::fresh::judge;

const DAEMONS: usize = 5;
const MAX_AGE: u64 = 30;

#[derive(Clone, Copy, Debug)]
enum Event {
    Append,
    /// A read of the log that began some time ago ends now.
    Read {
        daemon: usize,
        took: u64,
    },
    /// A heartbeat sent some time ago arrives now; its receiver knows that it was sent no earlier
    /// than some time before that.
    Beat {
        from: usize,
        to: usize,
        took: u64,
        slack: u64,
    },
    /// A daemon takes what a peer has applied, as catching up does.
    CatchUp {
        daemon: usize,
        peer: usize,
    },
    Wait(u64),
}

#[derive(Clone, Copy, Debug, Default)]
struct Beat {
    sent: u64,
    next: u64,
    log_age: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Daemon {
    next: u64,
    log_read: Option<u64>,
    heard: [Option<(u64, Beat)>; DAEMONS],
}

/// What a daemon had applied, and when its last read of the log began.
type Past = (u64, Option<u64>);

#[derive(Clone, Debug, Default)]
struct World {
    now: u64,
    appended: Vec<u64>,
    daemons: [Daemon; DAEMONS],
    /// Every past moment, so that late messages carry what was true when they were sent.
    past: Vec<(u64, [Past; DAEMONS])>,
}

impl World {
    fn remember(&mut self) {
        let state = self
            .daemons
            .each_ref()
            .map(|daemon| (daemon.next, daemon.log_read));
        self.past.push((self.now, state));
    }

    /// What a daemon was at a moment.
    fn at(&self, daemon: usize, moment: u64) -> Past {
        let state = self.past.iter().rev().find(|(time, _)| *time <= moment);
        state.map_or((0, None), |(_, daemons)| daemons[daemon])
    }

    fn on_log_at(&self, moment: u64) -> u64 {
        self.appended.iter().filter(|time| **time < moment).count() as u64
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Append => self.appended.push(self.now),
            Event::Read { daemon, took } => {
                let begun = self.now.saturating_sub(took);
                // The log answers with at least what was there when the read began.
                let own = &mut self.daemons[daemon];
                own.next = own
                    .next
                    .max(self.appended.iter().filter(|t| **t <= begun).count() as u64);
                own.log_read = Some(own.log_read.unwrap_or(0).max(begun));
            }
            Event::Beat {
                from,
                to,
                took,
                slack,
            } if from != to => {
                let sent = self.now.saturating_sub(took);
                let (next, log_read) = self.at(from, sent);
                let log_age = log_read.map(|read| sent.saturating_sub(read));
                let newer = self.daemons[to].heard[from].is_none_or(|(_, beat)| beat.sent < sent);
                if newer {
                    let beat = Beat {
                        sent,
                        next,
                        log_age,
                    };
                    self.daemons[to].heard[from] = Some((sent.saturating_sub(slack), beat));
                }
            }
            Event::Beat { .. } => {}
            Event::CatchUp { daemon, peer } => {
                let theirs = self.daemons[peer].next;
                let own = &mut self.daemons[daemon];
                own.next = own.next.max(theirs);
            }
            Event::Wait(time) => self.now += time,
        }
        self.remember();
    }

    fn basis(&self, daemon: usize) -> Basis {
        let own = &self.daemons[daemon];
        let log_age = own.log_read.map(|read| millis(self.now - read));
        let heard = own.heard.iter().flatten().filter_map(|(sent_after, beat)| {
            let age = self.now - sent_after;
            let log_age = beat.log_age.map(|own| millis(own + age));
            (age < MAX_AGE).then_some(Heard {
                next: beat.next,
                log_age,
            })
        });
        let heard: Vec<Heard> = heard.collect();
        judge(
            Own {
                next: own.next,
                log_age,
            },
            &heard,
            DAEMONS,
            millis(MAX_AGE),
        )
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
        8 => (daemon(), daemon(), 0u64..25, 0u64..4).prop_map(|(from, to, took, slack)| Event::Beat { from, to, took, slack }),
        3 => (daemon(), daemon()).prop_map(|(daemon, peer)| Event::CatchUp { daemon, peer }),
        5 => (1u64..12).prop_map(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..Default::default() })]

    #[test]
    fn who_serves_knows_what_was_in_force(schedule in prop::collection::vec(events(), 1..150)) {
        let mut world = World { now: 1000, ..World::default() };
        world.remember();
        for event in schedule {
            world.step(event);
            for daemon in 0..DAEMONS {
                let next = world.daemons[daemon].next;
                let then = world.now.saturating_sub(MAX_AGE);
                match world.basis(daemon) {
                    Basis::Log | Basis::Peer => {
                        prop_assert!(next >= world.on_log_at(then), "{daemon} is behind: {world:?}");
                    }
                    Basis::Quorum => {
                        let heard = world.daemons[daemon].heard.iter().enumerate();
                        for (peer, _) in heard.filter(|(_, heard)| heard.is_some_and(|(at, _)| at > then)) {
                            prop_assert!(next >= world.at(peer, then).0);
                        }
                    }
                    Basis::Stale => {}
                }
            }
        }
    }
}
