//! Responses that the node creates itself, without an upstream.

use std::time::Duration;

use http::Response;
use http::StatusCode;
use http::header;

use crate::body;
use crate::body::Body;

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
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = header::HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
