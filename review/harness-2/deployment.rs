//! Nodes of the project as processes, workers, and the record of a case.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Connection;
use crate::http::Message;
use crate::store::Store;

/// Interval at which a worker writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Lines of `record.txt`, with the seconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = Mutex::new(fs::File::create(path).expect("record.txt can be written"));
        Arc::new(Record { start: Instant::now(), file })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Number of ports that were tried.
static PORTS_TRIED: AtomicU64 = AtomicU64::new(0);

/// Returns a port that nobody uses, the next one being free too. It is below the range from which the
/// system takes ports of connections, so that none takes it before the process has started.
pub fn free_port() -> u16 {
    loop {
        let tried = PORTS_TRIED.fetch_add(2, Ordering::Relaxed);
        let port = 16_000 + ((u64::from(std::process::id()) * 62 + tried) % 14_000) as u16;
        let is_free = |port| TcpListener::bind(("127.0.0.1", port)).is_ok();
        if is_free(port) && is_free(port + 1) {
            return port;
        }
    }
}

/// Node process; it is killed when this is dropped.
pub struct Node {
    pub name: String,
    zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    ports: [u16; 4],
    store: SocketAddr,
    folder: PathBuf,
    /// Whether the host and the bounds are those of the small hosts on the grown sheets.
    pub is_small: bool,
    child: Option<Child>,
}

impl Node {
    pub fn new(name: &str, zone: &str, store: SocketAddr, folder: &Path) -> Node {
        // The process uses the port after the last one, too, for its metrics.
        let internal = free_port();
        let ports = [free_port(), free_port(), free_port(), internal];
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Node {
            name: name.to_owned(),
            zone: zone.to_owned(),
            front: address(ports[0]),
            ready: address(ports[1]),
            ports,
            store,
            folder: folder.to_owned(),
            is_small: false,
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let [front, ready, directory, internal] = self.ports;
        let (name, zone, store) = (&self.name, &self.zone, self.store);
        let (limits, contact, apply) = match self.is_small {
            true => (r#""cpuShare":0.09,"cores":1,"memoryMb":120,"maxFds":3075,"linkMbps":10.0"#, 4_000, 3_000),
            false => (r#""cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0"#, 3_000, 2_000),
        };
        let settings = format!(
            r#"{{"node":"{name}","role":"gateway","machineClass":"edge","serves":["edge","directory"],
"ip":"127.0.0.1","zone":"{zone}","region":"piedmont","zones":{{"{zone}":"piedmont"}},
"listen":{{"front":"127.0.0.1:{front}","readyAddr":"127.0.0.1:{ready}","directory":"127.0.0.1:{directory}"}},
"internalPorts":[{internal},{last}],"seeds":[],"bootstrap":true,"lossCounts":false,
"limits":{{{limits},"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"directory","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"],
"faultTolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"addrReuseS":2,"contactMs":{contact},"ackMs":4000,"catchUpS":4,"drainMs":{apply},"graceS":8,
"lossSlackMs":200,"configApplyMs":{apply},"rollbackSlackMs":250,"maxStretchMs":5000,"retryBudgetRatio":0.2,
"budgetWindowS":10,"budgetSlack":52,"recoveryS":12,"passMs":120,"retryAfterS":0,"fenceChecked":false,
"leaseMs":3000,"thawSlackMs":300,"ceilingWindowS":5,"ceilingOverage":1.1,"version_ms":5000,"ttl_max_s":5}},
"platform":{{"address":"{store}","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,
"valueBytes":1048576,"ttlMinMs":1000}}}}"#,
            last = internal + 1
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("the log can be written");
        let child = Command::new("target/release/fireflyhead-platform")
            .env_clear()
            .env("FIREFLYHEAD_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        self.child = child.ok();
    }

    /// Waits until the node is ready; `false` after 15 s.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let response = Connection::open(self.ready).and_then(|mut connection| {
                connection.call("GET", "/api/readyz", &[("Host", self.ready.to_string())], b"")
            });
            if matches!(response, Ok(Some(message)) if message.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal, such as `TERM`, to the process.
    #[allow(dead_code)]
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
        }
    }

