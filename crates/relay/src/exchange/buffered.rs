//! An answer that was read completely before it is forwarded.

use std::rc::Rc;
use std::time::Duration;

use tidepier_h1::{Head, Writer};
use tidepier_platform::answer::{self, Length};

use super::disposition::Disposition;
use crate::fleet::Backend;

/// An answer that was read completely before it is forwarded.
pub(super) struct Answer {
    /// The server that sent it.
    pub(super) backend: Rc<Backend>,
    /// Its status.
    pub(super) status: u16,
    /// Its head as received from the server.
    pub(super) head: Head,
    /// How its length is indicated to the client.
    pub(super) length: Length,
    /// Its body.
    pub(super) body: Vec<u8>,
    /// Time from the request's arrival to the beginning of the answer.
    pub(super) first: Duration,
}

impl Answer {
    /// Writes it to the client; `close` announces that the connection closes after it.
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
