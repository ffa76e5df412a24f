//! What the leader expects of each service: how long a job that arrives now would wait.
//!
//! The leader publishes it to all nodes, so that a node can refuse a job at once that could not be
//! done in time. See docs/design/outlook.md.

pub mod arrival;
pub mod known;
pub mod measure;
pub mod published;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use spokelift_platform::worker::Token;

/// Amount of work: thousandths of a core times milliseconds.
pub type Work = u64;

/// The outlook of all services. The newest is the one with the highest leader and, of the same
/// leader, the highest number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outlook {
    /// Fencing token of the leader that made it.
    pub leader: Token,
    /// Incarnation of the leader's node.
    pub incarnation: u64,
    /// Counts the outlooks of this leader from 1.
    pub number: u64,
    /// How long ago it was made when it was sent, in milliseconds; without the time on the way.
    pub age_ms: u64,
    /// The services that are short of capacity, by name; a service without an entry is not.
    pub services: BTreeMap<String, Service>,
}

/// The outlook of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// CPU of its schedulable workers, in thousandths of a core.
    pub capacity: u64,
    /// CPU that it could get in addition: of the boxes on their way to it, and of all others that
    /// no other service wants. In thousandths of a core.
    pub incoming: u64,
    /// The most free CPU on one of its workers, in thousandths of a core.
    pub free: u32,
    /// The waiting work, in the order in which it is placed.
    pub classes: Vec<Class>,
}

/// Waiting work of one priority, of jobs that accounts sent either within their rates or above
/// them, and that should be done by about the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Priority of the queue; lower is placed first.
    pub priority: u32,
    /// Whether the accounts sent these jobs above their rates.
    pub is_over_rate: bool,
    /// The latest time by which these jobs should be done, in milliseconds after the outlook was
    /// made; of two jobs alike otherwise, the one that should be done first is placed first.
    pub due_ms: u64,
    /// Work of the jobs that will probably be done in time if they start now.
    pub on_time: Work,
    /// Work of the jobs that will be late; it is placed after that of all jobs on time.
    pub late: Work,
}

/// A job that is handed in.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Priority of its queue.
    pub priority: u32,
    /// Whether its account sends it above its rate.
    pub is_over_rate: bool,
    /// The time within which it should be done.
    pub objective: Duration,
    /// The least CPU that one of its tasks needs, in thousandths of a core.
    pub least_cpu: u32,
}

/// How long a job that arrives now waits at least.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// While it may still be done in time.
    pub on_time: Duration,
    /// Once it is late.
    pub late: Duration,
}

impl Service {
    /// How long a job waits at least that arrives now: for the work ahead of it, at the full
    /// capacity that the service has or could get.
    ///
    /// ```
    /// use std::time::Duration;
    /// use spokelift_lib::batch::outlook::{Arrival, Class, Service};
    /// let second = Duration::from_secs(1);
    /// let class = |is_over_rate, late| {
    ///     Class { is_over_rate, due_ms: 1_000, on_time: 2_000, late, priority: 0 }
    /// };
    /// let classes = vec![class(false, 0), class(true, 8_000)];
    /// let service = Service { capacity: 1, incoming: 1, free: 0, classes };
    /// let within = Arrival { priority: 0, is_over_rate: false, objective: second, least_cpu: 1 };
    /// assert_eq!(service.wait(&within).late, second);
    /// let above = Arrival { is_over_rate: true, ..within };
    /// assert_eq!((service.wait(&above).on_time, service.wait(&above).late), (second * 2, second * 6));
    /// let urgent = Arrival { objective: second / 2, ..within };
    /// assert_eq!(service.wait(&urgent).late, Duration::ZERO);
    /// ```
    pub fn wait(&self, arrival: &Arrival) -> Wait {
        let own_group = (arrival.priority, arrival.is_over_rate);
        let objective_ms = arrival.objective.as_millis() as u64;
        let (mut on_time, mut late) = (0u64, 0u64);
        for class in &self.classes {
            let group = (class.priority, class.is_over_rate);
            if group < own_group || (group == own_group && class.due_ms <= objective_ms) {
                on_time = on_time.saturating_add(class.on_time);
                late = late.saturating_add(class.late);
            }
        }
        let all = on_time.saturating_add(late);
        Wait { on_time: self.time_for(on_time), late: self.time_for(all) }
    }

    /// How long this work takes at the full capacity that the service has or could get.
    pub fn time_for(&self, work: Work) -> Duration {
        Duration::from_millis(work / self.capacity.saturating_add(self.incoming).max(1))
    }

    /// How long until the service could do a job in time, if it is certain now that it would be
    /// done later than `multiple` times its objective; `None` if it may be of use to its caller.
    ///
    /// The run time of the job itself counts as none: the client's estimate may be wrong by any
    /// factor.
    ///
    /// ```
    /// use std::time::Duration;
    /// use spokelift_lib::batch::outlook::{Arrival, Class, Service};
    /// let second = Duration::from_secs(1);
    /// let classes = vec![Class { on_time: 3_000, late: 4_000, ..Class::default() }];
    /// let service = Service { capacity: 1, incoming: 0, free: 0, classes };
    /// let job = Arrival { priority: 0, is_over_rate: false, objective: second * 2, least_cpu: 1 };
    /// assert_eq!(service.time_until_served(&job, 3), Some(second * 5));
    /// assert_eq!(service.time_until_served(&job, 4), None);
    /// let patient = Arrival { objective: second * 3, ..job };
    /// assert_eq!(service.time_until_served(&patient, 1), None, "it may be done in time");
    /// let fits = Service { free: 1, ..service };
    /// assert_eq!(fits.time_until_served(&job, 3), None, "it can start at once");
    /// ```
    pub fn time_until_served(&self, arrival: &Arrival, multiple: u32) -> Option<Duration> {
        let wait = self.wait(arrival);
        let is_useless = wait.late > arrival.objective.saturating_mul(multiple);
        let is_certain =
            is_useless && wait.on_time > arrival.objective && arrival.least_cpu > self.free;
        is_certain.then(|| wait.late.saturating_sub(arrival.objective))
    }
}
