//! A router process, a server that answers what a test says, and a sound one.

use std::fs;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use eyre::{ensure, eyre, WrapErr as _};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use serde_json::{json, Value};
use smol::{Async, Task, Timer};
use tidepier_core::catalog::Kind;
use tidepier_relay_standin::client::Call;
use tidepier_relay_standin::names;
use tidepier_relay_standin::server::{self, Server};
use tidepier_relay_standin::site::{Route, Site, HOST};
use tidepier_relay_standin::Client;

/// The result of a test.
pub(crate) type Result<T = ()> = eyre::Result<T>;

/// Memory of the process, in megabytes.
const MEMORY_MB: usize = 64;
/// Descriptors of the process.
const DESCRIPTORS: usize = 4_100;
/// Time after which a process counts as hung.
const HUNG: Duration = Duration::from_secs(60);
/// Interval between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which the memory of a process stands still once it has taken in what was sent.
const SETTLED: Duration = Duration::from_millis(400);
/// Connections that a server takes, of which a box uses the part of one among the twelve that
/// it counts with.
const SLOTS: usize = 12_000;

/// Held by the test that runs.
static SERIAL: Mutex<()> = Mutex::new(());

/// What a faulty server answers to each request.
#[derive(Clone, Default)]
pub(crate) struct Answers {
    /// The head; `ATTEMPT` stands for the attempt that is answered.
    pub(crate) head: String,
    /// The bytes that follow it.
    pub(crate) body: Vec<u8>,
    /// Whether the server then closes the connection; it stays open otherwise.
    pub(crate) ends: bool,
}

/// A router process in its environment; everything ends when it is dropped.
pub(crate) struct Harness {
    child: Child,
    file: PathBuf,
    settings: Value,
    store: Store,
    _sound: Server,
    _faulty: Task<()>,
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
    /// Starts a process and waits until it is ready. Requests for `/r/` reach the sound
    /// server; those for the streams of `/s/` and the whole answers of `/w/` the faulty one.
    pub(crate) async fn start(answers: Answers) -> Result<Self> {
        let serial = SERIAL.lock();
        // A test that failed has left nothing behind.
        let serial = serial.unwrap_or_else(|poisoned| poisoned.into_inner());
        let site = Site::start()?;
        let faulty = |prefix, kind| Route {
            timeout: HUNG,
            ..Route::new(prefix, kind, "service-2")
        };
        site.declare(&[
            Route::new("/r/", Kind::Repeatable, "service-1"),
            faulty("/s/", Kind::Stream { resumable: false }),
            faulty("/w/", Kind::AtMostOnce),
        ]);
        site.configure(|config| {
            for service in config["services"].as_array_mut().into_iter().flatten() {
                service["max_connections"] = json!(SLOTS);
            }
        });
        let sound = site.server(server::Settings {
            id: "i-sound".into(),
            service: "service-1".into(),
            ..server::Settings::default()
        })?;
        let faulty = start_faulty(&site, answers)?;
        let store = Store::open(site.store.address())?;
        let ports = free_ports::<3>()?;
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port)).to_string();
        let settings = json!({
            "name": "box-1", "hall": "hall-1",
            "callers": address(ports[0]), "readiness": address(ports[1]),
            "metrics": address(ports[2]),
            "limits": { "memory_mb": MEMORY_MB, "descriptors": DESCRIPTORS },
            "store": { "address": store.address.to_string() },
        });
        let file = format!("answers-{}.json", ports[0]);
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file);
        fs::write(&file, settings.to_string())?;
        let child = Command::new(env!("CARGO_BIN_EXE_tidepier-relay"))
            .args(["--log", "error", "--settings"])
            .arg(&file)
            .stdout(Stdio::inherit())
            .spawn()?;
        let harness = Self {
            child,
            file,
            settings,
            store,
            _sound: sound,
            _faulty: faulty,
            _site: site,
            _serial: serial,
        };
        harness.wait_until_ready().await?;
        Ok(harness)
    }

    async fn wait_until_ready(&self) -> Result {
        let waiting = async {
            while self.get("readiness", names::READY).await != Some(200) {
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

    fn address(&self, name: &str) -> Result<SocketAddr> {
        let address = self.settings[name].as_str();
        Ok(address.ok_or_else(|| eyre!("no address"))?.parse()?)
    }

    async fn get(&self, name: &str, path: &str) -> Option<u16> {
        let call = Call::new("GET", HOST, path, "get");
        let answer = Client::once(self.address(name).ok()?, &call).await;
        answer.ok().map(|answer| answer.status)
    }

    /// Ends all connections to the store, which then answers each call with `answers`.
    pub(crate) fn break_store(&self, answers: Answers) {
        self.store.carrying.lock().expect("no panic").clear();
        *self.store.answers.lock().expect("no panic") = Some(Arc::new(answers));
    }

    /// Sends `count` requests at once, whose answers are read or not; the connections stay open
    /// until what is returned is dropped.
    pub(crate) async fn crowd(
        &self,
        target: &str,
        count: usize,
        reads: bool,
    ) -> Result<Vec<Task<()>>> {
        let front = self.address("callers")?;
        let mut crowd = Vec::new();
        for number in 0..count {
            let head = format!(
                "POST {target} HTTP/1.1\r\nHost: {HOST}\r\n{}: c-{number}\r\n{}: 60000\r\n\
                 Content-Length: 0\r\n\r\n",
                names::ATTEMPT,
                names::DEADLINE,
            );
            let mut client = Async::<TcpStream>::connect(front).await?;
            client.write_all(head.as_bytes()).await?;
            crowd.push(smol::spawn(async move {
                let mut answer = vec![0; 16 << 10];
                while reads && matches!(client.read(&mut answer).await, Ok(1..)) {}
                std::future::pending().await
            }));
        }
        Ok(crowd)
    }

    /// Checks that the process lives within its memory and its descriptors, and answers an
    /// ordinary request.
    pub(crate) async fn check(&mut self) -> Result {
        self.wait_until_settled().await?;
        if let Some(status) = self.child.try_wait()? {
            return Err(eyre!("the process has ended: {status}"));
        }
        let open = fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count();
        let deadline = HUNG.as_millis().to_string();
        let call = Call::new("POST", HOST, "/r/x", "ordinary").body(b"question");
        let call = call.with(names::DEADLINE, &deadline).leaving(HUNG);
        let answer = Client::once(self.address("callers")?, &call).await?;
        let most = self.most_resident_bytes()?;
        println!(
            "most resident: {:.1} MB, descriptors: {open}",
            most as f64 / 1e6
        );
        ensure!(
            most <= MEMORY_MB * 1_000_000,
            "{most} bytes resident, the process has {MEMORY_MB} MB"
        );
        ensure!(open <= DESCRIPTORS, "{open} descriptors");
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

/// A proxy in front of the store.
struct Store {
    address: SocketAddr,
    /// Connections that are forwarded to the store.
    carrying: Arc<Mutex<Vec<Task<()>>>>,
    /// What it answers itself, in place of the store.
    answers: Arc<Mutex<Option<Arc<Answers>>>>,
    _listening: Task<()>,
}

impl Store {
    fn open(store: SocketAddr) -> Result<Self> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        let carrying = Arc::<Mutex<Vec<Task<()>>>>::default();
        let answers = Arc::<Mutex<Option<Arc<Answers>>>>::default();
        let (open, faulty) = (carrying.clone(), answers.clone());
        let listening = smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let answers = faulty.lock().expect("no panic").clone();
                let carry = async move {
                    // An error means that the process has closed the connection.
                    let _ = match answers {
                        Some(answers) => answer(stream, &answers).await,
                        None => forward(stream, store).await,
                    };
                };
                open.lock().expect("no panic").push(smol::spawn(carry));
            }
        });
        Ok(Self {
            address,
            carrying,
            answers,
            _listening: listening,
        })
    }
}

