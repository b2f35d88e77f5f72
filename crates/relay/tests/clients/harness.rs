//! A router process, the stand-ins for its environment, and what it may use.

use std::fs;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use eyre::{ensure, eyre, WrapErr as _};
use futures_lite::FutureExt;
use serde_json::{json, Value};
use smol::Timer;
use tidepier_core::catalog::Kind;
use tidepier_relay_standin::client::Call;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{self, Server};
use tidepier_relay_standin::site::{Route, Site, HOST};
use tidepier_relay_standin::Client;

/// The result of a test.
pub(crate) type Result<T = ()> = eyre::Result<T>;

/// Time after which a process counts as hung.
const HUNG: Duration = Duration::from_secs(60);
/// Interval between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which the memory of a process stands still once it has taken in what was sent.
const SETTLED: Duration = Duration::from_millis(400);
/// Body of an ordinary request, in bytes.
const ORDINARY_BYTES: usize = 20 << 10;
/// Requests that the slow server works on, or queues, at once.
const SLOTS: usize = 1_024;

/// Held by the test that runs.
static SERIAL: Mutex<()> = Mutex::new(());

/// The limits of a router process, and of the requests of its clients.
pub(crate) struct Limits {
    /// Memory of the process, in megabytes.
    pub(crate) memory_mb: usize,
    /// Descriptors of the process.
    pub(crate) descriptors: usize,
    /// Largest head of a request, in bytes.
    pub(crate) head_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: 64,
            descriptors: 900,
            head_bytes: 16 << 10,
        }
    }
}

/// A router process in its environment; everything ends when it is dropped.
pub(crate) struct Harness {
    limits: Limits,
    child: Child,
    file: PathBuf,
    settings: Value,
    _servers: [Server; 2],
    _site: Site,
    _serial: MutexGuard<'static, ()>,
}

impl Drop for Harness {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
    }
}

/// Runs a test.
pub(crate) fn run(test: impl Future<Output = Result>) -> Result {
    let hung = async {
        Timer::after(2 * HUNG).await;
        Err(eyre!("the test did not finish in time"))
    };
    smol::block_on(test.or(hung))
}

