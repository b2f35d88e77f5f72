//! Serialization of revisions in messages: a number, and the era next to it.
//!
//! Boxes that run an older release know only the number: they ignore the era and send
//! none. The era is left out where the store reports none.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use tidepier_core::era::{Era, Revision};

/// A revision whose number is the field `revision`; for `#[serde(flatten, with)]`.
#[derive(Serialize, Deserialize)]
struct Stamp {
    revision: u64,
    #[serde(default, skip_serializing_if = "is_default_era")]
    era: u64,
}

/// Whether this is the era 0, that of a store that reports no eras.
#[allow(clippy::trivially_copy_pass_by_ref)] // As serde calls it.
pub(crate) fn is_default_era(era: &u64) -> bool {
    *era == 0
}

/// Writes a revision into the message that contains it.
pub(crate) fn serialize<S: Serializer>(revision: &Revision, to: S) -> Result<S::Ok, S::Error> {
    let stamp = Stamp {
        revision: revision.number(),
        era: revision.era().0,
    };
    stamp.serialize(to)
}

/// Reads a revision from the message that contains it.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Revision, D::Error> {
    let stamp = Stamp::deserialize(from)?;
    Ok(Revision::new(Era(stamp.era), stamp.revision))
}

/// A revision that is serialized as its number alone: the reader takes the era from the
/// rest of the message. For `#[serde(with)]`.
pub(crate) mod number {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use tidepier_core::era::Revision;

    /// Writes the number.
    pub(crate) fn serialize<S: Serializer>(revision: &Revision, to: S) -> Result<S::Ok, S::Error> {
        revision.number().serialize(to)
    }

    /// Reads the number as a revision of era 0.
    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Revision, D::Error> {
        u64::deserialize(from).map(Revision::of)
    }
}
