//! A model engine: continuous batching, a prefix cache, priorities, streams
//! that can be resumed and cancelled, KV export and import, delayed cache
//! events and load reports, and orders to load a model.

mod batch;
mod cache;
mod door;
mod orders;

pub use batch::{Caches, Engine, Sequence, Spec};
pub use cache::{Cache, Change, BLOCK_TOKENS};
pub use door::Door;
pub use orders::{Loaded, Order, Orders};
