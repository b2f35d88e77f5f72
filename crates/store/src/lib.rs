//! Clients of the platform that tidepier runs on.
//!
//! * [`etcd`]: the key-value service with compare-and-swap, leases and
//!   watches, met by the JSON gateway of the etcd v3 API: a client of
//!   `tidepier_core::store`.
//! * [`boxes`]: the lagging list of live and leaving boxes.
//! * [`weights`]: the rate-limited weight store.
//!
//! Every call is counted by name in `tidepier_store_calls_total`.

pub mod boxes;
pub mod etcd;
pub mod weights;

use tidepier_core::store::Failure;
use tidepier_errors::{Fault, Kind};

/// What a call to the store that failed is to operators and callers.
pub fn fault(failure: Failure) -> Fault {
    Fault::new(Kind::Store, failure.to_string())
}
