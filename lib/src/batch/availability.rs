//! Availability of the platform's services: counters of connection events, and a log line when a
//! service stops answering and when it answers again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use spokelift_platform::call::CallError;
use spokelift_platform::settings::Settings;

use crate::metrics::Counters;
use crate::transport::clock;
use crate::transport::dial::Event;
use crate::transport::dial::EventHandler;

/// Availability of one of the platform's services.
#[derive(Default)]
pub struct Availability {
    outage: Mutex<Option<Outage>>,
}

/// A time in which a service does not answer.
struct Outage {
    since: Instant,
    /// Number of calls without an answer since then.
    failed_calls: u64,
}

impl Availability {
    /// Records the result of a call to the service named `service`. A refusal is an answer.
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
        result: &Result<T, CallError>,
    ) {
        let mut outage =
            self.outage.lock().expect("no thread panics while it holds the state lock");
        if let Err(error) = result {
            counters.count(&format!("call.{service}.{}", error.kind()));
        }
        match result {
            Err(error @ (CallError::Unknown(_) | CallError::NotSent(_))) => {
                let outage = outage.get_or_insert_with(|| {
                    log::warn!(service; "platform service does not answer: {error}");
                    Outage { since: clock::now(), failed_calls: 0 }
                });
                outage.failed_calls += 1;
            }
            Ok(_) | Err(_) => {
                if let Some(Outage { since, failed_calls }) = outage.take() {
                    let lost_ms = clock::since(since).as_millis() as u64;
                    log::info!(service, lost_ms, calls = failed_calls; "platform service answers again");
                }
            }
        }
    }

    /// Whether the last call had no answer.
    pub fn is_unavailable(&self) -> bool {
        self.outage.lock().expect("no thread panics while it holds the state lock").is_some()
    }
}

/// Counts and logs connection events, by the service at the other end.
pub fn count_connections(settings: &Settings, counters: Counters) -> EventHandler {
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
            Event::Rejected => "rejected",
            Event::Unanswered { is_reused: kept, closed_idle: given_up } => {
                let addr = addr.to_string();
                log::info!(service, addr = addr.as_str(), kept, given_up; "request without an answer");
                counters.add(&format!("connection.{service}.given-up"), given_up as u64);
                if kept { "unanswered.kept" } else { "unanswered.new" }
            }
        };
        counters.count(&format!("connection.{service}.{what}"));
    })
}
