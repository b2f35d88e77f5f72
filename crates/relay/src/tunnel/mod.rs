//! Connections to servers that another box carries.
//!
//! A box that cannot open a connection to a server, while other boxes can, has one of them
//! open it and carry its bytes: the gateway. To everything else in the box the tunnel is a
//! connection to the server: the box still chooses the server, states deadlines, counts
//! attempts, charges the retry budget and judges the answer. The gateway looks at no byte
//! and decides nothing about the request.
//!
//! * [`open`](open::open): opens a tunnel through a given gateway.
//! * [`gateways`]: the boxes that may be asked, and what is known of each.
//! * [`carried`]: how many tunnels this box carries for others.
//!
//! The gateway's side is in `peer::gateway`, the choice between a direct connection and a
//! tunnel in `dial`.
//!
//! Invariants:
//!
//! * Nothing is sent through a tunnel before the gateway has opened the connection to the
//!   server, so that a tunnel that cannot be opened has executed nothing.
//! * A gateway opens connections directly and never through another gateway.
//! * An answer is complete only if the gateway states the end of the server's connection:
//!   the end of the gateway's own connection shows nothing of the server's.

pub mod carried;
pub mod gateways;
pub(crate) mod open;
