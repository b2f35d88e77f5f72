//! Clients of the platform that tidepier runs on.
//!
//! * [`etcd`]: the key-value service with compare-and-swap, leases and
//!   watches, met by the JSON gateway of the etcd v3 API.
//! * [`boxes`]: the lagging list of live and leaving boxes.
//! * [`weights`]: the rate-limited weight store.
//!
//! Every call is counted by name in `tidepier_store_calls_total`.

pub mod boxes;
pub mod etcd;
pub mod weights;
