//! `tidepier keys`: new keys and their hashes.

use std::io::Read;

use rand::RngCore;
use tidepier_config::key::{Hash, SECRET_BYTES};

/// Makes keys.
#[derive(Debug, clap::Args)]
pub struct Command {
    #[command(subcommand)]
    what: What,
}

#[derive(Debug, clap::Subcommand)]
enum What {
    /// Prints a new bearer key and its hash for the document or the settings.
    New,
    /// Prints a new secret for `link_keys` or `seal_keys`.
    Secret,
    /// Prints the hash of a bearer key read from standard input.
    Hash,
}

impl Command {
    /// Prints the key or hash.
    ///
    /// # Errors
    ///
    /// Standard input cannot be read.
    pub fn execute(&self) -> eyre::Result<()> {
        match self.what {
            What::New => {
                let key = format!("tp_{}", random());
                println!("key     {key}");
                println!("sha256  {}", Hash::of(&key));
            }
            What::Secret => println!("{}", random()),
            What::Hash => {
                let mut text = String::new();
                std::io::stdin().read_to_string(&mut text)?;
                println!("{}", Hash::of(text.trim()));
            }
        }
        Ok(())
    }
}

fn random() -> String {
    let mut bytes = [0; SECRET_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    hex::encode(bytes)
}
