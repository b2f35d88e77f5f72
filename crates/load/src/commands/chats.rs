//! `tidepier-load chats`: writes example chats of the users' kinds and sizes.

use std::fs;
use std::path::PathBuf;

use eyre::WrapErr;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::chats::document;

/// One example: its file, its document's number (even: contract, odd:
/// changelog), its tokens, its model and its question.
struct Example {
    file: &'static str,
    number: usize,
    tokens: u64,
    model: &'static str,
    question: &'static str,
}

const EXAMPLES: [Example; 4] = [
    Example {
        file: "hotel-contract.json",
        number: 2,
        tokens: 20_000,
        model: "linen",
        question: "Draft the pickup note for tomorrow's driver from clauses 3 and 5.",
    },
    Example {
        file: "damage-report.json",
        number: 4,
        tokens: 2_000,
        model: "linen",
        question: "Which of these sheets does the hotel pay for?",
    },
    Example {
        file: "package-manifest.json",
        number: 3,
        tokens: 8_000,
        model: "assistant",
        question: "Review this manifest for a release to the ministry's mirror.",
    },
    Example {
        file: "changelog.json",
        number: 5,
        tokens: 60_000,
        model: "assistant",
        question: "Summarise what changed for the school machines in two sentences.",
    },
];

/// Writes example chats.
#[derive(clap::Args)]
pub struct Command {
    /// Where the files go.
    #[arg(long)]
    dir: PathBuf,
}

impl Command {
    /// Writes the files.
    ///
    /// # Errors
    ///
    /// A file cannot be written.
    pub fn execute(&self) -> eyre::Result<()> {
        fs::create_dir_all(&self.dir)?;
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        for example in &EXAMPLES {
            let text = document(&mut rng, example.number, example.tokens);
            let chat = json!({
                "model": example.model,
                "messages": [
                    { "role": "system", "content": text },
                    { "role": "user", "content": example.question },
                ],
                "max_tokens": 60,
                "stream": true,
            });
            let path = self.dir.join(example.file);
            let mut bytes = serde_json::to_vec_pretty(&chat)?;
            bytes.push(b'\n');
            fs::write(&path, bytes).wrap_err_with(|| format!("writing {}", path.display()))?;
        }
        Ok(())
    }
}
