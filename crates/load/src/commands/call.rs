//! `tidepier-load call`: one call of a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use tidepier_http::client::{Call, Pool};

/// Largest answer in bytes.
const ANSWER_BYTES_MAX: u64 = 8 << 20;
/// Time-out of the call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Posts a JSON body to a plain service and prints the answer.
#[derive(clap::Args)]
pub struct Command {
    /// The router.
    #[arg(long)]
    router: SocketAddr,
    /// The account's bearer key.
    #[arg(long, env = "TIDEPIER_KEY")]
    key: String,
    /// The path, such as `/services/billing/drafts`.
    #[arg(long)]
    path: String,
    /// The idempotency key of a call that must not run twice.
    #[arg(long)]
    idempotency_key: Option<String>,
    /// The JSON body.
    body: String,
}

impl Command {
    /// Makes the call.
    ///
    /// # Errors
    ///
    /// The router does not answer.
    pub fn execute(&self) -> eyre::Result<()> {
        let mut call = Call::post(self.path.as_str(), self.body.as_bytes())
            .header("authorization", format!("Bearer {}", self.key))
            .once();
        if let Some(key) = &self.idempotency_key {
            call = call
                .header("idempotency-key", key.as_str())
                .header("tidepier-repeatable", "no");
        }
        let pool = Pool::new();
        let sent = pool.whole(self.router, &call, ANSWER_BYTES_MAX, CALL_TIMEOUT);
        let answer = smol::block_on(sent)?;
        let replayed = match answer.header("tidepier-replayed") {
            Some(_) => " (the first answer again)",
            None => "",
        };
        let text = String::from_utf8_lossy(&answer.bytes);
        println!("{}{replayed} {text}", answer.status);
        Ok(())
    }
}
