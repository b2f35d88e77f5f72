//! The connections over which one request was sent.

use std::cell::RefCell;

use tidepier_h1::{Conn, WeakSocket};

/// The connections over which one request was sent.
#[derive(Debug, Default)]
pub struct Used(RefCell<Vec<WeakSocket>>);

impl Used {
    /// Whether the request was not sent yet.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Whether the request was sent over this connection before.
    pub fn contains(&self, conn: &Conn) -> bool {
        self.0.borrow().iter().any(|socket| socket.is_of(conn))
    }

    /// Records that the request is sent over this connection.
    pub fn record(&self, conn: &Conn) {
        self.0.borrow_mut().push(conn.weak_socket());
    }
}
