//! Frames and authenticated links between the routers of a fleet.
//!
//! A link is a WebSocket over TCP that carries CBOR frames. The side that dials
//! sends requests and the side that accepts answers them. Each side proves that it
//! holds a link key before the other accepts any further frame.
//!
//! Invariants:
//!
//! * A frame that is too large, of another version, or out of place ends the link
//!   and is counted in `tidepier_link_refused_total`.
//! * Every byte sent is counted in `tidepier_control_bytes_total` under the
//!   purpose of its frame.

pub mod frame;
pub mod link;

pub use frame::Frame;
pub use link::Link;
