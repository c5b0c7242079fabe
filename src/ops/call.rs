//! Calls as a caller makes them: resolve an address, then send a request to it.

use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use reqwest::Method;
use serde::Deserialize;
use serde::Serialize;

/// Time after which a call is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(120);

/// Address that a node gives to callers.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Address {
    /// URL of the node.
    pub url: String,
    /// Availability zone of the node.
    pub zone: String,
    /// Placement token; a request id is `<token>.<unique suffix>`.
    pub placement: String,
}

/// Addresses that a caller may use for a while.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Resolved {
    /// Addresses, the preferred one first.
    pub addresses: Vec<Address>,
    /// Time for which the answer may be kept, in milliseconds.
    pub ttl_ms: u64,
}

/// Request to send.
#[derive(Clone, Debug, Default)]
pub struct CallRequest {
    /// HTTP method.
    pub method: Method,
    /// Path at the node, such as `/svc/order-desk/orders`.
    pub path: String,
    /// Body; empty for none.
    pub body: String,
    /// Unique suffix of the request id; the same suffix and placement make a retry.
    pub suffix: String,
}

/// Answer to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct CallAnswer {
    /// Request id that was sent.
    pub request_id: String,
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
}

fn http() -> Result<reqwest::Client> {
    reqwest::Client::builder().no_proxy().build().context("cannot set up the HTTP client")
}

/// Asks the node at `url` for addresses.
///
/// # Errors
/// No answer, an error status, or a malformed answer.
pub async fn resolve(url: &str) -> Result<Resolved> {
    let url = format!("{}/v1/resolve", url.trim_end_matches('/'));
    let request = http()?.get(&url).timeout(CALL_TIMEOUT);
    let answer = request.send().await.with_context(|| format!("no answer from {url}"))?;
    let answer = answer.error_for_status().context("the node refused the call")?;
    answer.json().await.with_context(|| format!("malformed answer from {url}"))
}

/// Resolves an address at `url` and sends `call` to it.
///
/// # Errors
/// No address, or no answer.
pub async fn send(url: &str, call: &CallRequest) -> Result<CallAnswer> {
    let resolved = resolve(url).await?;
    let Some(address) = resolved.addresses.first() else {
        bail!("the node at {url} knows no address that takes requests");
    };
    let request_id = format!("{}.{}", address.placement, call.suffix);
    let target = format!("{}{}", address.url.trim_end_matches('/'), call.path);
    let request = http()?
        .request(call.method.clone(), &target)
        .timeout(CALL_TIMEOUT)
        .header("x-request-id", &request_id)
        .header("content-type", "application/json")
        .body(call.body.clone());
    let answer = request.send().await.with_context(|| {
        format!("no answer from {target}; send the call again with the same id {request_id}")
    })?;
    let status = answer.status().as_u16();
    let body = answer.text().await.context("the answer ended early")?;
    Ok(CallAnswer { request_id, status, body })
}