async fn forward(near: Async<TcpStream>, store: SocketAddr) -> std::io::Result<()> {
    let far = Async::<TcpStream>::connect(store).await?;
    let there = futures_lite::io::copy(&near, &far);
    there.or(futures_lite::io::copy(&far, &near)).await?;
    Ok(())
}

/// Starts the faulty server and registers it.
fn start_faulty(site: &Site, answers: Answers) -> Result<Task<()>> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let entry = json!({
        "service": "service-2", "address": listener.get_ref().local_addr()?.to_string(),
        "zone": "hall-1", "version": "v1", "slots": SLOTS, "state": "ready",
        "cold_remaining_ms": 0, "sequence": 1,
    });
    site.store.put_server("i-faulty", &entry);
    let answers = Arc::new(answers);
    Ok(smol::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            let answers = answers.clone();
            open.push(smol::spawn(async move {
                // An error means that the process has closed the connection.
                let _ = answer(stream, &answers).await;
            }));
        }
    }))
}

/// Answers one request.
async fn answer(mut stream: Async<TcpStream>, answers: &Answers) -> std::io::Result<()> {
    let mut request = Vec::new();
    let mut buffer = [0; 4_096];
    while !request.windows(4).any(|part| part == b"\r\n\r\n") {
        match stream.read(&mut buffer).await? {
            0 => return Ok(()),
            count => request.extend_from_slice(&buffer[..count]),
        }
    }
    let request = String::from_utf8_lossy(&request).into_owned();
    let name = format!("{}: ", names::ATTEMPT);
    let mut lines = request.lines();
    let attempt = lines.find_map(|line| line.strip_prefix(&name));
    let head = answers.head.replace("ATTEMPT", attempt.unwrap_or("-"));
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&answers.body).await?;
    if !answers.ends {
        // Until the process closes the connection.
        while stream.read(&mut buffer).await? > 0 {}
    }
    Ok(())
}

/// Ports that nothing listens on.
fn free_ports<const COUNT: usize>() -> Result<[u16; COUNT]> {
    let mut ports = [0; COUNT];
    let mut held = Vec::new();
    for port in &mut ports {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        *port = listener.local_addr()?.port();
        held.push(listener);
    }
    Ok(ports)
}