    /// Returns whether the process ended by itself.
    #[allow(dead_code)]
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Ends the process by SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends the process by SIGTERM, and waits for it.
    #[allow(dead_code)]
    pub fn stop(&mut self) {
        self.signal("TERM");
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a worker does with a request.
pub struct Work {
    pub time: Duration,
    pub body: Vec<u8>,
}

/// Worker of a plain service.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    born: u64,
    seq: AtomicU64,
    /// Whether it leaves.
    pub draining: AtomicBool,
    store: Arc<Store>,
}

impl Worker {
    /// Starts a worker, whose heartbeats go on until the end of the case.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        store: &Arc<Store>,
        record: &Arc<Record>,
        work: impl Fn(&Message) -> Work + Send + Sync + 'static,
    ) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: unix_millis(),
            seq: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            store: Arc::clone(store),
        });
        let (served, record) = (Arc::clone(&worker), Arc::clone(record));
        http::serve(listener, move |request, stream| {
            let id = [("Fireflyhead-Instance-Id", served.id.clone())];
            if request.path() == "/healthz" {
                return http::respond(stream, "200 OK", &id, b"");
            }
            let request_id = request.header("Fireflyhead-Request-Id").unwrap_or("-").to_owned();
            let target = request.header("Fireflyhead-Target-Instance");
            if target.is_some_and(|target| target != served.id) {
                return http::respond(stream, "421 Misdirected Request", &id, b"");
            }
            record.line(&format!("worker {} runs {request_id}", served.id));
            let Work { time, body } = work(&request);
            thread::sleep(time);
            let headers = [
                ("Fireflyhead-Request-Id", request_id.clone()),
                ("Fireflyhead-Response-Seal", format!("seal.{request_id}")),
                ("Fireflyhead-Server-Load", "1,0,6".to_owned()),
            ];
            let sent = http::respond(stream, "200 OK", &headers, &body);
            let bytes = body.len();
            record.line(&format!("worker {} answered {request_id} bytes={bytes} sent={sent}", served.id));
            sent
        });
        let beating = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                beating.register();
                thread::sleep(HEARTBEAT);
            }
        });
        worker
    }

    /// Writes its entry.
    pub fn register(&self) {
        let state = match self.draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let seq = self.seq.fetch_add(1, Ordering::SeqCst);
        let Worker { id, address, service, zone, born, .. } = self;
        self.store.write(
            &format!("servers/{id}"),
            &format!(
                r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"{state}","coldLeftMs":0,"seq":{seq},"born":{born}}}"#
            ),
        );
    }
}

/// Sends a request on a kept connection and records it. Returns the response, or `None` if the
/// connection ended without one.
pub fn call(
    connection: &mut Connection,
    record: &Record,
    id: &str,
    method: &str,
    path: &str,
    deadline_ms: u64,
) -> Option<Message> {
    record.line(&format!("client sends {id} {method} {path} deadline={deadline_ms}"));
    let headers = [
        ("Host", "desk.example".to_owned()),
        ("Fireflyhead-Request-Id", id.to_owned()),
        ("Fireflyhead-Deadline-Ms", deadline_ms.to_string()),
    ];
    let body: &[u8] = if method == "POST" { b"{\"cards\":12}" } else { b"" };
    let response = connection.call(method, path, &headers, body);
    match response {
        Ok(Some(message)) => {
            let (status, bytes) = (message.status(), message.body.len());
            record.line(&format!("client gets {id} status={status} bytes={bytes}"));
            Some(message)
        }
        Ok(None) => {
            record.line(&format!("client of {id}: the connection was closed without an answer"));
            None
        }
        Err(error) => {
            record.line(&format!("client of {id}: the connection ended without an answer: {error}"));
            None
        }
    }
}
