//! Limits logging: the rate of lines is bounded, a thread that logs never waits for the reader of
//! the output, and what is not written singly is added up.

mod budget;
mod line;
mod logger;
mod pipe;
mod summary;
mod tally;

pub use crate::log_limit::budget::Budget;
pub use crate::log_limit::line::EventId;
pub use crate::log_limit::line::Line;
pub use crate::log_limit::line::event_of;
pub use crate::log_limit::logger::RateLimited;
pub use crate::log_limit::pipe::Pipe;
pub use crate::log_limit::pipe::Progress;
pub use crate::log_limit::summary::Event;
pub use crate::log_limit::summary::Summary;
pub use crate::log_limit::tally::Tally;
