//! View of the boxes that are not in service.

use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::batch::cell::Cell;

/// A box that is not in service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Box {
    /// Its id.
    pub id: String,
    /// Its state.
    pub state: String,
    /// The service that it belongs to, or to which it moves.
    pub service: String,
    /// What has it: a move, a switch-off or a wave; `None` if nothing has.
    pub purpose: Option<String>,
    /// How long it has had this state, in seconds.
    pub seconds: f64,
}

/// The boxes that are not in service, those with the same state for longest first.
pub fn boxes(cell: &Cell, now: Instant) -> Vec<Box> {
    let mut shown: Vec<Box> = cell
        .box_states
        .iter()
        .map(|(id, status, since)| Box {
            id: id.clone(),
            state: status.state.name().to_owned(),
            service: status.service.clone(),
            purpose: status.purpose.as_ref().map(ToString::to_string),
            seconds: now.saturating_duration_since(since).as_secs_f64(),
        })
        .collect();
    shown.sort_by(|one, other| {
        other.seconds.total_cmp(&one.seconds).then_with(|| one.id.cmp(&other.id))
    });
    shown
}
