//! An answer that was read completely before it is forwarded.

use std::rc::Rc;
use std::time::Duration;

use tidepier_h1::{head, Framing, Head};
use tidepier_platform::answer::Length;

use crate::backlog::Reservation;
use crate::fleet::Backend;

/// An answer that was read completely before it is forwarded.
pub(super) struct Answer {
    /// The server that sent it.
    pub(super) backend: Rc<Backend>,
    /// Its status.
    pub(super) status: u16,
    /// Its head as received from the server.
    pub(super) head: Head<head::Answer>,
    /// How the server marked its end.
    pub(super) framing: Framing,
    /// How its length is indicated to the client.
    pub(super) length: Length,
    /// Its body.
    pub(super) body: Vec<u8>,
    /// The memory that the body takes.
    pub(super) memory: Reservation,
    /// Time from the request's arrival to the beginning of the answer.
    pub(super) first: Duration,
}
