//! Latency histograms for the metrics address.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Upper bound of the histograms, in milliseconds; longer times are recorded as this value.
const MAX_TRACKED_MS: u64 = 600_000;
/// Significant decimal digits of a recorded time.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles reported for each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Histograms by name.
#[derive(Default)]
pub struct Latencies {
    by_name: Mutex<BTreeMap<String, Histogram<u64>>>,
}

impl Latencies {
    /// Records a duration in the histogram `name`, with a resolution of 1 ms.
    ///
    /// ```
    /// use std::time::Duration;
    /// use spokelift_lib::latency::Latencies;
    /// let latencies = Latencies::default();
    /// latencies.record("client.get", Duration::from_millis(7));
    /// assert!(latencies.render().contains("client_get_ms{quantile=\"0.99\"} 7\n"));
    /// ```
    pub fn record(&self, name: &str, elapsed: Duration) {
        let mut by_name =
            self.by_name.lock().expect("no thread panics while it holds the histograms lock");
        if !by_name.contains_key(name) {
            let histogram = Histogram::new_with_bounds(1, MAX_TRACKED_MS, SIGNIFICANT_DIGITS);
            by_name.insert(name.to_owned(), histogram.expect("the bounds are constants"));
        }
        if let Some(histogram) = by_name.get_mut(name) {
            histogram.saturating_record(elapsed.as_millis() as u64);
        }
    }

    /// Renders all histograms in the Prometheus text format: for each, the quantiles in
    /// milliseconds and the count.
    pub fn render(&self) -> String {
        let by_name =
            self.by_name.lock().expect("no thread panics while it holds the histograms lock");
        let mut text = String::new();
        for (name, histogram) in by_name.iter() {
            let name = name.replace(['.', '-'], "_");
            for quantile in QUANTILES {
                let millis = histogram.value_at_quantile(quantile);
                writeln!(text, "{name}_ms{{quantile=\"{quantile}\"}} {millis}")
                    .expect("text can be written to memory");
            }
            writeln!(text, "{name}_ms_count {}", histogram.len())
                .expect("text can be written to memory");
        }
        text
    }
}
