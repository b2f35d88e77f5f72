//! HTTP/1.1 for forwarding.
//!
//! A forwarder has needs that a library for handlers does not meet: heads go
//! on with their fields as they were sent, a body ends by its own length and
//! by nothing else, bytes past an answer must be seen, and the end of a
//! connection must be noticed while something else is under way. Heads are
//! parsed by `httparse`; framing, limits and connections are here.
//!
//! Invariants:
//!
//! * A body that ends before its length, or whose chunks break off, is an
//!   error and never a shorter body.
//! * A head that gives its body's end in two ways is refused.
//! * All answers are read by [`Conn::answer_head`]: bytes that do not begin with a valid
//!   status are no answer.
//! * A connection that failed is never read as one that ended in order, whichever half was
//!   told of the failure.
//! * A connection holds buffers only while bytes wait in it.

pub mod account;
mod body;
pub mod call;
mod conn;
pub mod head;
pub mod record;
mod socket;
pub mod target;
pub mod write;

pub use body::{Body, Framing, Unread};
pub use call::Caller;
pub use conn::{Conn, Listener, WeakSocket, Writer, RECORD_BYTES};
pub use head::{Field, Head, Malformed, Search};
