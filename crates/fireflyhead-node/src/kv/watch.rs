//! Watch over the chunked JSON of `/v3/watch`, opened anew when it breaks.

use std::time::Duration;

use bytes::BytesMut;
use futures::StreamExt;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::kv::HttpStore;
use crate::kv::KeyValue;
use crate::kv::WatchEvent;
use crate::kv::wire;

/// Longest message of a watch; one event with the largest value fits.
const MAX_LINE_BYTES: usize = 4 << 20;

/// The reader of the watch is gone.
struct Closed;

type Events = mpsc::Sender<WatchEvent>;

async fn send(tx: &Events, event: WatchEvent) -> Result<(), Closed> {
    tx.send(event).await.map_err(|_| Closed)
}

/// Runs a watch until its receiver is dropped.
pub(super) async fn run(store: HttpStore, prefix: String, tx: Events) {
    let mut delay = store.cfg.min_reconnect_delay;
    loop {
        let established = tokio::select! {
            result = connect_and_read(&store, &prefix, &tx) => match result {
                Ok(established) => established,
                Err(Closed) => return,
            },
            () = tx.closed() => return,
        };
        if established {
            delay = store.cfg.min_reconnect_delay;
            if send(&tx, WatchEvent::Lost).await.is_err() {
                return;
            }
        }
        // Jitter keeps the nodes from opening their watches at the same moment.
        tokio::select! {
            () = tokio::time::sleep(delay.mul_f64(rand::random_range(0.5..1.0))) => {}
            () = tx.closed() => return,
        }
        delay = (delay * 2).min(store.cfg.max_reconnect_delay);
    }
}

/// Reads one connection until it breaks; whether a watch was established on it.
async fn connect_and_read(store: &HttpStore, prefix: &str, tx: &Events) -> Result<bool, Closed> {
    let body = json!({"create_request": {
        "key": wire::encode(prefix.as_bytes()),
        "range_end": wire::encode(&wire::prefix_end(prefix)),
        "progress_notify": true,
    }});
    let request = store.client.post(format!("{}/v3/watch", store.cfg.url)).json(&body).send();
    let Ok(Ok(response)) = timeout(store.cfg.call_timeout, request).await else {
        return Ok(false);
    };
    if !response.status().is_success() {
        return Ok(false);
    }
    let mut chunks = response.bytes_stream();
    let mut lines = Lines::default();
    let mut established = false;
    let idle: Duration = store.cfg.watch_idle_timeout;
    while let Ok(Some(Ok(chunk))) = timeout(idle, chunks.next()).await {
        lines.push(&chunk);
        while let Some(line) = lines.next() {
            match deliver(&line, tx).await? {
                Delivered::Created => established = true,
                Delivered::Events => {}
                Delivered::Ended => return Ok(established),
            }
        }
        if lines.buf.len() > MAX_LINE_BYTES {
            break;
        }
    }
    Ok(established)
}

enum Delivered {
    Created,
    Events,
    Ended,
}

async fn deliver(line: &[u8], tx: &Events) -> Result<Delivered, Closed> {
    let message = match serde_json::from_slice::<wire::Streamed<wire::WatchResponse>>(line) {
        Ok(wire::Streamed { result: Some(message) }) if !message.canceled => message,
        Ok(_) => return Ok(Delivered::Ended),
        Err(error) => {
            tracing::warn!(%error, "the key-value service sent a malformed watch message");
            return Ok(Delivered::Ended);
        }
    };
    if message.created {
        send(tx, WatchEvent::Lost).await?;
    }
    for event in message.events {
        let kv = KeyValue::from(event.kv);
        let event = match event.kind {
            wire::EventType::Put => WatchEvent::Put(kv),
            wire::EventType::Delete => WatchEvent::Delete(kv.key),
        };
        send(tx, event).await?;
    }
    Ok(if message.created { Delivered::Created } else { Delivered::Events })
}

/// Splits chunks into lines.
#[derive(Default)]
struct Lines {
    buf: BytesMut,
}

impl Lines {
    fn push(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
    }

    fn next(&mut self) -> Option<BytesMut> {
        let end = self.buf.iter().position(|&byte| byte == b'\n')?;
        let mut line = self.buf.split_to(end + 1);
        line.truncate(end);
        Some(line)
    }
}
