//! Log lines about servers.

use std::sync::{Mutex, OnceLock};

use eyre::{bail, ensure, eyre};
use log::{Level, LevelFilter, Log, Metadata, Record};

use crate::harness::{run, server_settings, site, wait_until, Harness, Result, SERVICE};

/// The log lines of all tests in this process.
#[derive(Default)]
struct Lines(Mutex<Vec<String>>);

impl Log for Lines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target() == "belief" && metadata.level() <= Level::Info
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            let mut lines = self.0.lock().expect("lines");
            lines.push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

/// The lines logged so far. The first call installs the logger.
fn lines() -> &'static Lines {
    static LINES: OnceLock<Lines> = OnceLock::new();
    static SET: OnceLock<()> = OnceLock::new();
    let lines = LINES.get_or_init(Lines::default);
    SET.get_or_init(|| {
        log::set_logger(lines).expect("no other logger");
        log::set_max_level(LevelFilter::Info);
    });
    lines
}

#[test]
fn a_removed_server_is_logged_with_its_hall() -> Result {
    run(async |executor| {
        let lines = lines();
        let site = site()?;
        let _stays = site.server(server_settings(1))?;
        let mut settings = server_settings(2);
        settings.id = "i-logged".into();
        let removed = site.server(settings)?;
        let harness = Harness::start_ready(executor, site).await?;
        harness.site.withdraw(&removed);
        let logged_line = || {
            let lines = lines.0.lock().expect("lines");
            let about_it = |line: &&String| line.contains("change=Gone id=i-logged ");
            lines.iter().find(about_it).cloned()
        };
        wait_until("logged", async || Ok(logged_line().is_some())).await?;
        let line = logged_line().ok_or_else(|| eyre!("no log line"))?;
        let expected = format!("service={SERVICE} hall=hall-2 release=v1 revision=");
        ensure!(line.contains(&expected), "{line}");
        Ok(())
    })
}

#[test]
fn servers_discovered_together_are_logged_in_one_line() -> Result {
    run(async |executor| {
        let lines = lines();
        let site = site()?;
        let ids: Vec<String> = (1..=5).map(|number| format!("i-bulk-{number}")).collect();
        let mut servers = Vec::new();
        for (number, id) in (1..).zip(&ids) {
            let mut settings = server_settings(number);
            settings.id = id.clone();
            servers.push(site.server(settings)?);
        }
        let _house = Harness::start_ready(executor, site).await?;
        let joined = || {
            let lines = lines.0.lock().expect("lines");
            let about_them = lines.iter().filter(|line| line.contains("i-bulk-"));
            let joined = about_them.filter(|line| line.contains("change=Joined"));
            joined.cloned().collect::<Vec<String>>()
        };
        wait_until("logged", async || Ok(!joined().is_empty())).await?;
        let joined = joined();
        let [line] = joined.as_slice() else {
            bail!("{joined:?}");
        };
        ensure!(
            line.contains("event=servers change=Joined count=5 ids="),
            "{line}"
        );
        for id in &ids {
            ensure!(line.contains(id), "{id} is not in {line}");
        }
        Ok(())
    })
}
