//! LOST: whole streams of a worker that leaves are cut off at their end.
//!
//! A worker answers with streams that have neither a length nor chunks. It reports `draining`, serves on
//! for `drainMs` and 1 s more, then accepts no further connection, finishes the streams that it runs,
//! and exits. Without the disruption it accepts connections until the last stream has ended.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::Node;
use crate::deployment::Record;
use crate::deployment::unix_millis;
use crate::http;
use crate::store::Store;

const CLIENTS: usize = 8;
const EVENTS: usize = 57;
/// Pause between two events.
const GAP: Duration = Duration::from_millis(100);
/// Number of lost requests up to which the rule holds.
const ALLOWED: usize = 3;

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"draft","host":"desk.example","pathPrefix":"/draft/","kind":"streaming","resumable":false,"service":"drafts",
"timeoutMs":15000,"targetLatencyMs":1000,"gapTargetMs":300,"priority":0,"maxAttempts":1}],
"services":[{"name":"drafts","healthPath":"/healthz","maxConns":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

pub fn run(record: &Arc<Record>, folder: &Path, trouble: bool) -> Verdict {
    let (store, address) = Store::start();
    store.write("op/config", CONFIG);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let worker_address = listener.local_addr().expect("an address");
    let listening = Arc::new(AtomicBool::new(true));
    start_worker(listener, Arc::clone(&listening), Arc::clone(record));
    let draining = Arc::new(AtomicBool::new(false));
    let (entries, drains, born) = (Arc::clone(&store), Arc::clone(&draining), unix_millis());
    thread::spawn(move || {
        for seq in 0.. {
            register(&entries, worker_address, born, seq, drains.load(Ordering::SeqCst));
            thread::sleep(Duration::from_millis(1_200));
        }
    });
    let mut node = Node::new("edge-0", "zone-0", address, folder);
    node.start();
    if !node.wait_ready() {
        return Verdict::NotRun("the node is not ready".to_owned());
    }
    // The rule holds for machines in touch: contactMs after their start.
    thread::sleep(Duration::from_millis(4_000));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, front) = (Arc::clone(record), node.front);
            thread::spawn(move || run_client(&record, front, n))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    draining.store(true, Ordering::SeqCst);
    register(&store, worker_address, born, 1_000, true);
    record.line("worker i-0 drains, acknowledged; SIGTERM to the node");
    node.signal("TERM");
    if trouble {
        thread::sleep(Duration::from_millis(3_000));
        listening.store(false, Ordering::SeqCst);
        record.line("worker i-0 accepts no further connection");
    }
    let mut lost = 0;
    for client in clients {
        match client.join() {
            Ok(Ok(Some(true))) => {}
            Ok(Ok(Some(false))) => lost += 1,
            Ok(Ok(None) | Err(_)) | Err(_) => {
                return Verdict::NotRun("a stream did not begin".to_owned());
            }
        }
    }
    record.line(&format!("streams cut off: {lost} of {CLIENTS}"));
    if lost > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

fn register(store: &Store, address: SocketAddr, born: u64, seq: u64, drains: bool) {
    let state = if drains { "draining" } else { "ready" };
    store.write(
        "servers/i-0",
        &format!(
            r#"{{"service":"drafts","address":"{address}","zone":"zone-a","version":"v1","slots":64,"state":"{state}","coldLeftMs":0,"seq":{seq},"born":{born}}}"#
        ),
    );
}

/// Accepts connections until `listening` is false, and closes the listening socket then.
fn start_worker(listener: TcpListener, listening: Arc<AtomicBool>, record: Arc<Record>) {
    listener.set_nonblocking(true).expect("a socket without waits");
    thread::spawn(move || {
        while listening.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let record = Arc::clone(&record);
                    thread::spawn(move || {
                        let _ = stream.set_nonblocking(false);
                        let _ = serve(stream, &record);
                    });
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
        drop(listener);
    });
}

/// Answers one request with a stream that ends with its connection.
fn serve(stream: TcpStream, record: &Record) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let Some(request) = http::read_message(&mut BufReader::new(stream))? else { return Ok(()) };
    let id = request.header("Fireflyhead-Request-Id").unwrap_or("-").to_owned();
    record.line(&format!("worker i-0 runs {id}"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\
         Fireflyhead-Request-Id: {id}\r\nFireflyhead-Response-Seal: seal.{id}\r\n\r\n"
    );
    out.write_all(head.as_bytes())?;
    for n in 1..=EVENTS {
        out.write_all(format!("id: {n}\ndata: {id}.{n}\n\n").as_bytes())?;
        thread::sleep(GAP);
    }
    record.line(&format!("worker i-0 ends the stream of {id} after {EVENTS} events"));
    out.shutdown(std::net::Shutdown::Both)
}

/// Returns whether the whole stream was received; `None` if it did not begin.
fn run_client(record: &Record, front: SocketAddr, n: usize) -> std::io::Result<Option<bool>> {
    let id = format!("{n}dd");
    let mut reader = BufReader::new(TcpStream::connect(front)?);
    record.line(&format!("client sends {id} POST /draft/new deadline=15000"));
    let head = format!(
        "POST /draft/new HTTP/1.1\r\nHost: desk.example\r\nFireflyhead-Request-Id: {id}\r\n\
         Fireflyhead-Deadline-Ms: 15000\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    reader.get_mut().write_all(head.as_bytes())?;
    let mut line = String::new();
    reader.read_line(&mut line)?;
    if !line.contains(" 200 ") {
        record.line(&format!("client gets {id}: {}", line.trim()));
        return Ok(None);
    }
    while line.len() > 2 {
        line.clear();
        reader.read_line(&mut line)?;
    }
    let mut events = 0;
    loop {
        line.clear();
        let len = match reader.read_line(&mut line) {
            Ok(n) if n > 0 => usize::from_str_radix(line.trim(), 16).unwrap_or(0),
            Ok(_) | Err(_) => {
                record.line(&format!("client of {id}: the connection ended after {events} events, without the last chunk"));
                return Ok(Some(false));
            }
        };
        let mut chunk = vec![0; len + 2];
        reader.read_exact(&mut chunk)?;
        if len == 0 {
            record.line(&format!("client gets {id} status=200, {events} events, whole"));
            return Ok(Some(events == EVENTS));
        }
        events += String::from_utf8_lossy(&chunk).matches("\n\n").count();
    }
}
