//! Clients of the platform that tidepier runs on.
//!
//! * [`etcd`]: the key-value store with compare-and-swap, leases and watches,
//!   reached through the JSON gateway of the etcd v3 API. Its client implements
//!   the traits of `tidepier_core::store`.
//! * [`boxes`]: the list of live and leaving boxes, which may be some seconds
//!   old.
//! * [`weights`]: the weight store, which limits the rate of loads.
//!
//! Every call is counted by name in `tidepier_store_calls_total`.

pub mod boxes;
pub mod etcd;
pub mod weights;

use tidepier_core::store::Failure;
use tidepier_errors::{Fault, Kind};

/// The fault that operators and clients see for a failed call to the store.
pub fn fault(failure: Failure) -> Fault {
    Fault::new(Kind::Store, failure.to_string())
}
