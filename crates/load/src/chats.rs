//! Generates chats of the kinds that the users hold, from texts written for this
//! project: about long documents that many chats share (contracts, damage
//! reports, manifests and changelogs), and continued turn by turn.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tidepier_standin::oracle::{self, Message, TOKEN_BYTES};

use crate::caller::Chat;

const CLAUSES: [&str; 6] = [
    "The Trust collects soiled sheets, towels and table linen at the loading bay of the hotel before six in the morning and returns them pressed and counted within one day.",
    "Each bag carries a tag with the floor, the count and the name of the housekeeper who closed it; a bag without a tag is counted at the wash house and that count stands.",
    "A sheet that comes back torn, scorched or stained beyond washing is listed in the damage report with its size, its age in washes and a photograph.",
    "The hotel pays by the piece; pieces over the monthly count are paid at the rate of the season, which the Trust announces thirty days before it starts.",
    "Washers are paid for every hour from the arrival of the first van until the last press is cold, whether or not the agreed number of pieces was delivered.",
    "Where the road to the coast is closed, the driver calls the desk of the hotel, and the pickup moves to the next run without a fee on either side.",
];

const ENTRIES: [&str; 6] = [
    "The resolver no longer picks a release that was withdrawn after the lock file was written; it reports the withdrawal and the next release that satisfies the range.",
    "Optional dependencies on the image codec are split by platform, so that the school machines do not download the accelerated build they cannot load.",
    "The license field is checked against the list of the registry; a package that names a license twice is accepted and the second mention is dropped.",
    "A release that is signed with a key that expires within thirty days prints a notice to its maintainers and is published all the same.",
    "Search summaries are limited to two sentences, and a package without a description shows the first paragraph of its manual.",
    "The mirror protocol sends the index as differences; a mirror that is more than seven days behind fetches the whole index once.",
];

/// How chats are made.
#[derive(Debug, Clone, clap::Args)]
pub struct Shape {
    /// Shared documents that chats are about.
    #[arg(long, default_value_t = 40)]
    pub documents: usize,
    /// Tokens of the shortest document.
    #[arg(long, default_value_t = 2000)]
    pub shortest: u64,
    /// Tokens of the longest document.
    #[arg(long, default_value_t = 20_000)]
    pub longest: u64,
    /// Tokens of an answer.
    #[arg(long, default_value_t = 40)]
    pub tokens: u64,
    /// Share of chats that are about a document of their own.
    #[arg(long, default_value_t = 0.5)]
    pub own: f64,
}

/// Generates chats from a fixed seed.
pub struct Maker {
    rng: ChaCha8Rng,
    shape: Shape,
    model: String,
    accounts: Vec<String>,
    documents: Vec<String>,
}

/// A chat that grows by turns.
#[derive(Debug, Clone)]
pub struct Returning {
    /// The next request.
    pub chat: Chat,
    /// Turns made so far.
    pub turn: u32,
}

impl Maker {
    /// A maker whose chats follow from `seed`; `accounts` are bearer keys.
    pub fn new(seed: u64, shape: &Shape, model: &str, accounts: Vec<String>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let documents = (0..shape.documents).map(|index| {
            let tokens = rng.random_range(shape.shortest..=shape.longest);
            document(&mut rng, index, tokens)
        });
        let documents = documents.collect();
        Self {
            rng,
            shape: shape.clone(),
            model: model.into(),
            accounts,
            documents,
        }
    }

    /// A new chat.
    pub fn begin(&mut self) -> Returning {
        let own = self.rng.random_bool(self.shape.own);
        let text = match own {
            true => {
                let tokens = self
                    .rng
                    .random_range(self.shape.shortest..=self.shape.longest);
                let number = self.rng.random_range(1000..1_000_000);
                document(&mut self.rng, number, tokens)
            }
            false => self
                .documents
                .choose(&mut self.rng)
                .cloned()
                .unwrap_or_default(),
        };
        let question = self.question();
        let messages = vec![message("system", text), message("user", question)];
        let key = self
            .accounts
            .choose(&mut self.rng)
            .cloned()
            .unwrap_or_default();
        Returning {
            chat: Chat {
                key,
                model: self.model.clone(),
                messages,
                tokens: self.shape.tokens,
            },
            turn: 1,
        }
    }

    /// Continues a chat: appends its answer and a further question.
    pub fn grow(&mut self, returning: &mut Returning) {
        let chat = &mut returning.chat;
        let seed = oracle::seed(&chat.model, &oracle::prompt(&chat.messages));
        chat.messages
            .push(message("assistant", oracle::answer(seed, chat.tokens)));
        let question = self.question();
        returning.chat.messages.push(message("user", question));
        returning.turn += 1;
    }

    fn question(&mut self) -> String {
        let number: u32 = self.rng.random_range(0..1_000_000);
        format!("Question {number}: what follows for the next pickup, and who has to be told?")
    }

    /// A random number below `limit`.
    pub fn below(&mut self, limit: usize) -> usize {
        self.rng.random_range(0..limit.max(1))
    }

    /// Whether something of probability `chance` happens.
    pub fn happens(&mut self, chance: f64) -> bool {
        self.rng.random_bool(chance)
    }
}

fn message(role: &str, content: String) -> Message {
    Message {
        role: role.into(),
        content,
    }
}

/// A document of about `tokens` tokens.
pub fn document(rng: &mut impl Rng, number: usize, tokens: u64) -> String {
    let size = (tokens * TOKEN_BYTES) as usize;
    let sentences = if number.is_multiple_of(2) {
        CLAUSES
    } else {
        ENTRIES
    };
    let mut text = format!("Document {number}.\n");
    let mut clause = 0;
    while text.len() < size {
        clause += 1;
        let sentence = sentences.choose(rng).copied().unwrap_or_default();
        text.push_str(&format!("{clause}. {sentence}\n"));
    }
    text
}
