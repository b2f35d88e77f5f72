//! One caller: sends a chat, checks the answer token by token, and resumes it
//! through another router when the stream breaks.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Deserialize;
use smol::Timer;
use tidepier_errors::{Body as Refusal, Detail, Ran};
use tidepier_http::client::{Answer, Call, Failure, Pool};
use tidepier_http::events::Reader;
use tidepier_http::server::within;
use tidepier_standin::oracle::{self, Message};

/// Attempts to send a chat, and to resume a broken stream.
const ATTEMPTS_MAX: u32 = 40;
/// Delay before the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time without any event after which a caller tries another router.
const EVENT_TIMEOUT: Duration = Duration::from_secs(40);
/// HTTP status of an answer whose stream ended with an error.
const STREAM_STATUS: u16 = 200;
/// Largest refusal in bytes.
const REFUSAL_BYTES_MAX: u64 = 64 << 10;

/// A chat to send.
#[derive(Debug, Clone)]
pub struct Chat {
    /// The bearer key.
    pub key: String,
    /// The model.
    pub model: String,
    /// The messages.
    pub messages: Vec<Message>,
    /// Tokens of the answer.
    pub tokens: u64,
}

/// How a chat ended.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Whether the complete and correct answer arrived.
    pub whole: bool,
    /// The refusal, if the final answer was one.
    pub refused: Option<Refused>,
    /// Tokens that were wrong, out of order or repeated.
    pub wrong: u64,
    /// Attempts that the caller made through another router.
    pub returns: u32,
    /// Time to the first token.
    pub first: Option<Duration>,
    /// Times between tokens.
    pub between: Vec<Duration>,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Those of them that the engine had cached.
    pub cached: u64,
    /// Those of them that the best engine had cached.
    pub best: u64,
    /// The engine that sent the end of the answer.
    pub engine: String,
    /// A description of what went wrong.
    pub trouble: Option<String>,
}

/// A final refusal.
#[derive(Debug, Clone)]
pub struct Refused {
    /// HTTP status.
    pub status: u16,
    /// The error kind.
    pub kind: String,
    /// Whether the request was executed, as the router states.
    pub ran: Ran,
    /// Seconds after which the caller may retry.
    pub retry_after: Option<u64>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
    prompt_tokens_details: Details,
}

#[derive(Deserialize)]
struct Details {
    cached_tokens: u64,
    #[serde(default)]
    best_cached_tokens: u64,
}

#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    system_fingerprint: Option<String>,
    #[serde(default)]
    error: Option<Detail>,
}

enum Read {
    Whole,
    Broken(String),
    /// An explicit error inside the stream: a final answer.
    Failed(Detail),
}

/// Sends `chat` to `routers[first]`; after a failure, continues through the
/// other routers.
pub async fn ask(pool: &Pool, routers: &[SocketAddr], first: usize, chat: &Chat) -> Outcome {
    ask_with(pool, routers, first, chat, |_| {}).await
}

/// Like [`ask`], and passes each token to `show`.
pub async fn ask_with(
    pool: &Pool,
    routers: &[SocketAddr],
    first: usize,
    chat: &Chat,
    mut show: impl FnMut(&str),
) -> Outcome {
    let mut outcome = Outcome::default();
    let started = Instant::now();
    let mut turn = first;
    let Some((answer, response)) = begin(pool, routers, &mut turn, chat, &mut outcome).await else {
        return outcome;
    };
    let mut state = Progress {
        seed: oracle::seed(&chat.model, &oracle::prompt(&chat.messages)),
        tokens: chat.tokens,
        next: 0,
        started,
        last: started,
    };
    let mut answer = Some(answer);
    for _ in 0..ATTEMPTS_MAX {
        if let Some(answer) = answer.take() {
            match read(answer, &mut state, &mut outcome, &mut show).await {
                Read::Whole => {
                    outcome.whole = outcome.wrong == 0;
                    return outcome;
                }
                Read::Failed(error) => {
                    outcome.refused = Some(Refused {
                        status: STREAM_STATUS,
                        kind: error.kind.to_string(),
                        ran: error.ran,
                        retry_after: error.retry_after,
                    });
                    return outcome;
                }
                Read::Broken(why) => outcome.trouble = Some(why),
            }
        }
        turn += 1;
        outcome.returns += 1;
        Timer::after(RETRY_DELAY).await;
        let router = routers[turn % routers.len()];
        match resume(pool, router, chat, &response, state.next).await {
            Some(back) if back.status() == 200 => answer = Some(back),
            // A final answer, such as that the engine no longer has the
            // sequence.
            Some(back) if !matches!(back.status(), 503 | 429) => {
                outcome.refused = refusal(back).await;
                return outcome;
            }
            _ => {}
        }
    }
    outcome
}

