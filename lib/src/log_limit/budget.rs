//! Which lines are written singly.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use log::Level;

use crate::log_limit::line::EventId;

/// Single lines per second. A line takes about 15 microseconds of CPU, so this is about half a
/// percent of a core.
const LINES_PER_S: f64 = 300.0;
/// Single lines allowed in a burst.
const BURST_LINES: f64 = 1_200.0;
/// Part of the burst that is reserved for warnings and errors.
const WARNING_RESERVE_LINES: f64 = 200.0;
/// Lines that must be left for others for each line that an event has had in the same second: an
/// event with few lines is written singly while one with many is not.
const LEFT_FOR_OTHERS: f64 = 2.0;
/// Time over which the lines of an event are counted.
const SECOND: Duration = Duration::from_secs(1);
/// Events whose lines are counted in a second; all further ones count as one event.
const MAX_EVENTS: usize = 256;

/// A token bucket that limits the rate of single log lines, and shares it among the events.
#[derive(Debug)]
pub struct Budget {
    available_lines: f64,
    filled_at: Instant,
    second_began: Instant,
    /// Single lines of each event in this second.
    lines: BTreeMap<EventId, u32>,
    /// The same of the events beyond [`MAX_EVENTS`].
    lines_of_others: u32,
}

impl Budget {
    /// A full bucket.
    pub fn new(now: Instant) -> Budget {
        Budget {
            available_lines: BURST_LINES,
            filled_at: now,
            second_began: now,
            lines: BTreeMap::new(),
            lines_of_others: 0,
        }
    }

    /// Accounts for one line; returns whether it is to be written singly.
    ///
    /// ```
    /// use std::time::Instant;
    /// use log::Level;
    /// use spokelift_lib::log_limit::Budget;
    /// let now = Instant::now();
    /// let mut budget = Budget::new(now);
    /// assert!(budget.try_take_line(1, Level::Info, now));
    /// while budget.try_take_line(1, Level::Info, now) {}
    /// // Another event is not affected.
    /// assert!(budget.try_take_line(2, Level::Info, now));
    /// ```
    pub fn try_take_line(&mut self, event: EventId, level: Level, now: Instant) -> bool {
        self.fill(now);
        let reserve = if level <= Level::Warn { 0.0 } else { WARNING_RESERVE_LINES };
        let available_lines = self.available_lines;
        let lines = self.lines_of(event);
        if available_lines < reserve + 1.0 + f64::from(*lines) * LEFT_FOR_OTHERS {
            return false;
        }
        *lines += 1;
        self.available_lines -= 1.0;
        true
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.available_lines = (self.available_lines + passed * LINES_PER_S).min(BURST_LINES);
        self.filled_at = now;
        if now.saturating_duration_since(self.second_began) >= SECOND {
            self.second_began = now;
            self.lines.clear();
            self.lines_of_others = 0;
        }
    }

    fn lines_of(&mut self, event: EventId) -> &mut u32 {
        if self.lines.len() >= MAX_EVENTS && !self.lines.contains_key(&event) {
            return &mut self.lines_of_others;
        }
        self.lines.entry(event).or_default()
    }
}
