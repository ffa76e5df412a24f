//! Which of the platform's services answer this node: counters of what happens to connections, and a
//! line in the log when a service no longer answers and when it answers again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use spokelift_platform::call::CallError;
use spokelift_platform::settings::Settings;

use crate::metrics::Counters;
use crate::transport::clock;
use crate::transport::dial::Event;
use crate::transport::dial::Watch;

/// Whether a service of the platform answers.
#[derive(Default)]
pub struct Availability {
    outage: Mutex<Option<Outage>>,
}

/// Since when a service has not answered.
struct Outage {
    since: Instant,
    /// Calls that had no answer since then.
    failed_calls: u64,
}

impl Availability {
    /// Takes in how a call to the service named `service` ended. A refusal is an answer.
    ///
    /// ```
    /// # use spokelift_lib::batch::availability::Availability;
    /// # use spokelift_lib::metrics::Counters;
    /// # use spokelift_platform::call::CallError;
    /// # use spokelift_transport::dial::ExchangeError;
    /// let (availability, counters) = (Availability::default(), Counters::new(None).unwrap());
    /// let unanswered: Result<(), _> = Err(CallError::Unknown(ExchangeError::Timeout));
    /// availability.record_result("machines", &counters, &unanswered);
    /// assert_eq!(counters.totals()["call.machines.unknown"], 1);
    /// assert!(availability.is_unavailable());
    /// availability.record_result("machines", &counters, &Ok(()));
    /// assert!(!availability.is_unavailable());
    /// ```
    pub fn record_result<T>(
        &self,
        service: &str,
        counters: &Counters,
        done: &Result<T, CallError>,
    ) {
        let mut lost = self.outage.lock().expect("no holder of the state panics");
        if let Err(error) = done {
            counters.count(&format!("call.{service}.{}", error.kind()));
        }
        match done {
            Err(error @ (CallError::Unknown(_) | CallError::NotSent(_))) => {
                let lost = lost.get_or_insert_with(|| {
                    log::warn!(service; "no answer: {error}");
                    Outage { since: clock::now(), failed_calls: 0 }
                });
                lost.failed_calls += 1;
            }
            Ok(_) | Err(_) => {
                if let Some(Outage { since, failed_calls: calls }) = lost.take() {
                    let lost_ms = clock::since(since).as_millis() as u64;
                    log::info!(service, lost_ms, calls; "answers again");
                }
            }
        }
    }

    /// Whether the last call had no answer.
    pub fn is_unavailable(&self) -> bool {
        self.outage.lock().expect("no holder of the state panics").is_some()
    }
}

/// Counts what happens to connections, by the service at their other end.
pub fn count_connections(settings: &Settings, counters: Counters) -> Watch {
    let (store, machines, advice) = (settings.store, settings.machines, settings.advice);
    Arc::new(move |addr: SocketAddr, event: Event| {
        let service = match Some(addr) {
            _ if addr == store => "store",
            addr if addr == machines => "machines",
            addr if addr == advice => "advice",
            _ => "worker",
        };
        let what = match event {
            Event::Opened => "opened",
            Event::Unreachable => "unreachable",
            Event::Unanswered { kept, given_up } => {
                let addr = addr.to_string();
                log::info!(service, addr = addr.as_str(), kept, given_up; "a request had no answer");
                counters.add(&format!("connection.{service}.given-up"), given_up as u64);
                if kept { "unanswered.kept" } else { "unanswered.new" }
            }
        };
        counters.count(&format!("connection.{service}.{what}"));
    })
}
