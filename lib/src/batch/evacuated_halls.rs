//! The data halls that the operator has evacuated: nothing is started on their workers, and no box
//! is fetched there, until the operator takes them back.

use std::collections::BTreeSet;
use std::sync::Arc;

use spokelift_platform::evacuation::HallName;
use spokelift_platform::store::Offset;

/// Names of evacuated halls.
pub type HallNames = BTreeSet<HallName>;

/// The evacuated halls, as of an offset of the operator's topic.
#[derive(Clone, Debug, Default)]
pub struct EvacuatedHalls {
    names: Arc<HallNames>,
    /// Records from this offset on are not applied yet.
    end: Offset,
}

impl EvacuatedHalls {
    /// The names of the halls.
    pub fn names(&self) -> Arc<HallNames> {
        self.names.clone()
    }

    /// Sets all halls, as read when the topic ended at `end`. Ignored if later records have been
    /// applied. Returns whether the halls have changed.
    ///
    /// ```
    /// use spokelift_lib::batch::evacuated_halls::EvacuatedHalls;
    /// let mut halls = EvacuatedHalls::default();
    /// assert!(halls.replace(["hall-1".to_owned()].into(), 7));
    /// assert!(!halls.replace(Default::default(), 6));
    /// assert!(halls.names().contains("hall-1"));
    /// ```
    pub fn replace(&mut self, names: HallNames, end: Offset) -> bool {
        if end < self.end {
            return false;
        }
        self.end = end;
        let changed = *self.names != names;
        self.names = Arc::new(names);
        changed
    }

    /// Applies the record at `offset`, by which a hall is evacuated or taken back. Ignored if it was
    /// applied before. Returns whether the halls have changed.
    ///
    /// ```
    /// use spokelift_lib::batch::evacuated_halls::EvacuatedHalls;
    /// let mut halls = EvacuatedHalls::default();
    /// assert!(halls.apply("hall-1", true, 0));
    /// assert!(halls.apply("hall-1", false, 1));
    /// assert!(!halls.apply("hall-1", true, 0));
    /// ```
    pub fn apply(&mut self, hall: &str, is_evacuated: bool, offset: Offset) -> bool {
        if offset < self.end {
            return false;
        }
        self.end = offset + 1;
        let names = Arc::make_mut(&mut self.names);
        if is_evacuated { names.insert(hall.to_owned()) } else { names.remove(hall) }
    }
}
