//! Node processes, started with the command of the deploy file.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::json;
use tokio::time::sleep;

/// Program that the deploy file runs.
const PROGRAM: &str = "target/release/fireflyhead-platform";
/// Number of ports of a node: callers, readiness, directory, control and two internal ones.
const PORT_COUNT: u16 = 6;
/// First port that may be used; all lie below the ephemeral ports of the system.
const FIRST_PORT: u16 = 15_000;
/// Number of port ranges that are tried.
const MAX_RANGES: u16 = 2_000;
/// Time within which a process must be ready or must have ended.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(12);

/// Node with its settings file and, while it runs, its process.
#[derive(Debug)]
pub struct Node {
    /// Name of the node.
    pub name: String,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for readiness checks.
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Node {
    /// Writes the settings of a node into `dir`; the node reaches the store at `store`.
    ///
    /// # Errors
    /// No ports are free, or the file can't be written.
    pub fn new(name: &str, dir: &Path, store: SocketAddr) -> Result<Node> {
        let first = free_ports().context("no free ports")?;
        let address = |n: u16| SocketAddr::from(([127, 0, 0, 1], first + n));
        let settings = json!({
            "node": name,
            "role": "gateway",
            "machineClass": "edge",
            "serves": ["edge", "directory"],
            "ip": "127.0.0.1",
            "zone": "waco-a",
            "region": "tx-central",
            "zones": { "waco-a": "tx-central" },
            "listen": {
                "front": address(0),
                "readyAddr": address(1),
                "directory": address(2),
                "control": address(3),
            },
            "internalPorts": [first + 4, first + 5],
            "seeds": [],
            "bootstrap": true,
            "lossCounts": false,
            "limits": {
                "cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0,
                "diskMb": 0
            },
            "dataDir": null,
            "discovery": "platform",
            "entry": "directory",
            "heartbeatMs": 1200,
            "contracts": [
                "base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine",
                "platform"
            ],
            "faultTolerance": { "machines": 2, "zones": 0, "regions": 0 },
            "bounds": {
                "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
                "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
                "rollbackSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2,
                "budgetWindowS": 10, "budgetSlack": 58, "recoveryS": 12, "passMs": 120,
                "retryAfterS": 0, "fenceChecked": false, "leaseMs": 3000, "thawSlackMs": 300,
                "ceilingWindowS": 5, "ceilingOverage": 1.1, "version_ms": 5000, "ttl_max_s": 5
            },
            "platform": {
                "address": store, "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                "historyS": 20, "valueBytes": 1_048_576, "ttlMinMs": 1000
            },
        });
        let path = dir.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        Ok(Node {
            name: name.to_owned(),
            front: address(0),
            readiness: address(1),
            settings: path,
            log: dir.join(format!("{name}.log")),
            process: None,
        })
    }

    /// Starts the process.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn start(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("FIREFLYHEAD_BOOT", &self.settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("cannot start {PROGRAM}"))?;
        self.process = Some(child);
        Ok(())
    }

    /// Waits until the readiness check succeeds.
    ///
    /// # Errors
    /// The node is not ready in time.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let client = reqwest::Client::builder().no_proxy().build()?;
        let url = format!("http://{}/api/readyz", self.readiness);
        let start = Instant::now();
        loop {
            let reply = client.get(&url).timeout(Duration::from_secs(1)).send().await;
            if reply.is_ok_and(|reply| reply.status() == 200) {
                return Ok(());
            }
            ensure!(start.elapsed() < PROCESS_TIMEOUT, "{} is not ready", self.name);
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends SIGTERM and waits until the process has ended.
    ///
    /// # Errors
    /// The process does not end in time.
    pub async fn terminate(&mut self) -> Result<()> {
        self.signal(Signal::TERM);
        let start = Instant::now();
        while let Some(process) = &mut self.process {
            if process.try_wait()?.is_some() {
                self.process = None;
                break;
            }
            ensure!(start.elapsed() < PROCESS_TIMEOUT, "{} does not end", self.name);
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            // Fails only if the process has ended.
            drop(process.kill());
            drop(process.wait());
        }
    }

    fn signal(&self, signal: Signal) {
        if let Some(process) = &self.process
            && let Ok(id) = i32::try_from(process.id())
            && let Some(pid) = Pid::from_raw(id)
        {
            // Fails only if the process has ended.
            let _sent = kill_process(pid, signal);
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Temporary directory of one run, removed at its end.
#[derive(Debug)]
pub struct RunDir(PathBuf);

impl RunDir {
    /// Creates the directory.
    ///
    /// # Errors
    /// It can't be created.
    pub fn create() -> Result<RunDir> {
        let path = std::env::temp_dir().join(format!("fireflyhead-review-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(RunDir(path))
    }

    /// Returns the path.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for RunDir {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            drop(std::fs::remove_dir_all(&self.0));
        }
    }
}

/// Returns the first port of a range that is free and that no earlier call has returned.
fn free_ports() -> Option<u16> {
    use std::sync::atomic::AtomicU16;
    use std::sync::atomic::Ordering;
    static TRIED: AtomicU16 = AtomicU16::new(0);
    let free = |port: u16| {
        TcpListener::bind(("127.0.0.1", port)).is_ok()
            && UdpSocket::bind(("127.0.0.1", port)).is_ok()
    };
    let offset = (std::process::id() % u32::from(MAX_RANGES)) as u16;
    loop {
        let n = TRIED.fetch_add(1, Ordering::Relaxed);
        if n >= MAX_RANGES {
            return None;
        }
        let first = FIRST_PORT + (offset + n) % MAX_RANGES * PORT_COUNT;
        if (first..first + PORT_COUNT).all(free) {
            return Some(first);
        }
    }
}
