//! An authenticated request of a client.

use tidepier_config::document::{Account, Document};
use tidepier_http::http_types::Request;
use tidepier_ids as ids;

use crate::at_most_once::Arrival;
use crate::deadline::Deadline;

/// An authenticated request of a client, with its account, the document by
/// which it is handled, and its deadline.
pub(crate) struct Incoming<'a> {
    pub(crate) id: ids::Request,
    pub(crate) account: &'a Account,
    pub(crate) document: &'a Document,
    pub(crate) deadline: Deadline,
    pub(crate) request: &'a Request,
}

impl Incoming<'_> {
    /// This request as one that may be executed at most once.
    pub(crate) fn arrival<'a>(&'a self, target: &'a str, body: &'a [u8]) -> Arrival<'a> {
        Arrival {
            id: self.id,
            account: &self.account.name,
            deadline: self.deadline,
            target,
            body,
        }
    }
}
