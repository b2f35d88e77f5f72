//! The mark: an entry of the store in which boxes record the newest era in which they
//! found the operator entries complete, for boxes that start later in that era.

use serde::{Deserialize, Serialize};
use tidepier_core::era::{Era, Revision};
use tidepier_core::store::Item;

/// Its key.
pub(super) const KEY: &str = "tidepier/era";

/// Its value.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Value {
    era: u64,
}

/// The entry as it is in the store.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Mark {
    pub(super) revision: Revision,
    /// The era that it names; `None` if it is absent or unreadable.
    era: Option<Era>,
}

impl Mark {
    /// The value to write for an era.
    pub(super) fn value(era: Era) -> Vec<u8> {
        let value = Value { era: era.0 };
        serde_json::to_vec(&value).expect("a number is JSON")
    }

    /// The mark after this box wrote it for an era, at this revision.
    pub(super) fn written(era: Era, revision: Revision) -> Self {
        Self {
            revision,
            era: Some(era),
        }
    }

    /// Decodes the entry; one that is unreadable names no era.
    pub(super) fn read(item: &Item) -> Self {
        let era = match serde_json::from_slice::<Value>(&item.value) {
            Ok(value) => Some(Era(value.era)),
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

    /// Whether it names this era.
    pub(super) fn names(&self, era: Era) -> bool {
        self.era == Some(era)
    }
}
