//! The entry of the store in which boxes keep the era in which they found the operator's
//! entries whole, for boxes that start in it.

use serde::{Deserialize, Serialize};
use tidepier_core::era::{Era, Revision};
use tidepier_core::store::Item;

/// Where it lies.
pub(super) const KEY: &str = "tidepier/era";

/// What it holds.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Kept {
    era: u64,
}

/// The entry as the store has it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Mark {
    /// Its revision.
    pub(super) revision: Revision,
    /// The era that it names.
    era: Option<Era>,
}

impl Mark {
    /// What is written for an era.
    pub(super) fn value(era: Era) -> Vec<u8> {
        let kept = Kept { era: era.0 };
        serde_json::to_vec(&kept).expect("a number is JSON")
    }

    /// What was written for an era, in a change that made this state.
    pub(super) fn written(era: Era, revision: Revision) -> Self {
        Self {
            revision,
            era: Some(era),
        }
    }

    /// The entry as an item tells it; one that cannot be read names no era.
    pub(super) fn read(item: &Item) -> Self {
        let era = match serde_json::from_slice::<Kept>(&item.value) {
            Ok(kept) => Some(Era(kept.era)),
            Err(error) => {
                log::error!(target: "belief", "event=mark_invalid why=\"{error}\"");
                None
            }
        };
        Self {
            revision: item.revision,
            era,
        }
    }

    /// Whether it names an era.
    pub(super) fn names(&self, era: Era) -> bool {
        self.era == Some(era)
    }
}
