//! `tidepier-load run`: many returning chats for a while, steady, and then
//! through churn, a surge or an outage.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::fleet::key_of;
use crate::outside::{counters, Outside};
use crate::tally::{Skew, Summary};
use crate::workload::{Plan, Workload};

/// What happens in the second phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Event {
    /// A tenth of the engines is replaced, one flaps, a hall's engines go.
    Churn,
    /// All engines are gone for ten seconds.
    Outage,
    /// One account makes as many requests as it can.
    Surge,
    /// Nothing: a second steady phase.
    Nothing,
}

/// Runs many callers whose chats return, and checks every answer.
#[derive(clap::Args)]
pub struct Command {
    #[command(flatten)]
    plan: Plan,
    /// The accounts.
    #[arg(long, required = true, value_delimiter = ',')]
    accounts: Vec<String>,
    /// Callers at once.
    #[arg(long, default_value_t = 50)]
    callers: usize,
    /// Requests a second over all callers; 0 is as fast as they can.
    #[arg(long, default_value_t = 0.0)]
    rate: f64,
    /// Seconds before anything is counted.
    #[arg(long, default_value_t = 0)]
    warm: u64,
    /// Seconds of each phase.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// What happens in a second phase; none without it.
    #[arg(long, value_enum)]
    then: Option<Event>,
    /// The account that surges.
    #[arg(long, default_value = "back-office")]
    loud: String,
    /// Callers of the account that surges.
    #[arg(long, default_value_t = 100)]
    loud_callers: usize,
    /// The stand-ins' admin port.
    #[arg(long)]
    outside: SocketAddr,
    /// The engines, for churn and outage.
    #[arg(long, value_delimiter = ',')]
    engines: Vec<String>,
    /// Routers' admin ports, for their counters.
    #[arg(long, value_delimiter = ',')]
    admins: Vec<SocketAddr>,
}

/// The phases of a run.
#[derive(Debug, Serialize, Deserialize)]
pub struct Phases {
    /// The steady phase.
    pub steady: Summary,
    /// The second phase.
    pub then: Option<Summary>,
    /// The surging account in the second phase.
    pub loud: Option<Summary>,
    /// Calls that routers repeated in the second phase, over its requests.
    pub repeated: f64,
}

/// Time for which an engine is down while it is replaced.
const REPLACEMENT_DURATION: Duration = Duration::from_millis(1500);
/// Duration of an outage.
const OUTAGE_DURATION: Duration = Duration::from_secs(10);

impl Command {
    /// Runs the load and prints one JSON line.
    ///
    /// # Errors
    ///
    /// The stand-ins or a router's counters cannot be read.
    pub fn execute(&self) -> eyre::Result<()> {
        let phases = smol::block_on(self.run())?;
        println!("{}", serde_json::to_string(&phases)?);
        Ok(())
    }

    async fn run(&self) -> eyre::Result<Phases> {
        let outside = Outside::new(self.outside);
        let keys: Vec<_> = self
            .accounts
            .iter()
            .map(|account| key_of(account))
            .collect();
        let count = 1 + u64::from(self.then.is_some());
        let seconds = self.warm + count * self.seconds;
        let end = Instant::now() + Duration::from_secs(seconds);
        let mut load = Workload::start(&self.plan, &keys, self.callers, self.rate, end)?;
        Timer::after(Duration::from_secs(self.warm)).await;
        load.take()?;
        let begun = outside.report().await?;
        Timer::after(Duration::from_secs(self.seconds)).await;
        let (steady, started) = phase(&load, &outside, begun.started).await?;
        let mut phases = Phases {
            steady,
            then: None,
            loud: None,
            repeated: 0.0,
        };
        if let Some(event) = self.then {
            let before = self.repeated().await?;
            let until = Instant::now() + Duration::from_secs(self.seconds);
            phases.loud = self.run_event(event, &load, &outside, until).await?;
            Timer::at(until).await;
            let (then, _) = phase(&load, &outside, started).await?;
            let repeated = self.repeated().await? - before;
            phases.repeated = repeated / (then.requests.max(1) as f64);
            phases.then = Some(then);
        }
        load.finish().await;
        Ok(phases)
    }

    async fn repeated(&self) -> eyre::Result<f64> {
        let sums = counters(&self.admins, "tidepier_retries_total", "").await?;
        Ok(sums.values().sum())
    }

    async fn run_event(
        &self,
        event: Event,
        load: &Workload,
        outside: &Outside,
        until: Instant,
    ) -> eyre::Result<Option<Summary>> {
        match event {
            Event::Nothing => Ok(None),
            Event::Churn => self.churn(load, outside).await.map(|()| None),
            Event::Outage => self.outage(load, outside).await.map(|()| None),
            Event::Surge => {
                let keys = [key_of(&self.loud)];
                let callers = self.loud_callers;
                let mut surge = Workload::start(&self.plan, &keys, callers, 0.0, until)?;
                Timer::at(until).await;
                let loud = surge.take()?;
                surge.finish().await;
                Ok(Some(loud))
            }
        }
    }

    /// A tenth of the engines is replaced one after another, one flaps, and a
    /// third of them (a hall's) go for the last part of the phase.
    async fn churn(&self, load: &Workload, outside: &Outside) -> eyre::Result<()> {
        let step = Duration::from_secs(self.seconds).div_f64(8.0);
        let replaced = self.engines.len().div_ceil(10);
        for engine in self.engines.iter().take(replaced) {
            self.replace(load, outside, engine).await?;
        }
        if let Some(flapping) = self.engines.get(replaced) {
            for _ in 0..3 {
                self.replace(load, outside, flapping).await?;
            }
        }
        Timer::after(step).await;
        // The engines are spread over three halls in turn, in the order of their
        // names.
        let hall: Vec<_> = self.engines.iter().skip(2).step_by(3).collect();
        for engine in &hall {
            load.killed(engine);
            outside.switch("kill", &format!("engine/{engine}")).await?;
        }
        Timer::after(step * 2).await;
        for engine in &hall {
            outside.switch("start", &format!("engine/{engine}")).await?;
        }
        Ok(())
    }

    async fn replace(&self, load: &Workload, outside: &Outside, engine: &str) -> eyre::Result<()> {
        load.killed(engine);
        outside.switch("kill", &format!("engine/{engine}")).await?;
        Timer::after(REPLACEMENT_DURATION).await;
        outside.switch("start", &format!("engine/{engine}")).await
    }

    async fn outage(&self, load: &Workload, outside: &Outside) -> eyre::Result<()> {
        for engine in &self.engines {
            load.killed(engine);
            outside.switch("kill", &format!("engine/{engine}")).await?;
        }
        Timer::after(OUTAGE_DURATION).await;
        for engine in &self.engines {
            outside.switch("start", &format!("engine/{engine}")).await?;
        }
        Ok(())
    }
}

/// The summary of a phase with the engines' measurements, and the engines' count of
/// requests at its end.
async fn phase(load: &Workload, outside: &Outside, before: u64) -> eyre::Result<(Summary, u64)> {
    let mut summary = load.take()?;
    let report = outside.report().await?;
    summary.skew = Skew::of(&report);
    summary.started = report.started - before;
    Ok((summary, report.started))
}
