//! Responses that the node creates itself, without an upstream.

use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::body;
use crate::body::Body;
use crate::quota::QuotaRefusal;

/// Quota policy of the account, see draft-ietf-httpapi-ratelimit-headers.
const RATE_LIMIT_POLICY: header::HeaderName = header::HeaderName::from_static("ratelimit-policy");
/// What is left of the quota, and when it is available again.
const RATE_LIMIT: header::HeaderName = header::HeaderName::from_static("ratelimit");

/// Longest window of a policy in seconds, for quotas with tiny rates.
const MAX_POLICY_WINDOW_S: f64 = 1e9;

/// Returns a response with `status` and an empty body.
pub(super) fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(body::full(""));
    *response.status_mut() = status;
    response
}

/// Returns status 503 with a `Retry-After` header. It tells the caller that the request was not
/// executed.
pub(super) fn service_unavailable(retry_after: Duration) -> Response<Body> {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    set_header(&mut response, header::RETRY_AFTER, &format!("{:.2}", retry_after.as_secs_f64()));
    response
}

/// Returns the response to a request that the quota of its account doesn't admit.
pub(super) fn quota_refused(refusal: &QuotaRefusal) -> Response<Body> {
    let (retry_after, quota) = match refusal {
        QuotaRefusal::Exceeded { retry_after, quota } => (*retry_after, quota),
        QuotaRefusal::Unknown { retry_after } => return service_unavailable(*retry_after),
        QuotaRefusal::TooLarge => return empty_response(StatusCode::PAYLOAD_TOO_LARGE),
    };
    let mut response = empty_response(StatusCode::TOO_MANY_REQUESTS);
    let seconds = retry_after.as_secs_f64();
    let rounded_up = format!("{:.2}", (seconds * 100.0).ceil() / 100.0);
    set_header(&mut response, header::RETRY_AFTER, &rounded_up);
    // The burst is available again after a window of this length without requests.
    let window = (quota.burst / quota.rate).ceil().clamp(1.0, MAX_POLICY_WINDOW_S);
    let policy = format!("\"account\";q={:.0};w={window:.0}", quota.burst);
    set_header(&mut response, RATE_LIMIT_POLICY, &policy);
    set_header(&mut response, RATE_LIMIT, &format!("\"account\";r=0;t={:.0}", seconds.ceil()));
    response
}

fn set_header(response: &mut Response<Body>, name: header::HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            response.headers_mut().insert(name, value);
        }
        Err(error) => tracing::error!(event = "header_not_set", %name, %error),
    }
}
