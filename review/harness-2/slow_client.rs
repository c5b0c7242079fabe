//! LOST: the answer to a client that reads nothing for a time is cut off by the node.
//!
//! Clients place an order whose answer has 2 MiB on a kept connection, and read the body 7.5 s later, or
//! 2 s later without the disruption. The node gets SIGTERM 0.5 s after the orders, and has 8 s to stop.
//! The deadline is 20 s, and `idleTimeoutMs` is 15,000.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::Node;
use crate::deployment::Record;
use crate::deployment::Work;
use crate::deployment::Worker;
use crate::store::Store;

const CLIENTS: usize = 6;
const ANSWER_BYTES: usize = 2 * 1024 * 1024;
/// Number of lost requests up to which the rule holds.
const ALLOWED: usize = 3;

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"order","host":"desk.example","pathPrefix":"/order/","kind":"non_idempotent","service":"order-desk",
"timeoutMs":20000,"targetLatencyMs":2000,"priority":0,"maxAttempts":1}],
"services":[{"name":"order-desk","healthPath":"/healthz","maxConns":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

pub fn run(record: &Arc<Record>, folder: &Path, trouble: bool) -> Verdict {
    let (store, address) = Store::start();
    store.write("op/config", CONFIG);
    let _workers: Vec<Arc<Worker>> = (0..3)
        .map(|n| {
            Worker::start(&format!("i-{n}"), "order-desk", "zone-a", &store, record, |request| {
                let bytes = if request.path() == "/order/small" { 800 } else { ANSWER_BYTES };
                Work { time: Duration::from_millis(60), body: vec![b'x'; bytes] }
            })
        })
        .collect();
    let mut node = Node::new("edge-0", "zone-0", address, folder);
    node.start();
    if !node.wait_ready() {
        return Verdict::NotRun("the node is not ready".to_owned());
    }
    // The rule holds for machines in touch: contactMs after their start.
    thread::sleep(Duration::from_millis(4_000));
    let pause = Duration::from_millis(if trouble { 7_500 } else { 2_000 });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, front) = (Arc::clone(record), node.front);
            thread::spawn(move || run_client(&record, front, n, pause))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    record.line("SIGTERM to the node");
    node.signal("TERM");
    let mut lost = 0;
    for client in clients {
        match client.join() {
            Ok(Ok(Some(true))) => {}
            Ok(Ok(Some(false))) => lost += 1,
            Ok(Ok(None) | Err(_)) | Err(_) => {
                return Verdict::NotRun("an order was not served".to_owned());
            }
        }
    }
    record.line(&format!("orders without their answer: {lost} of {CLIENTS}"));
    if lost > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

/// Places two orders on one connection, the second with a large answer; returns whether that was
/// received whole, or `None` if an order got another status than 200.
fn run_client(
    record: &Record,
    front: SocketAddr,
    n: usize,
    pause: Duration,
) -> std::io::Result<Option<bool>> {
    let mut reader = BufReader::new(TcpStream::connect(front)?);
    for (id, path, wait) in [(format!("{n}aa"), "small", Duration::ZERO), (format!("{n}bb"), "new", pause)] {
        record.line(&format!("client sends {id} POST /order/{path} deadline=20000"));
        let head = format!(
            "POST /order/{path} HTTP/1.1\r\nHost: desk.example\r\nFireflyhead-Request-Id: {id}\r\n\
             Fireflyhead-Deadline-Ms: 20000\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        reader.get_mut().write_all(head.as_bytes())?;
        let (mut status, mut length) = (0, 0);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? <= 2 {
                break;
            }
            if let Some(code) = line.strip_prefix("HTTP/1.1 ") {
                status = code.split(' ').next().and_then(|code| code.parse().ok()).unwrap_or(0);
            }
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
        if status != 200 {
            record.line(&format!("client gets {id} status={status}"));
            return Ok(None);
        }
        thread::sleep(wait);
        let mut body = Vec::new();
        let read = (&mut reader).take(length).read_to_end(&mut body);
        let (received, error) = (body.len() as u64, read.err());
        record.line(&format!("client gets {id} status=200, {received} of {length} bytes, {error:?}"));
        if received < length {
            return Ok(Some(false));
        }
    }
    Ok(Some(true))
}
