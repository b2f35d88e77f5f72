//! A caller's request that was let in, with all that was found out about it.

use tidepier_config::document::{Account, Document};
use tidepier_http::http_types::Request;
use tidepier_ids as ids;

use crate::deadline::Deadline;

/// A caller's request with all that was found out about it.
pub(crate) struct Incoming<'a> {
    pub(crate) id: ids::Request,
    pub(crate) account: &'a Account,
    pub(crate) document: &'a Document,
    pub(crate) deadline: Deadline,
    pub(crate) request: &'a Request,
}
