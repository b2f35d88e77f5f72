//! Revisions as messages carry them: a number, and the era beside it.
//!
//! Boxes of an older form know numbers alone. They ignore the era, and send none; it is
//! left out where the store tells none.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use tidepier_core::era::{Era, Revision};

/// A revision whose number is the field `revision`; for `#[serde(flatten, with)]`.
#[derive(Serialize, Deserialize)]
struct Stamp {
    revision: u64,
    #[serde(default, skip_serializing_if = "is_default_era")]
    era: u64,
}

/// Whether an era is that of a store which tells none.
#[allow(clippy::trivially_copy_pass_by_ref)] // As serde calls it.
pub(crate) fn is_default_era(era: &u64) -> bool {
    *era == 0
}

/// Writes a revision into the message that it is a part of.
pub(crate) fn serialize<S: Serializer>(revision: &Revision, to: S) -> Result<S::Ok, S::Error> {
    let stamp = Stamp {
        revision: revision.number(),
        era: revision.era().0,
    };
    stamp.serialize(to)
}

/// Reads a revision from the message that it is a part of.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Revision, D::Error> {
    let stamp = Stamp::deserialize(from)?;
    Ok(Revision::new(Era(stamp.era), stamp.revision))
}

/// A revision in a place where there is room for its number alone: whoever reads it
/// takes the era from the message. For `#[serde(with)]`.
pub(crate) mod number {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use tidepier_core::era::Revision;

    /// Writes the number.
    pub(crate) fn serialize<S: Serializer>(revision: &Revision, to: S) -> Result<S::Ok, S::Error> {
        revision.number().serialize(to)
    }

    /// Reads the number, as one of a store that tells no era.
    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Revision, D::Error> {
        u64::deserialize(from).map(Revision::of)
    }
}