/// Sends the request until a router accepts or refuses it.
async fn begin(
    pool: &Pool,
    routers: &[SocketAddr],
    turn: &mut usize,
    chat: &Chat,
    outcome: &mut Outcome,
) -> Option<(Answer, String)> {
    for _ in 0..ATTEMPTS_MAX {
        let router = routers[*turn % routers.len()];
        match pool.send(router, &call(chat)).await {
            Ok(answer) if answer.status() == 200 => {
                let response = answer.header("tidepier-response").unwrap_or("").to_string();
                return Some((answer, response));
            }
            Ok(answer) => {
                outcome.refused = refusal(answer).await;
                if outcome.refused.is_none() {
                    outcome.trouble = Some("a refusal that cannot be read".into());
                }
                return None;
            }
            // Tries another router: this one did not get the request, or failed
            // with an unknown outcome.
            Err(Failure::Unsent(_)) => {}
            Err(Failure::Unknown(error)) => outcome.trouble = Some(error.to_string()),
        }
        *turn += 1;
        outcome.returns += 1;
        Timer::after(RETRY_DELAY).await;
    }
    None
}

/// The HTTP request that sends a chat.
pub fn call(chat: &Chat) -> Call {
    let body = serde_json::json!({
        "model": chat.model,
        "messages": chat.messages,
        "max_tokens": chat.tokens,
        "stream": true,
    });
    Call::post("/v1/chat/completions", body.to_string().into_bytes())
        .header("authorization", format!("Bearer {}", chat.key))
}

async fn resume(
    pool: &Pool,
    router: SocketAddr,
    chat: &Chat,
    response: &str,
    next: u64,
) -> Option<Answer> {
    let mut call = Call::get(format!("/v1/responses/{response}"))
        .header("authorization", format!("Bearer {}", chat.key));
    if next > 0 {
        call = call.header("last-event-id", (next - 1).to_string());
    }
    pool.send(router, &call).await.ok()
}

async fn refusal(answer: Answer) -> Option<Refused> {
    let status = answer.status();
    let header = answer
        .header("retry-after")
        .and_then(|text| text.parse().ok());
    let whole = answer.whole(REFUSAL_BYTES_MAX).await.ok()?;
    let body: Refusal = serde_json::from_slice(&whole.bytes).ok()?;
    Some(Refused {
        status,
        kind: body.error.kind.to_string(),
        ran: body.error.ran,
        retry_after: header.or(body.error.retry_after),
    })
}

struct Progress {
    seed: u64,
    tokens: u64,
    next: u64,
    started: Instant,
    last: Instant,
}

async fn read(
    answer: Answer,
    state: &mut Progress,
    outcome: &mut Outcome,
    show: &mut impl FnMut(&str),
) -> Read {
    let mut reader = Reader::new(answer.reader());
    let mut finished = false;
    loop {
        let frame = match within(EVENT_TIMEOUT, reader.next()).await {
            None => return Read::Broken("silence".into()),
            Some(Err(error)) => return Read::Broken(error.to_string()),
            Some(Ok(None)) => return Read::Broken("the stream ended early".into()),
            Some(Ok(Some(frame))) => frame,
        };
        if frame.data == "[DONE]" {
            let whole = finished && state.next == state.tokens;
            if !whole {
                outcome.wrong += 1;
                let ended = if finished { "ended" } else { "did not end" };
                let trouble = format!("{} of {} tokens, {ended}", state.next, state.tokens);
                outcome.trouble = Some(trouble);
            }
            return Read::Whole;
        }
        let Ok(chunk) = serde_json::from_str::<Chunk>(&frame.data) else {
            return Read::Broken("a chunk that cannot be read".into());
        };
        if let Some(error) = chunk.error {
            return Read::Failed(error);
        }
        if let Some(usage) = chunk.usage {
            outcome.prompt = usage.prompt_tokens;
            outcome.cached = usage.prompt_tokens_details.cached_tokens;
            outcome.best = usage.prompt_tokens_details.best_cached_tokens;
        }
        if let Some(engine) = chunk.system_fingerprint {
            outcome.engine = engine;
        }
        let Some(choice) = chunk.choices.into_iter().next() else {
            continue;
        };
        finished |= choice.finish_reason.is_some();
        if let Some(text) = choice.delta.content {
            token(state, outcome, &frame.id, &text);
            show(&text);
        }
    }
}

fn token(state: &mut Progress, outcome: &mut Outcome, id: &str, text: &str) {
    let right = oracle::token(state.seed, state.next) == text;
    let placed = id.parse() == Ok(state.next);
    outcome.wrong += u64::from(!right || !placed);
    let now = Instant::now();
    match outcome.first {
        None => outcome.first = Some(now - state.started),
        Some(_) => outcome.between.push(now - state.last),
    }
    state.last = now;
    state.next += 1;
}
