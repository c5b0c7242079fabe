//! Answers of the node itself.

use std::time::Duration;

use http::Response;
use http::StatusCode;
use http::header;

use crate::body;
use crate::body::Body;

/// Answer with `status` and no body.
pub(super) fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(body::full(""));
    *response.status_mut() = status;
    response
}

/// Answer that the request has not run, with the time after which to return.
pub(super) fn refusal(retry_after: Duration) -> Response<Body> {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = header::HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
