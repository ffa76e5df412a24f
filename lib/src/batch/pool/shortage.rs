//! What services want beyond what they have and will soon receive.

use crate::batch::pool::load::Load;

/// A shortage of a service. The order is that in which shortages are met, the most urgent last.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Shortage {
    /// Whether jobs within the rates of their accounts ask for it.
    pub is_within_rates: bool,
    /// Thousandths of a core.
    pub missing: u64,
    /// The service.
    pub service: String,
}

impl Shortage {
    /// The shortages of a service with boxes of `incoming` thousandths of a core on their way to
    /// it: what jobs within the rates of their accounts ask for, and what only others do.
    ///
    /// ```
    /// use spokelift_lib::batch::pool::load::Load;
    /// use spokelift_lib::batch::pool::shortage::Shortage;
    /// let load = Load { arrival_rate: 85_000, over_rate: 60_000, ..Load::default() };
    /// let missing = |incoming| -> Vec<(bool, u64)> {
    ///     let shortages = Shortage::of("work", &load, incoming);
    ///     shortages.iter().map(|shortage| (shortage.is_within_rates, shortage.missing)).collect()
    /// };
    /// assert_eq!(missing(0), [(true, 40_000), (false, 60_000)]);
    /// assert_eq!(missing(64_000), [(false, 36_000)]);
    /// ```
    pub fn of(service: &str, load: &Load, incoming: u64) -> Vec<Shortage> {
        let unspread = load.min_workers.saturating_sub(load.workers) * load.mean_worker_cpu();
        let within_rates = load
            .wanted_within_rates()
            .max(load.capacity + unspread)
            .max(load.capacity + load.unplaced);
        let supply = load.capacity + incoming;
        let missing = within_rates.saturating_sub(supply);
        let over_rate = load.wanted().saturating_sub(supply + missing);
        let shortages = [(true, missing), (false, over_rate)].map(|(is_within_rates, missing)| {
            Shortage { is_within_rates, missing, service: service.to_owned() }
        });
        shortages.into_iter().filter(|shortage| shortage.missing > 0).collect()
    }
}
