//! Stand-ins for everything around a relay, for its tests: the store of the platform,
//! backend servers and clients.
//!
//! All of them run inside the process of the test, on loopback ports that the system picks.
//! Each has switches for faults that may be set at any time, and records what reaches it,
//! so that a test can assert on what reached a socket instead of what the relay reports.
//!
//! Invariants:
//!
//! * Dropping a stand-in closes its port and its connections.
//! * A stand-in never undoes the effects of a fault: a call that it did not answer stays
//!   unanswered on its connection.
//! * Names on the wire are defined in [`names`], or where the only type that has them is
//!   encoded.
//!
//! ```
//! use std::time::Duration;
//! use tidepier_core::catalog::Kind;
//! use tidepier_relay_standin::client::{Call, Client};
//! use tidepier_relay_standin::server::{Events, Fault, Settings};
//! use tidepier_relay_standin::site::{Route, Site, HOST};
//!
//! # smol::block_on(async {
//! let site = Site::start()?;
//! let kind = Kind::Stream { resumable: true };
//! site.declare(&[Route::new("/chat/", kind, "service-1")]);
//! let events = Some(Events { count: 8, pause: Duration::from_millis(5) });
//! let server = site.server(Settings { events, ..Settings::default() })?;
//! // A relay would be started here, with `site.store.address()` in its
//! // settings, and the call below sent to its address for clients.
//! let front = server.address();
//! server.fault(Fault::CutEvent, 1);
//! let call = Call::new("POST", HOST, "/chat/x", "attempt-1").body(b"question");
//! let answer = Client::once(front, &call).await?;
//! assert!(!answer.complete);
//! assert_eq!(answer.ids(), [1, 2, 3, 4]);
//! assert_eq!(server.ran("attempt-1"), 1);
//! site.store.faults(|faults| faults.slow = Duration::from_millis(300));
//! # std::io::Result::Ok(()) }).unwrap();
//! ```

pub mod client;
mod http;
pub mod names;
pub mod partition;
pub mod server;
pub mod site;
pub mod store;

pub use client::Client;
pub use server::Server;
pub use site::Site;
pub use store::Store;
