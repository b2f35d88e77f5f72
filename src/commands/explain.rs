//! `tidepier explain`: what became of one request, and why.

use tidepier_http::client::Call;
use tidepier_ids as ids;
use tidepier_router::Span;

use crate::client::{print_json, Reach};
use crate::table;

/// Asks every box what it did for a request and prints it in order.
#[derive(Debug, clap::Args)]
pub struct Command {
    /// The request id, as in the answer's `tidepier-request` header.
    request: ids::Request,
    #[command(flatten)]
    reach: Reach,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

impl Command {
    /// Prints what each box did for the request.
    ///
    /// # Errors
    ///
    /// No box answers.
    pub fn execute(&self) -> eyre::Result<()> {
        let client = self.reach.open()?;
        let call = Call::get(format!("/explain/{}", self.request));
        let mut spans: Vec<Span> = Vec::new();
        let mut unresponsive = Vec::new();
        let first = client.statuses()?;
        let known = first.iter().flat_map(|status| &status.boxes);
        let mut boxes: Vec<_> = known
            .map(|known| (known.name.clone(), known.admin))
            .collect();
        boxes.sort();
        boxes.dedup();
        for (name, admin) in boxes {
            match client.call_at::<Vec<Span>>(admin, &call) {
                Ok(found) => spans.extend(found),
                Err(_) => unresponsive.push(name.to_string()),
            }
        }
        spans.sort_by_key(|span| span.at_us);
        if self.json {
            return print_json(&spans);
        }
        print!("{}", render(&spans));
        if spans.is_empty() {
            println!("no box remembers request {}", self.request);
        }
        for name in unresponsive {
            println!("{name} does not answer; what it did is missing here");
        }
        Ok(())
    }
}

fn render(spans: &[Span]) -> String {
    let started = spans.first().map_or(0, |span| span.at_us);
    let rows: Vec<_> = spans
        .iter()
        .map(|span| {
            let millis = (span.at_us - started) as f64 / 1000.0;
            let hop = format!("{:?}", span.hop).to_lowercase();
            vec![
                format!("{millis:.1}ms"),
                span.name.to_string(),
                hop,
                span.note.clone(),
            ]
        })
        .collect();
    table::render(&["AFTER", "BOX", "HOP", "WHAT"], &rows)
}
