//! Stand-ins of everything around a relay, for its tests: the platform's
//! store, backend servers and clients.
//!
//! All of them run inside the test's process on loopback ports that the system
//! picks. Each has switches for faults, which may be set at any time, and keeps
//! a record of what it saw, so that a test asserts on what reached a socket and
//! not on what the relay says of itself.
//!
//! Invariants:
//!
//! * Dropping a stand-in closes its port and its connections.
//! * A stand-in never repairs what a fault broke: a swallowed call stays
//!   unanswered on its connection.
//! * The wire's names stand in [`names`], or where the one type that has them
//!   is written.
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
//! // settings, and the call below sent to its front.
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
mod front;
pub mod names;
pub mod server;
pub mod site;
pub mod store;

pub use client::Client;
pub use server::Server;
pub use site::Site;
pub use store::Store;
