//! What clients must not bring a router process to: more memory than a box has, or chats of
//! others that are not answered.

use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use futures_lite::{AsyncWriteExt, FutureExt};
use smol::{Async, Timer};
use tidepier_config::document::Policy;
use tidepier_http::client::{Call, Pool};
use tidepier_ids as ids;
use tidepier_load::caller::{self, Chat};
use tidepier_load::fleet::{key_of, Fleet, Size, User, OPERATOR_KEY};
use tidepier_router::Apply;
use tidepier_standin::oracle::Message;
use tidepier_standin::Fleet as Outside;

/// Memory of a box, in bytes.
const MEMORY_BYTES: usize = 128_000_000;
/// Clients of the crowd.
const CLIENTS: usize = 60;
/// What each of them sends: just short of the largest body.
const BODY_BYTES: usize = (4 << 20) - 1_000;
/// First port of the fleet; below those that the system hands out.
const PORT: u16 = 30_200;
/// Longest wait for something that is to happen.
const PATIENCE: Duration = Duration::from_secs(60);
/// Time without room for more bytes after which a client stops sending.
const STUCK: Duration = Duration::from_secs(2);
/// Time for which the memory of a process stands still once it has taken in what was sent.
const SETTLED: Duration = Duration::from_millis(400);

/// A router process; it is killed when dropped.
struct Process {
    child: Child,
    file: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.file);
    }
}

impl Process {
    fn start(settings: &impl serde::Serialize) -> Self {
        let file = format!("router-clients-{}.json", std::process::id());
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(file);
        let text = serde_json::to_string(settings).expect("settings");
        fs::write(&file, text).expect("a file");
        let child = Command::new(env!("CARGO_BIN_EXE_tidepier-router"))
            .arg("--settings")
            .arg(&file)
            .stderr(Stdio::null())
            .spawn()
            .expect("a process");
        Self { child, file }
    }

    /// The most memory that the process has had resident.
    fn most_resident_bytes(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process lives");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|line| line.split_whitespace().next());
        kib.expect("a size").parse::<usize>().expect("a number") << 10
    }

    async fn wait_until_settled(&self) {
        let mut before = 0;
        loop {
            let most = self.most_resident_bytes();
            if most == before {
                return;
            }
            before = most;
            Timer::after(SETTLED).await;
        }
    }
}

fn fleet() -> Fleet {
    Fleet::new(&Size {
        user: User::Safi,
        boxes: 1,
        engines: 2,
        halls: 1,
        accounts: 10,
        port: PORT,
        policy: Policy::Tidepier,
        cache_tokens: 200_000,
    })
}

/// Applies the fleet's document through the router.
async fn apply(fleet: &Fleet, pool: &Pool) -> bool {
    let wish = Apply {
        id: ids::Request::random(),
        expected: None,
        author: "test".to_owned(),
        document: serde_json::to_value(&fleet.document).expect("a document"),
    };
    let body = serde_json::to_vec(&wish).expect("a wish");
    let bearer = format!("Bearer {OPERATOR_KEY}");
    let call = Call::post("/apply", body).header("authorization", bearer);
    let admin = fleet.boxes[0].admin.0;
    pool.whole(admin, &call, 1 << 20, PATIENCE).await.is_ok()
}

fn chat(fleet: &Fleet) -> Chat {
    Chat {
        key: key_of(fleet.document.accounts[0].name.as_str()),
        model: fleet.document.models[0].name.to_string(),
        messages: vec![Message {
            role: "user".into(),
            content: "which van takes the bags?".into(),
        }],
        tokens: 2,
    }
}

async fn wait_until(mut holds: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < PATIENCE, "gave up waiting");
        Timer::after(Duration::from_millis(50)).await;
    }
}

/// A client that sends a part of a body and stays.
async fn hold(address: SocketAddr, key: String, framing: &str, part: Vec<u8>) -> Async<TcpStream> {
    let fields = format!("Host: box\r\nAuthorization: Bearer {key}\r\n{framing}");
    let head = format!("POST /v1/chat/completions HTTP/1.1\r\n{fields}\r\n\r\n");
    let client = Async::<TcpStream>::connect(address).await;
    let mut client = client.expect("accepted");
    let bytes = [head.as_bytes(), &part].concat();
    for part in bytes.chunks(64 << 10) {
        let written = async { client.write_all(part).await.is_ok() };
        let stuck = async {
            Timer::after(STUCK).await;
            false
        };
        if !written.or(stuck).await {
            break;
        }
    }
    client
}

/// The bodies of all clients together had no bound.
#[test]
fn bodies_held_open_stay_within_the_memory_of_a_box() {
    smol::block_on(async {
        let fleet = fleet();
        let _outside = Outside::start(&fleet.outside).expect("free ports");
        let process = Process::start(&fleet.boxes[0]);
        let pool = Pool::new();
        wait_until(async || apply(&fleet, &pool).await).await;
        let (chat, routers) = (chat(&fleet), fleet.routers());
        wait_until(async || caller::ask(&pool, &routers, 0, &chat).await.whole).await;
        let holding = (0..CLIENTS).map(|index| {
            let (key, address) = (chat.key.clone(), routers[0]);
            smol::spawn(async move {
                if index % 2 == 0 {
                    let framing = format!("Content-Length: {}", BODY_BYTES + 1_000);
                    hold(address, key, &framing, vec![b'l'; BODY_BYTES]).await
                } else {
                    let mut part = format!("{:x}\r\n", BODY_BYTES + 1_000).into_bytes();
                    part.resize(part.len() + BODY_BYTES, b'c');
                    hold(address, key, "Transfer-Encoding: chunked", part).await
                }
            })
        });
        let holding: Vec<_> = holding.collect();
        let mut clients = Vec::new();
        for client in holding {
            clients.push(client.await);
        }
        process.wait_until_settled().await;
        let answered = caller::ask(&pool, &routers, 0, &chat).await;
        let most = process.most_resident_bytes();
        println!("most resident: {:.1} MB", most as f64 / 1e6);
        assert!(most <= MEMORY_BYTES, "{most} bytes resident");
        assert!(answered.whole, "{answered:?}");
    });
}
