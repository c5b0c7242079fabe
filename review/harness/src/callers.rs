//! Clients that send requests and record their answers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use reqwest::Client;
use reqwest::RequestBuilder;

use crate::HOST;
use crate::record::Record;

/// Request of a client with its answer.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the request.
    pub id: String,
    /// Time at which it was sent.
    pub sent: Instant,
    /// Status and body; `None` if the connection ended before the whole answer.
    pub answer: Option<(u16, String)>,
    /// Bytes that arrived, also if the answer was cut off.
    pub received: usize,
}

/// Returns a client that keeps its connections.
///
/// # Errors
/// The client can't be created.
pub fn client() -> Result<Client> {
    Ok(Client::builder().no_proxy().build()?)
}

/// Returns an order to the node at `front`.
pub fn order(client: &Client, front: SocketAddr, id: &str) -> RequestBuilder {
    client
        .post(format!("http://{front}/order-submit/new"))
        .header("host", HOST)
        .header("fireflyhead-request-id", id)
        .header("fireflyhead-deadline-ms", "4000")
        .body("two boxes")
}

/// Returns a request for a verse to the node at `front`, with the given prompt parts and without a
/// model.
pub fn verse(client: &Client, front: SocketAddr, id: &str, parts: &str) -> RequestBuilder {
    client
        .post(format!("http://{front}/verse-draft/new"))
        .header("host", HOST)
        .header("fireflyhead-request-id", id)
        .header("fireflyhead-deadline-ms", "15000")
        .header("fireflyhead-token-count", "700,120")
        .header("fireflyhead-prompt-prefix", parts)
        .body("a verse")
}

/// Sends a request, waits for the whole answer and records both.
pub async fn send(record: &Record, node: &str, id: &str, request: RequestBuilder) -> Call {
    let sent = Instant::now();
    record.add(format!("request {id} sent to {node}"));
    let mut received = 0;
    let answer = read(request, &mut received).await;
    let text = match &answer {
        Some((status, body)) => format!("status {status}, {} bytes", body.len()),
        None => format!("connection ended, {received} bytes"),
    };
    record.add(format!("request {id} answered: {text}"));
    Call { id: id.to_owned(), sent, answer, received }
}

async fn read(request: RequestBuilder, received: &mut usize) -> Option<(u16, String)> {
    let mut response = request.timeout(Duration::from_secs(20)).send().await.ok()?;
    let status = response.status().as_u16();
    let mut body = Vec::new();
    while let Some(data) = response.chunk().await.ok()? {
        *received += data.len();
        body.extend_from_slice(&data);
    }
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
