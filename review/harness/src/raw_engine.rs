//! Model engine that crashes when it has begun to write an answer on a certain prompt part. It writes
//! each line of its first event by itself.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use fireflyhead_platform_standin::store::Store;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::workers::DOWNTIME;

/// Interval at which the engine writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Number of events of an answer, and the time before each.
const EVENTS: usize = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Time between the lines of the first event, and between its end and the crash.
const LINE_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of bytes per read.
const BUF_SIZE: usize = 16 * 1024;

/// What the engine has seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Requests that ran, with the time of each.
    pub arrivals: Vec<(Instant, String)>,
    /// Requests that crashed the engine.
    pub crashes: Vec<(Instant, String)>,
}

/// Running engine.
#[derive(Clone, Debug)]
pub struct RawEngine {
    /// Id of the engine.
    pub id: String,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    id: String,
    /// Part that crashes the engine; `None` if none does.
    deadly_part: Option<String>,
    address: SocketAddr,
    store: Store,
    seen: Mutex<Seen>,
    crash: mpsc::Sender<()>,
}

impl RawEngine {
    /// Starts an engine that registers in `store`.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(
        id: &str,
        deadly_part: Option<&str>,
        store: &Store,
    ) -> io::Result<RawEngine> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let (crash, crashes) = mpsc::channel(64);
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            deadly_part: deadly_part.map(str::to_owned),
            address: listener.local_addr()?,
            store: store.clone(),
            seen: Mutex::default(),
            crash,
        });
        tokio::spawn(run(Arc::clone(&shared), listener, crashes));
        Ok(RawEngine { id: id.to_owned(), shared })
    }

    /// Returns what the engine has seen so far.
    pub fn seen(&self) -> Seen {
        self.shared.seen().clone()
    }
}

impl Shared {
    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn register(&self, born: u64) {
        let entry = json!({
            "service": "verse-models",
            "address": self.address,
            "zone": "waco-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldLeftMs": 0,
            "models": [{ "name": "base", "version": 1, "adapters": [] }],
            "seq": 0,
            "born": born,
        });
        self.store.put(&format!("servers/{}", self.id), &entry.to_string());
    }
}

/// Serves, and starts again some time after each crash.
async fn run(shared: Arc<Shared>, mut listener: TcpListener, mut crashes: mpsc::Receiver<()>) {
    loop {
        let born = unix_millis();
        let mut connections = JoinSet::new();
        let serving = async {
            shared.register(born);
            loop {
                match timeout(HEARTBEAT, listener.accept()).await {
                    Ok(Ok((stream, _))) => {
                        connections.spawn(serve(Arc::clone(&shared), stream, born));
                    }
                    Ok(Err(_)) => sleep(EVENT_INTERVAL).await,
                    Err(_) => shared.register(born),
                }
            }
        };
        tokio::select! {
            () = serving => {}
            _ = crashes.recv() => {}
        }
        // All sockets of the process close.
        drop(listener);
        connections.shutdown().await;
        sleep(DOWNTIME).await;
        while crashes.try_recv().is_ok() {}
        match TcpListener::bind(shared.address).await {
            Ok(again) => listener = again,
            Err(e) => {
                eprintln!("{} cannot start again: {e}", shared.id);
                return;
            }
        }
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Head of a request.
#[derive(Debug)]
struct Head {
    path: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn get(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// Serves the requests of one connection. An error ends it.
async fn serve(shared: Arc<Shared>, mut stream: TcpStream, born: u64) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buf = Vec::new();
    while let Some(head) = read_request(&mut stream, &mut buf).await? {
        let target = head.get("fireflyhead-target-instance");
        if !target.is_empty() && target != shared.id {
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\
                 fireflyhead-instance-id: {}\r\nfireflyhead-request-id: {}\r\n\r\n",
                shared.id,
                head.get("fireflyhead-request-id")
            );
            stream.write_all(head.as_bytes()).await?;
            continue;
        }
        match head.path.as_str() {
            "/api/report" => {
                let body = json!({
                    "stage": "both",
                    "models": [{ "name": "base", "version": 1, "adapters": [] }],
                    "busy": false, "seq": 0, "queued": 0, "inFlight": 0, "kvUsed": 0,
                    "kvTotal": 122_748, "handles": 0, "born": born,
                })
                .to_string();
                let head = format!(
                    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                stream.write_all((head + &body).as_bytes()).await?;
            }
            "/api/order" => {
                stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await?;
            }
            _ => answer(&shared, &mut stream, &head).await?,
        }
    }
    Ok(())
}

/// Reads a request with its body; `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Head>> {
    let mut chunk = vec![0; BUF_SIZE];
    loop {
        if let Some(end) = buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = parse_head(&String::from_utf8_lossy(&buf[..end]));
            let length: usize = head.get("content-length").parse().unwrap_or(0);
            if buf.len() >= end + 4 + length {
                buf.drain(..end + 4 + length);
                return Ok(Some(head));
            }
        }
        let len = stream.read(&mut chunk).await?;
        if len == 0 {
            return Ok(None);
        }
        buf.extend_from_slice(&chunk[..len]);
    }
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.lines();
    let path = lines.next().and_then(|line| line.split(' ').nth(1)).unwrap_or_default();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Head { path: path.to_owned(), headers }
}

/// Writes an answer, or begins to and crashes.
async fn answer(shared: &Shared, stream: &mut TcpStream, head: &Head) -> io::Result<()> {
    let id = head.get("fireflyhead-request-id").to_owned();
    shared.seen().arrivals.push((Instant::now(), id.clone()));
    let mut parts = head.get("fireflyhead-prompt-prefix").split(',');
    let deadly = shared.deadly_part.as_ref().is_some_and(|deadly| {
        parts.any(|part| part.split_once(':').is_some_and(|(id, _)| id == deadly))
    });
    sleep(EVENT_INTERVAL).await;
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
         fireflyhead-request-id: {id}\r\nfireflyhead-response-seal: seal-{}\r\n\r\n",
        shared.id
    );
    stream.write_all(head.as_bytes()).await?;
    for n in 0..EVENTS {
        write_chunk(stream, &format!("id: {n}\n")).await?;
        if n == 0 {
            sleep(LINE_INTERVAL).await;
        }
        write_chunk(stream, &format!("data: token-{n}\n\n")).await?;
        if deadly {
            sleep(LINE_INTERVAL).await;
            shared.seen().crashes.push((Instant::now(), id));
            // Fails only if the engine crashes already.
            let _sent = shared.crash.try_send(());
            return std::future::pending().await;
        }
        sleep(EVENT_INTERVAL).await;
    }
    stream.write_all(b"0\r\n\r\n").await
}

async fn write_chunk(stream: &mut TcpStream, data: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{data}\r\n", data.len()).as_bytes()).await
}
