//! Errors as callers see them.

use std::time::Duration;

use axum::body::Body;
use axum::response::IntoResponse;
use axum::response::Response;
use fireflyhead_core::table::LookupError;
use http::HeaderValue;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use serde_json::Value;
use serde_json::json;

/// Header with a fresh placement token, sent with answers that close a request id.
pub const PLACEMENT_HEADER: &str = "x-placement";

/// What a caller is told of the outcome of a failed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ErrorOutcome {
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    OutcomeUnknown,
}

/// Error with a stable code.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryError {
    /// Stable code.
    pub code: &'static str,
    /// HTTP status.
    pub status: StatusCode,
    /// What is known of the request.
    pub outcome: ErrorOutcome,
    /// One sentence for people.
    pub message: String,
    /// Part of the request that is wrong.
    pub field: Option<&'static str>,
    /// Time after which a retry makes sense.
    pub retry_after: Option<Duration>,
    /// Fresh placement token, if the request id is closed.
    pub placement: Option<String>,
}

impl EntryError {
    /// Request that was not run.
    pub fn not_run(code: &'static str, message: impl Into<String>) -> EntryError {
        EntryError {
            code,
            status: status_of(code),
            outcome: ErrorOutcome::NotRun,
            message: message.into(),
            field: None,
            retry_after: None,
            placement: None,
        }
    }

    /// Request that may have run.
    pub fn unknown(code: &'static str, message: impl Into<String>) -> EntryError {
        EntryError { outcome: ErrorOutcome::OutcomeUnknown, ..EntryError::not_run(code, message) }
    }

    /// The error with the wrong part of the request.
    pub fn field(self, field: &'static str) -> EntryError {
        EntryError { field: Some(field), ..self }
    }

    /// The error with the time after which a retry makes sense.
    pub fn retry_after(self, delay: Duration) -> EntryError {
        EntryError { retry_after: Some(delay), ..self }
    }

    /// Refusal of a dispatcher by its code.
    pub fn refused(code: &str, retry_after_ms: u64) -> EntryError {
        let code = stable_code(code);
        EntryError::not_run(code, "the request was refused before it ran")
            .retry_after(Duration::from_millis(retry_after_ms))
    }

    /// JSON body.
    pub fn to_json(&self) -> Value {
        let outcome = match self.outcome {
            ErrorOutcome::NotRun => "not_run",
            ErrorOutcome::OutcomeUnknown => "outcome_unknown",
        };
        let mut error = json!({
            "code": self.code,
            "outcome": outcome,
            "message": self.message,
        });
        if let Some(field) = self.field {
            error["field"] = field.into();
        }
        if let Some(delay) = self.retry_after {
            let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
            error["retry_after_ms"] = millis.into();
        }
        if let Some(placement) = &self.placement {
            error["placement"] = placement.as_str().into();
        }
        json!({ "error": error })
    }
}

impl From<LookupError> for EntryError {
    fn from(e: LookupError) -> EntryError {
        let field = match &e {
            LookupError::UnknownAdapter(_) | LookupError::UnknownVersion { .. } => "model",
            LookupError::UnknownClass(_) => "x-work-class",
            LookupError::UnknownService(_) => "path",
        };
        EntryError::not_run(e.code(), e.to_string()).field(field)
    }
}

impl IntoResponse for EntryError {
    fn into_response(self) -> Response {
        let mut response = Response::new(Body::from(self.to_json().to_string()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(delay) = self.retry_after {
            // The header has whole seconds; the body states the exact time.
            headers.insert(RETRY_AFTER, delay.as_secs().max(1).into());
        }
        if let Some(Ok(token)) = self.placement.map(|token| token.parse()) {
            headers.insert(PLACEMENT_HEADER, token);
        }
        response
    }
}

/// The code as a constant; codes of newer nodes become `overloaded`.
fn stable_code(code: &str) -> &'static str {
    const CODES: [&str; 11] = [
        "deadline",
        "overloaded",
        "row_limit",
        "retry_budget",
        "load_failed",
        "no_upstream",
        "draining",
        "not_ready",
        "malformed_body",
        "wrong_adapter",
        "upstream_failed",
    ];
    CODES.into_iter().find(|known| *known == code).unwrap_or("overloaded")
}

fn status_of(code: &str) -> StatusCode {
    match code {
        "unknown_adapter" | "unknown_version" | "unknown_class" | "unknown_service" => {
            StatusCode::NOT_FOUND
        }
        "malformed_body" => StatusCode::BAD_REQUEST,
        "body_too_large" => StatusCode::PAYLOAD_TOO_LARGE,
        "row_limit" | "retry_budget" | "overloaded" => StatusCode::TOO_MANY_REQUESTS,
        "closed_id" | "expired_id" => StatusCode::CONFLICT,
        "unauthorized" => StatusCode::UNAUTHORIZED,
        "wrong_adapter" | "upstream_failed" => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
