//! Which waiting steps still serve their callers if they start now.
//!
//! Under overload the order of the objectives alone starts each job so late that it is late, and
//! the workers are busy with jobs that nobody waits for. A job that has begun is put last only if
//! that is nearly certain, as clients' estimates may be off by a factor. One that has not begun
//! comes after others as soon as it may be late, so that what is begun is also done in time. The
//! order only matters while tasks wait for resources. If its tasks take longer than estimated,
//! so does its critical path, by which its objective is measured; both are therefore looked at with
//! the same run times: the shortest and the longest that are likely. What the job's own runs have
//! shown replaces what is known of its queue, so that it comes back once they are out of line.

use std::time::Duration;
use std::time::Instant;

use crate::batch::cell::Cell;
use crate::batch::cell::Rank;
use crate::batch::history::Decision;
use crate::batch::job::Entry;
use crate::batch::job::Timeliness;

/// The likely run times lie between the quantiles of this fraction and of its complement.
const UNLIKELY: f64 = 0.1;
/// How long a verdict on a step holds at most. With a long queue, rounds come every few
/// milliseconds.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A result later than so many times the objective is of no use.
const LATEST_FACTOR: u64 = 3;

impl Cell {
    /// Groups waiting steps, each group in the order given: those that may meet their objective and
    /// long-running ones, those that will be late but of use, and those that will be of no use.
    pub(super) fn split_by_time(
        &mut self,
        ranks: Vec<Rank>,
        now: Instant,
        wall: Duration,
    ) -> [Vec<Rank>; 3] {
        let [mut on_time, mut late, mut expired] = [const { Vec::new() }; 3];
        for rank in ranks {
            let timeliness = match rank.is_finite {
                true => self.recent_timeliness(&rank, now, wall),
                false => Timeliness::OnTime,
            };
            self.note_put_last(&rank, timeliness != Timeliness::OnTime);
            let group = match timeliness {
                Timeliness::OnTime => &mut on_time,
                Timeliness::Late => &mut late,
                Timeliness::Expired => &mut expired,
            };
            group.push(rank);
        }
        [on_time, late, expired]
    }

    /// The timeliness of a step, by run times as known a short time ago at most.
    fn recent_timeliness(&mut self, rank: &Rank, now: Instant, wall: Duration) -> Timeliness {
        let entry = self.jobs.get(&rank.job);
        let run = entry.and_then(|entry| entry.find_step_run(rank.repetition, rank.step));
        let known = run.and_then(|run| run.timeliness).filter(|(_, until)| now < *until);
        if let Some((known, _)) = known {
            return known;
        }
        let (timeliness, holds_for) = self.timeliness(rank, now, wall);
        let entry = self.jobs.get_mut(&rank.job);
        if let Some(run) = entry.and_then(|entry| entry.step_run_mut(rank.repetition, rank.step)) {
            run.timeliness = Some((timeliness, now + holds_for.min(RECHECK_INTERVAL)));
        }
        timeliness
    }

    /// Records jobs that are put last, and counts them and those that come back.
    fn note_put_last(&mut self, rank: &Rank, is_put_last: bool) {
        let Some(entry) = self.jobs.get_mut(&rank.job) else { return };
        if entry.is_put_last == is_put_last {
            return;
        }
        entry.is_put_last = is_put_last;
        if is_put_last {
            self.history.record(rank.first_task(), Decision::PutLast);
        }
        self.stats.jobs_put_last += u64::from(is_put_last);
        self.stats.jobs_put_back += u64::from(!is_put_last);
    }

    /// Whether a finite step is placed among those that may meet their objective.
    pub(in crate::batch) fn may_be_on_time(
        &self,
        rank: &Rank,
        now: Instant,
        wall: Duration,
    ) -> bool {
        self.timeliness(rank, now, wall).0 == Timeliness::OnTime
    }

    /// The timeliness of a step that starts now, and for how long that holds while it waits, if no
    /// run times are learned.
    fn timeliness(&self, rank: &Rank, now: Instant, wall: Duration) -> (Timeliness, Duration) {
        let Some(entry) = self.jobs.get(&rank.job) else {
            return (Timeliness::OnTime, Duration::ZERO);
        };
        // A job that has not begun starts only if it is in time even with its tightest objective:
        // nothing is lost with it, and those that have begun need the workers.
        let likely = if entry.started { [UNLIKELY, 1.0 - UNLIKELY] } else { [UNLIKELY, UNLIKELY] };
        let best = likely.map(|certainty| {
            let rest = self.remaining_path(entry, rank.repetition, certainty, now);
            let whole = self.critical_path(entry, certainty);
            timeliness_of(entry, rank.repetition, wall + rest, whole)
        });
        best.into_iter().max().unwrap_or((Timeliness::OnTime, Duration::ZERO))
    }
}

/// How a job fares that is done at `done_at`, since the Unix epoch, and has such a critical path;
/// and how much later it may be done for that to hold.
fn timeliness_of(
    entry: &Entry,
    repetition: u32,
    done_at: Duration,
    critical_path: Duration,
) -> (Timeliness, Duration) {
    let took = done_at.saturating_sub(entry.due_from(repetition));
    let critical_path_ms = u64::try_from(critical_path.as_millis()).unwrap_or(u64::MAX);
    let objective_ms = entry.objective_ms(critical_path_ms);
    let objective = Duration::from_millis(objective_ms);
    let latest = Duration::from_millis(objective_ms.saturating_mul(LATEST_FACTOR));
    match took {
        took if took <= objective => (Timeliness::OnTime, objective - took),
        took if took <= latest => (Timeliness::Late, latest - took),
        _ => (Timeliness::Expired, Duration::MAX),
    }
}
