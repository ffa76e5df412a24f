//! Report of a trial: a table and one line of JSON.

use std::time::Duration;

use serde::Serialize;
use spokelift_lib::metrics::Totals;
use spokelift_testutils::ledger::Counts;

use crate::output::pairs;

/// Results of a trial.
#[derive(Debug, Serialize)]
pub struct Report {
    #[serde(flatten)]
    counts: Counts,
    rollout_seconds: f64,
    config_everywhere_ms: u64,
    plans_done: bool,
    /// Counters of the daemons; shown in the table, ignored by [`Report::violations`].
    #[serde(skip)]
    totals: Totals,
}

impl Report {
    pub fn new(
        counts: Counts,
        rollout: Duration,
        propagation: Duration,
        plans_done: bool,
        totals: Totals,
    ) -> Report {
        Report {
            counts,
            rollout_seconds: rollout.as_secs_f64(),
            config_everywhere_ms: propagation.as_millis() as u64,
            plans_done,
            totals,
        }
    }

    /// Names of the violated invariants.
    pub fn violations(&self) -> Vec<String> {
        let mut violations: Vec<String> =
            self.counts.violations().into_iter().map(str::to_owned).collect();
        if !self.plans_done {
            violations.push("a plan did not end".to_owned());
        }
        if self.counts.answered == 0 {
            violations.push("nothing was answered".to_owned());
        }
        violations
    }

    pub fn table(&self) -> String {
        let counts = &self.counts;
        let rows = [
            ("requests", counts.requests.to_string()),
            ("answered", counts.answered.to_string()),
            ("refused, not run", counts.refused_not_run.to_string()),
            ("unknown", counts.unknown.to_string()),
            ("lost", counts.lost.to_string()),
            ("doubled", counts.doubled.to_string()),
            ("crossed", counts.crossed.to_string()),
            ("told not run, yet run", counts.false_not_run.to_string()),
            ("cut by a planned stop", counts.cut_by_planned_stop.to_string()),
            ("budget breaches", counts.budget_breaches.to_string()),
            ("boxes in two pools", counts.boxes_in_two_pools.to_string()),
            ("work after leaving", counts.work_after_leaving.to_string()),
            ("over a box's slots", counts.over_slots.to_string()),
            ("buffer, box-seconds", format!("{:.1}", counts.buffer_cost_box_seconds)),
            ("roll-out, seconds", format!("{:.1}", self.rollout_seconds)),
            ("boxes moved", counts.moves.to_string()),
            ("config everywhere, ms", self.config_everywhere_ms.to_string()),
        ];
        let counters = self.totals.iter().filter(|(name, _)| is_shown(name));
        let counters = pairs(counters.map(|(name, total)| (name.as_str(), total.to_string())));
        format!(
            "seen by workers and callers\n{}\n\ncounted by the daemons\n{counters}",
            pairs(rows)
        )
    }
}

fn is_shown(name: &str) -> bool {
    let shown = [
        "call.refused",
        "call.retried",
        "call.unknown",
        "drive.",
        "tend.",
        "log.append",
        "snapshot.",
        "catch-up.",
    ];
    shown.iter().any(|prefix| name.starts_with(prefix))
}
