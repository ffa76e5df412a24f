//! The lines that are not written singly, added up by event.

use std::collections::BTreeMap;

use log::Level;

use crate::log_limit::line::EventId;
use crate::log_limit::line::Line;
use crate::log_limit::tally::Tally;

/// Events in a summary; lines of further ones are only counted.
const MAX_EVENTS: usize = 64;
/// Fields of an event that are added up; further ones are ignored.
const MAX_FIELDS: usize = 16;

/// Lines added up by event.
#[derive(Debug, Default)]
pub struct Summary {
    events: BTreeMap<EventId, Event>,
    /// Lines of the events beyond the bound.
    pub other_lines: u64,
}

impl Summary {
    /// Adds a line; returns whether it is the first one.
    ///
    /// ```
    /// use log::Level;
    /// use spokelift_lib::log_limit::{Line, Summary, event_of};
    /// let mut summary = Summary::default();
    /// let fields = [("why", "busy")];
    /// let fields = fields.as_slice();
    /// let text = format_args!("start refused");
    /// let record = log::Record::builder().args(text).key_values(&fields).build();
    /// assert!(summary.add(event_of(&record), Level::Info, "place", &Line::read(&record)));
    /// assert!(!summary.add(event_of(&record), Level::Info, "place", &Line::read(&record)));
    /// let event = &summary.into_events()[0];
    /// assert_eq!((event.text(), event.lines), ("start refused", 2));
    /// assert_eq!(event.fields(), [("why".to_owned(), "busy=2".to_owned())]);
    /// ```
    pub fn add(&mut self, event: EventId, level: Level, target: &str, line: &Line<'_>) -> bool {
        let is_first = self.events.is_empty() && self.other_lines == 0;
        if self.events.len() >= MAX_EVENTS && !self.events.contains_key(&event) {
            self.other_lines += 1;
            return is_first;
        }
        let event = self.events.entry(event).or_insert_with(|| Event::new(level, target, line));
        event.add(line);
        is_first
    }

    /// The events, in the order of their targets and texts.
    pub fn into_events(self) -> Vec<Event> {
        let mut events: Vec<Event> = self.events.into_values().collect();
        events.sort_by(|one, other| (&one.target, &one.text).cmp(&(&other.target, &other.text)));
        events
    }
}

/// The lines of one event.
#[derive(Debug)]
pub struct Event {
    /// Their level.
    pub level: Level,
    /// Their target.
    pub target: String,
    /// How many they are.
    pub lines: u64,
    text: String,
    /// The texts, if they are formatted with values.
    texts: Tally,
    fields: Vec<(String, Tally)>,
}

impl Event {
    fn new(level: Level, target: &str, line: &Line<'_>) -> Event {
        let text = line.fixed_text.or(line.formatted_text()).unwrap_or_default().to_owned();
        let target = target.to_owned();
        Event { level, target, lines: 0, text, texts: Tally::default(), fields: Vec::new() }
    }

    fn add(&mut self, line: &Line<'_>) {
        self.lines += 1;
        if let Some(text) = line.formatted_text() {
            self.text.truncate(common_prefix(&self.text, text));
            self.texts.add(text, None);
        }
        for (key, value, number) in line.fields() {
            if let Some(tally) = self.tally_of(key) {
                tally.add(value, number);
            }
        }
    }

    fn tally_of(&mut self, key: &str) -> Option<&mut Tally> {
        let known = self.fields.iter().position(|(known, _)| known == key);
        if known.is_none() && self.fields.len() >= MAX_FIELDS {
            return None;
        }
        let index = known.unwrap_or_else(|| {
            self.fields.push((key.to_owned(), Tally::default()));
            self.fields.len() - 1
        });
        Some(&mut self.fields[index].1)
    }

    /// The text of its lines; what they begin with if it varies.
    pub fn text(&self) -> &str {
        self.text.trim_end()
    }

    /// What its lines say, by field: see [`Tally`].
    pub fn fields(&self) -> Vec<(String, String)> {
        let mut shown = Vec::new();
        if !self.texts.is_empty() {
            shown.push(("texts".to_owned(), self.texts.to_string()));
        }
        shown.extend(self.fields.iter().map(|(key, tally)| (key.clone(), tally.to_string())));
        shown
    }
}

/// Length in bytes of what two texts begin with.
fn common_prefix(one: &str, other: &str) -> usize {
    let same = one.chars().zip(other.chars()).take_while(|(one, other)| one == other);
    same.map(|(one, _)| one.len_utf8()).sum()
}
