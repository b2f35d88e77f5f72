//! How many tunnels this box carries for other boxes.

use std::cell::Cell;

/// Divisor of the number of clients that a box can serve which gives the most tunnels that
/// it carries: each takes two descriptors, its own clients keep the rest.
const SHARE_DIVISOR: u32 = 4;

/// The tunnels that this box carries.
#[derive(Default)]
pub struct Carried {
    open: Cell<u32>,
}

/// Counts a tunnel as open until it is dropped.
pub struct Guard<'a>(&'a Carried);

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.open().saturating_sub(1));
    }
}

impl Carried {
    /// Number of open tunnels.
    pub fn open(&self) -> u32 {
        self.open.get()
    }

    /// Counts one more tunnel; `None` if there is no room beside `clients` open connections
    /// of clients, of `clients_max`.
    pub fn admit(&self, clients: u32, clients_max: u32) -> Option<Guard<'_>> {
        let most = clients_max / SHARE_DIVISOR;
        let open = self.open.get();
        let has_room = open < most && open + clients < clients_max - most;
        has_room.then(|| {
            self.set(open + 1);
            Guard(self)
        })
    }

    fn set(&self, open: u32) {
        self.open.set(open);
        metrics::gauge!("tidepier_tunnels_carried").set(f64::from(open));
    }
}