impl Harness {
    /// Starts a process and waits until it is ready. Requests for `/r/` are answered at once;
    /// those for `/slow/` are held by their server until the end of the test.
    pub(crate) async fn start(limits: Limits) -> Result<Self> {
        let serial = SERIAL.lock();
        // A test that failed has left nothing behind.
        let serial = serial.unwrap_or_else(|poisoned| poisoned.into_inner());
        let site = Site::start()?;
        site.declare(&[
            Route::new("/r/", Kind::Repeatable, "service-1"),
            Route {
                timeout: 2 * HUNG,
                ..Route::new("/slow/", Kind::AtMostOnce, "service-2")
            },
        ]);
        site.configure(|config| {
            config["limits"]["max_header_bytes"] = json!(limits.head_bytes);
            // Requests are held open for as long as a test lasts.
            let held = json!((2 * HUNG).as_millis() as u64);
            config["limits"]["header_timeout_ms"] = held.clone();
            config["limits"]["idle_timeout_ms"] = held;
            for service in config["services"].as_array_mut().into_iter().flatten() {
                service["max_connections"] = json!(SLOTS);
            }
        });
        let server = |number: usize, work| {
            site.server(server::Settings {
                id: format!("i-{number}"),
                service: format!("service-{number}"),
                slots: SLOTS,
                work,
                ..server::Settings::default()
            })
        };
        let servers = [server(1, Duration::from_millis(5))?, server(2, 2 * HUNG)?];
        let ports = free_ports::<4>()?;
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port)).to_string();
        let settings = json!({
            "name": "box-1", "hall": "hall-1",
            "callers": address(ports[0]), "readiness": address(ports[1]),
            "metrics": address(ports[2]), "peer_ports": [ports[3], ports[3]],
            "limits": { "memory_mb": limits.memory_mb, "descriptors": limits.descriptors },
            "store": { "address": site.store.address().to_string() },
        });
        let file = format!("clients-{}.json", ports[0]);
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file);
        fs::write(&file, settings.to_string())?;
        let child = Command::new(env!("CARGO_BIN_EXE_tidepier-relay"))
            .args(["--log", "error", "--settings"])
            .arg(&file)
            .stdout(Stdio::inherit())
            .spawn()?;
        let mut harness = Self {
            limits,
            child,
            file,
            settings,
            _servers: servers,
            _site: site,
            _serial: serial,
        };
        harness.wait_until_ready().await?;
        Ok(harness)
    }

    async fn wait_until_ready(&mut self) -> Result {
        let waiting = async {
            while !self.is_ready().await {
                Timer::after(CHECK_INTERVAL).await;
            }
            Ok(())
        };
        let hung = async {
            Timer::after(HUNG).await;
            Err(eyre!("not ready"))
        };
        waiting.or(hung).await
    }

    /// The address of the clients.
    pub(crate) fn front(&self) -> Result<SocketAddr> {
        self.address("callers")
    }

    /// An address in the settings.
    pub(crate) fn address(&self, name: &str) -> Result<SocketAddr> {
        let address = self.settings[name].as_str();
        Ok(address.ok_or_else(|| eyre!("no address"))?.parse()?)
    }

    /// The address of the port for other boxes.
    pub(crate) fn peers(&self) -> Result<SocketAddr> {
        let port = self.settings["peer_ports"][0].as_u64();
        let port = u16::try_from(port.ok_or_else(|| eyre!("no port"))?)?;
        Ok(SocketAddr::from(([127, 0, 0, 1], port)))
    }

    /// Whether the readiness port answers that the process is ready.
    pub(crate) async fn is_ready(&self) -> bool {
        self.get("readiness", names::READY).await == Some(200)
    }

    /// The status of the answer to a `GET` request at one of the addresses in the settings.
    pub(crate) async fn get(&self, name: &str, path: &str) -> Option<u16> {
        let call = Call::new("GET", HOST, path, "get");
        let answer = Client::once(self.address(name).ok()?, &call).await;
        answer.ok().map(|answer| answer.status)
    }

    /// Checks that the process lives within its memory and its descriptors, and answers an
    /// ordinary request.
    pub(crate) async fn check(&mut self) -> Result {
        self.wait_until_settled().await?;
        if let Some(status) = self.child.try_wait()? {
            return Err(eyre!("the process has ended: {status}"));
        }
        let open = fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count();
        let answered = self.post(&[b'q'; ORDINARY_BYTES]).await;
        let most = self.most_resident_bytes()?;
        println!(
            "most resident: {:.1} MB, descriptors: {open}, processor time: {:.2} s",
            most as f64 / 1e6,
            self.processor_time()?.as_secs_f64()
        );
        ensure!(
            most <= self.limits.memory_mb * 1_000_000,
            "{most} bytes resident, the process has {} MB",
            self.limits.memory_mb
        );
        ensure!(open <= self.limits.descriptors, "{open} descriptors");
        answered
    }

    /// Checks that an ordinary request with this body is served.
    pub(crate) async fn post(&self, body: &[u8]) -> Result {
        let deadline = HUNG.as_millis().to_string();
        let call = Call::new("POST", HOST, "/r/x", "ordinary");
        let call = call.with(names::DEADLINE, &deadline).leaving(HUNG);
        self.call(&call.body(body)).await
    }

    /// Checks that a request is served.
    pub(crate) async fn call(&self, call: &Call) -> Result {
        let answer = Client::once(self.front()?, call).await?;
        ensure!(answer.status == 200 && answer.complete, "{answer:?}");
        Ok(())
    }

    /// Waits until the process has taken in what was sent to it.
    async fn wait_until_settled(&self) -> Result {
        let mut before = 0;
        loop {
            let most = self.most_resident_bytes()?;
            if most == before {
                return Ok(());
            }
            before = most;
            Timer::after(SETTLED).await;
        }
    }

    /// The processor time that the process has used so far.
    fn processor_time(&self) -> Result<Duration> {
        let times = fs::read_to_string(format!("/proc/{}/schedstat", self.child.id()))?;
        let running = times.split_whitespace().next();
        let ns = running.ok_or_else(|| eyre!("no times"))?.parse()?;
        Ok(Duration::from_nanos(ns))
    }

    /// The most memory that the process has had resident.
    fn most_resident_bytes(&self) -> Result<usize> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.wrap_err("the process has ended")?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|line| line.split_whitespace().next());
        let kib: usize = kib.ok_or_else(|| eyre!("no resident size"))?.parse()?;
        Ok(kib << 10)
    }
}

/// Ports that nothing listens on.
fn free_ports<const COUNT: usize>() -> Result<[u16; COUNT]> {
    let mut ports = [0; COUNT];
    let mut held = Vec::new();
    for port in &mut ports {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        *port = listener.local_addr()?.port();
        held.push(listener);
    }
    Ok(ports)
}
