//! `tidepier-load chat`: one chat of several turns, printed while it arrives.

use std::io::Write;
use std::net::SocketAddr;

use eyre::bail;
use tidepier_http::client::Pool;

use crate::caller;
use crate::chats::{Maker, Shape};

/// Holds one chat that returns, and checks its answers.
#[derive(clap::Args)]
pub struct Command {
    /// Routers, in the order in which they are tried.
    #[arg(long, required = true, value_delimiter = ',')]
    routers: Vec<SocketAddr>,
    /// The account's bearer key.
    #[arg(long, env = "TIDEPIER_KEY")]
    key: String,
    /// The model.
    #[arg(long, default_value = "linen")]
    model: String,
    /// Turns of the chat.
    #[arg(long, default_value_t = 2)]
    turns: u32,
    /// The seed of the chat.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    shape: Shape,
}

impl Command {
    /// Holds the chat.
    ///
    /// # Errors
    ///
    /// An answer was not complete and correct.
    pub fn execute(&self) -> eyre::Result<()> {
        let pool = Pool::new();
        let mut maker = Maker::new(self.seed, &self.shape, &self.model, vec![self.key.clone()]);
        let mut returning = maker.begin();
        for turn in 1..=self.turns {
            let mut out = std::io::stdout();
            let show = |text: &str| {
                // Failures to print are ignored: the answer is checked anyway.
                let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
            };
            let asked = caller::ask_with(&pool, &self.routers, 0, &returning.chat, show);
            let outcome = smol::block_on(asked);
            println!();
            if !outcome.whole {
                bail!("turn {turn}: not whole: {outcome:?}");
            }
            println!(
                "turn {turn}: whole, {} of {} prompt tokens cached, returned {} times",
                outcome.cached, outcome.prompt, outcome.returns
            );
            maker.grow(&mut returning);
        }
        Ok(())
    }
}
