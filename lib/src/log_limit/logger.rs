//! A logger that writes lines singly while they are few, and else sums.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use log::Level;
use log::Log;
use log::Metadata;
use log::Record;
use log::kv::Value;

use crate::log_limit::budget::Budget;
use crate::log_limit::line::Line;
use crate::log_limit::line::event_of;
use crate::log_limit::summary::Event;
use crate::log_limit::summary::Summary;
use crate::transport::clock;

/// Time that a summary covers.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// A logger that passes records on to another one within a [`Budget`]. The records beyond it are
/// added up to a [`Summary`], which a thread of its own writes. The thread sleeps while there is
/// none.
pub struct RateLimited<L> {
    shared: Arc<Shared<L>>,
    /// Wakes the thread.
    wake: SyncSender<()>,
}

struct Shared<L> {
    inner: L,
    state: Mutex<State>,
}

struct State {
    budget: Budget,
    summary: Summary,
}

impl<L: Log + 'static> RateLimited<L> {
    /// Limits the rate of the records that `inner` gets.
    pub fn new(inner: L) -> RateLimited<L> {
        let state = State { budget: Budget::new(clock::now()), summary: Summary::default() };
        let shared = Arc::new(Shared { inner, state: Mutex::new(state) });
        let (wake, woken) = sync_channel(1);
        let writer = shared.clone();
        thread::spawn(move || write_summaries(&writer, &woken));
        RateLimited { shared, wake }
    }
}

/// Writes a summary at the end of each second that has one, until the logger is dropped.
fn write_summaries<L: Log>(shared: &Shared<L>, woken: &Receiver<()>) {
    while woken.recv().is_ok() {
        thread::sleep(SUMMARY_INTERVAL);
        shared.write_summary();
    }
}

impl<L: Log + 'static> Log for RateLimited<L> {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.shared.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        let shared = &self.shared;
        if !shared.inner.enabled(record.metadata()) {
            return;
        }
        let (event, level) = (event_of(record), record.level());
        if shared.state().budget.try_take_line(event, level, clock::now()) {
            shared.inner.log(record);
            return;
        }
        // Values are formatted without the lock, since their code may log.
        let line = Line::read(record);
        let is_first = shared.state().summary.add(event, level, record.target(), &line);
        if is_first {
            // If the channel is full, the thread is about to wake.
            let _ = self.wake.try_send(());
        }
    }

    /// Writes the summary so far.
    fn flush(&self) {
        self.shared.write_summary();
        self.shared.inner.flush();
    }
}

impl<L: Log> Shared<L> {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the state lock")
    }

    fn write_summary(&self) {
        let summary = std::mem::take(&mut self.state().summary);
        let other_lines = summary.other_lines;
        for event in summary.into_events() {
            self.write_event(&event);
        }
        if other_lines > 0 {
            let fields = [("lines", Value::from(other_lines))];
            let text = "log lines dropped by the rate limit";
            self.write(Level::Warn, module_path!(), text, &fields);
        }
    }

    fn write_event(&self, event: &Event) {
        let shown = event.fields();
        let mut fields = vec![("event", Value::from(event.text()))];
        fields.push(("lines", Value::from(event.lines)));
        fields.extend(shown.iter().map(|(key, value)| (key.as_str(), Value::from(value.as_str()))));
        self.write(event.level, &event.target, "summary", &fields);
    }

    fn write(&self, level: Level, target: &str, text: &str, fields: &[(&str, Value<'_>)]) {
        let mut record = Record::builder();
        record.level(level).target(target).key_values(&fields);
        self.inner.log(&record.args(format_args!("{text}")).build());
    }
}
