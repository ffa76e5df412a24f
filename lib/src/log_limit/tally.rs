//! The values of a field in many lines.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

/// Values that are counted each by itself; further ones only count as others.
const MAX_VALUES: usize = 8;
/// Values that are shown of a field with many.
const SAMPLES: usize = 3;

/// Counts the values of a field. It is shown by its values if these are few (`busy=2, full=1`, the
/// rest as `others=3`), by minimum, maximum and sum if they are many numbers (`0..31 sum=95`), and
/// by the first ones if they are many texts, such as ids (`a, b, c, ...`).
///
/// ```
/// use spokelift_lib::log_limit::Tally;
/// let mut reasons = Tally::default();
/// for reason in ["busy", "full", "busy"] {
///     reasons.add(reason, None);
/// }
/// assert_eq!(reasons.to_string(), "busy=2, full=1");
/// let (mut waits, mut ids) = (Tally::default(), Tally::default());
/// for wait in 10..30 {
///     waits.add(&wait.to_string(), Some(f64::from(wait)));
///     ids.add(&format!("w{wait}"), None);
/// }
/// assert_eq!(waits.to_string(), "10..29 sum=390");
/// assert_eq!(ids.to_string(), "w10, w11, w12, ...");
/// ```
#[derive(Debug, Default)]
pub struct Tally {
    values: Vec<(String, u64)>,
    others: u64,
    numbers: Option<Numbers>,
}

#[derive(Clone, Copy, Debug)]
struct Numbers {
    min: f64,
    max: f64,
    sum: f64,
}

impl Tally {
    /// Adds a value, with the number that it is, if it is one.
    pub fn add(&mut self, value: &str, number: Option<f64>) {
        if let Some(number) = number {
            let one = Numbers { min: number, max: number, sum: 0.0 };
            let numbers = self.numbers.get_or_insert(one);
            numbers.min = numbers.min.min(number);
            numbers.max = numbers.max.max(number);
            numbers.sum += number;
        }
        if let Some((_, lines)) = self.values.iter_mut().find(|(known, _)| known == value) {
            *lines += 1;
        } else if self.values.len() < MAX_VALUES {
            self.values.push((value.to_owned(), 1));
        } else {
            self.others += 1;
        }
    }

    /// Whether it has no values.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Whether most lines have values of their own.
    fn is_of_many(&self) -> bool {
        let counted: u64 = self.values.iter().map(|(_, lines)| lines).sum();
        self.others > counted
    }
}

impl Display for Tally {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.numbers {
            Some(numbers) if self.others > 0 => {
                let Numbers { min, max, sum } = numbers;
                return write!(f, "{min}..{max} sum={sum}");
            }
            _ => {}
        }
        if self.is_of_many() {
            for (value, _) in self.values.iter().take(SAMPLES) {
                write!(f, "{value}, ")?;
            }
            return f.write_str("...");
        }
        for (number, (value, lines)) in self.values.iter().enumerate() {
            let separator = if number == 0 { "" } else { ", " };
            write!(f, "{separator}{value}={lines}")?;
        }
        if self.others > 0 {
            write!(f, ", others={}", self.others)?;
        }
        Ok(())
    }
}
