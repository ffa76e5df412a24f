//! What a summary needs of a log line.

use std::fmt;
use std::fmt::Write;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::ops::Range;

use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;

/// Identifies an event: the place in the code that logs it.
pub type EventId = u64;

/// Fields of a line that are read; further ones are ignored.
const MAX_FIELDS: usize = 12;
/// Bytes of a value that are read; the rest is cut off.
const MAX_VALUE_BYTES: usize = 64;

/// The event that a record belongs to.
///
/// ```
/// use spokelift_lib::log_limit::event_of;
/// let record = |text| log::Record::builder().args(text).line(Some(7)).build();
/// assert_eq!(event_of(&record(format_args!("start"))), event_of(&record(format_args!("start"))));
/// assert_ne!(event_of(&record(format_args!("start"))), event_of(&record(format_args!("stop"))));
/// ```
pub fn event_of(record: &Record<'_>) -> EventId {
    let mut hasher = DefaultHasher::new();
    let place = (record.file(), record.line());
    (record.level(), record.target(), place, record.args().as_str()).hash(&mut hasher);
    hasher.finish()
}

/// A log line as read for a summary: its text and its fields, each up to a bound.
pub struct Line<'a> {
    /// The text, if it is the same each time.
    pub fixed_text: Option<&'static str>,
    /// All values, one after the other.
    buffer: String,
    text: Range<usize>,
    fields: Vec<Field<'a>>,
}

struct Field<'a> {
    key: Key<'a>,
    value: Range<usize>,
    number: Option<f64>,
}

impl<'a> Line<'a> {
    /// Reads a record.
    pub fn read(record: &'a Record<'a>) -> Line<'a> {
        let fixed_text = record.args().as_str();
        let mut line = Line { fixed_text, buffer: String::new(), text: 0..0, fields: Vec::new() };
        if fixed_text.is_none() {
            line.text = line.push(record.args());
        }
        // The visitor returns no errors.
        let _ = record.key_values().visit(&mut line);
        line
    }

    /// The text, if it is formatted with values; cut off at a bound.
    pub fn formatted_text(&self) -> Option<&str> {
        self.fixed_text.is_none().then(|| &self.buffer[self.text.clone()])
    }

    /// The fields: key, value as text, and the value if it is a number.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &str, Option<f64>)> {
        self.fields
            .iter()
            .map(|field| (field.key.as_str(), &self.buffer[field.value.clone()], field.number))
    }

    fn push(&mut self, value: impl fmt::Display) -> Range<usize> {
        let start = self.buffer.len();
        let mut writer = Bounded { buffer: &mut self.buffer, left: MAX_VALUE_BYTES };
        // It fails once the bound is reached.
        let _ = write!(writer, "{value}");
        start..self.buffer.len()
    }
}

impl<'a> VisitSource<'a> for Line<'a> {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), Error> {
        if self.fields.len() < MAX_FIELDS {
            let number = value.to_f64().or_else(|| value.to_i64().map(|number| number as f64));
            let number = number.or_else(|| value.to_u64().map(|number| number as f64));
            let value = self.push(value);
            self.fields.push(Field { key, value, number });
        }
        Ok(())
    }
}

/// Appends to a string until a number of bytes is used up.
struct Bounded<'a> {
    buffer: &'a mut String,
    left: usize,
}

impl Write for Bounded<'_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let end = text.floor_char_boundary(self.left);
        self.buffer.push_str(&text[..end]);
        self.left -= end;
        if end < text.len() { Err(fmt::Error) } else { Ok(()) }
    }
}
