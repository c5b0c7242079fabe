//! The daemon as a process: settings, signals and exit status.

use std::collections::HashSet;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use axum::Router;
use axum::http::Uri;

/// Daemon without settings from the environment of the test.
fn daemon(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fireflyhead-node"));
    command.env_clear().args(args).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Starts a daemon and waits until it runs; its address for callers.
fn start(resolve_ttl: &str, more: &[&str]) -> (Child, String) {
    let loopback = "127.0.0.1:0";
    let args = [
        "--caller-address",
        loopback,
        "--operator-address",
        loopback,
        "--peer-address",
        loopback,
        "--resolve-ttl",
        resolve_ttl,
    ];
    let mut child = daemon(&args).args(more).env("FIREFLYHEAD_PEER_KEY", "k").spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let address = lines.by_ref().find_map(|line| {
        let line: serde_json::Value = serde_json::from_str(&line.unwrap()).unwrap();
        line["fields"]["caller"].as_str().map(str::to_owned)
    });
    // The daemon must not block on a full pipe.
    std::thread::spawn(move || lines.for_each(drop));
    (child, address.expect("the daemon logs its addresses"))
}

fn terminate(child: &Child) {
    let status = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
    assert!(status.success());
}

fn exit_code(child: &mut Child, limit: Duration) -> Option<i32> {
    let started = Instant::now();
    loop {
        match child.try_wait().unwrap() {
            Some(status) => return status.code(),
            None if started.elapsed() > limit => {
                child.kill().unwrap();
                panic!("the daemon did not stop within {limit:?}");
            }
            None => std::thread::sleep(Duration::from_millis(20)),
        }
    }
}

/// Guards against settings that are reported one at a time, or secrets that are shown.
#[test]
fn settings_are_checked_at_once_and_secrets_masked() {
    let bad = daemon(&["--lease-ttl", "1ms", "--body-limit", "x"]).output().unwrap();
    assert_eq!(bad.status.code(), Some(2));
    let errors = String::from_utf8(bad.stderr).unwrap();
    for name in ["lease-ttl", "body-limit", "peer-key"] {
        assert!(errors.contains(name), "{name}: {errors}");
    }
    let good = daemon(&["--check"]).env("FIREFLYHEAD_PEER_KEY", "hidden-key").output().unwrap();
    assert_eq!(good.status.code(), Some(0));
    let shown = String::from_utf8(good.stdout).unwrap();
    assert!(shown.contains("body-limit") && !shown.contains("hidden-key"), "{shown}");
}

/// Guards against an address in use that is reported as a success.
#[test]
fn an_address_in_use_ends_the_daemon_with_an_error() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let output = daemon(&["--caller-address", &address]).env("FIREFLYHEAD_PEER_KEY", "k").output();
    let output = output.unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains(&address));
}

/// Guards against a planned stop that never ends, and a second signal that is ignored.
#[test]
fn signals_stop_the_daemon_as_planned_or_at_once() {
    let (mut planned, address) = start("1s", &[]);
    let mut socket = TcpStream::connect(&address).unwrap();
    socket.write_all(b"GET /readyz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).unwrap();
    assert!(answer.contains("503") && answer.contains("not_ready"), "{answer}");
    terminate(&planned);
    assert_eq!(exit_code(&mut planned, Duration::from_secs(15)), Some(0));
    let (mut twice, _) = start("1m", &[]);
    terminate(&twice);
    std::thread::sleep(Duration::from_millis(300));
    assert!(twice.try_wait().unwrap().is_none(), "the planned stop lasts as long as the answers");
    terminate(&twice);
    assert_eq!(exit_code(&mut twice, Duration::from_secs(3)), Some(0));
}

/// Guards against traces and metrics that are lost when the daemon stops.
#[tokio::test(flavor = "multi_thread")]
async fn traces_and_metrics_reach_the_collector() {
    let paths: Arc<Mutex<HashSet<String>>> = Arc::default();
    let seen = paths.clone();
    let collector = Router::new().fallback(move |uri: Uri| async move {
        seen.lock().unwrap().insert(uri.path().to_owned());
    });
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoint = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move { axum::serve(listener, collector).await });
    let run = tokio::task::spawn_blocking(move || {
        let (mut child, address) =
            start("1s", &["--telemetry", "otlp", "--otlp-endpoint", &endpoint]);
        let mut socket = TcpStream::connect(&address).unwrap();
        let head = "GET /svc/desk/orders HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        socket.write_all(head.as_bytes()).unwrap();
        let mut answer = String::new();
        socket.read_to_string(&mut answer).unwrap();
        assert!(answer.contains("not_ready"), "{answer}");
        terminate(&child);
        exit_code(&mut child, Duration::from_secs(20))
    });
    assert_eq!(run.await.unwrap(), Some(0));
    let paths = paths.lock().unwrap().clone();
    assert!(paths.contains("/v1/traces"), "{paths:?}");
    assert!(paths.contains("/v1/metrics"), "{paths:?}");
}
