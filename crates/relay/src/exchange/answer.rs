//! An answer that was read whole.

use std::rc::Rc;
use std::time::Duration;

use tidepier_h1::{Head, Writer};
use tidepier_platform::answer::{self, Length};

use super::end::Disposition;
use crate::fleet::Backend;

/// An answer that was read whole.
pub(super) struct Whole {
    /// The server that made it.
    pub(super) backend: Rc<Backend>,
    /// Its status.
    pub(super) status: u16,
    /// Its head as sent.
    pub(super) head: Head,
    /// How its end is told to the client.
    pub(super) length: Length,
    /// Its body.
    pub(super) body: Vec<u8>,
    /// Time from the request's arrival to the answer's beginning.
    pub(super) first: Duration,
}

impl Whole {
    /// Writes it to the client, whose connection ends with it if `close`.
    pub(super) async fn deliver(&self, writer: &Writer, close: bool) -> Disposition {
        let mut out = Vec::new();
        answer::encode(&self.head, self.length, close, &mut out);
        out.extend_from_slice(&self.body);
        match writer.write_all(&out).await {
            Ok(()) if !close => Disposition::Keep,
            _ => Disposition::Close,
        }
    }
}
