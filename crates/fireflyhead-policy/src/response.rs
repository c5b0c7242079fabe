//! What the head of an upstream's response says about the request that it follows.
//!
//! Handles upstreams that write an earlier response once more on a kept connection, where the
//! response to the next request is expected. A refusal that is taken for a new one would make the
//! node send a request again that has run, or tell its caller that it has not. A refusal therefore
//! counts only if it can't be an earlier one: it names the request, and the upstream has not refused
//! the same request before, on whichever connection, which is checked where attempts are counted. A
//! refusal that names no request counts only as the first response of its connection, after which
//! the connection is not used again.

use http::StatusCode;

use crate::Name;
use crate::protocol::ResponseHead;

/// What a response says about its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseKind {
    /// The upstream has executed the request.
    Answer,
    /// The upstream has not executed the request and never will.
    Refusal,
    /// The response says nothing about the request, for the given reason. The upstream may have
    /// executed it.
    Invalid(&'static str),
}

/// Responses that one connection to an upstream has carried, as far as they matter for later ones.
#[derive(Debug, Default)]
pub struct ConnectionHistory {
    has_response: bool,
    /// Whether a refusal that named no request was received.
    has_unnamed_refusal: bool,
}

impl ConnectionHistory {
    /// Returns whether a further request may be sent on the connection.
    pub fn is_reusable(&self) -> bool {
        !self.has_unnamed_refusal
    }

    /// Records the response to the request `id` and returns what it says.
    pub fn record_response(
        &mut self,
        id: &Name,
        status: StatusCode,
        head: &ResponseHead,
    ) -> ResponseKind {
        let is_first = !std::mem::replace(&mut self.has_response, true);
        let is_refusal = head.not_run || status == StatusCode::MISDIRECTED_REQUEST;
        match &head.id {
            _ if !is_final(status) => ResponseKind::Invalid("the status is none of a response"),
            Some(other) if other != id => {
                ResponseKind::Invalid("the response belongs to another request")
            }
            _ if head.not_run && status.is_success() => {
                ResponseKind::Invalid("a success is declared as not executed")
            }
            Some(_) if is_refusal => ResponseKind::Refusal,
            None if is_refusal => {
                self.has_unnamed_refusal = true;
                match is_first {
                    true => ResponseKind::Refusal,
                    false => ResponseKind::Invalid("the refusal may be an earlier one"),
                }
            }
            Some(_) if head.signed && !promises_not_run(status) => ResponseKind::Answer,
            Some(_) if head.signed => {
                ResponseKind::Invalid("the status denies the execution without a declaration")
            }
            Some(_) | None => {
                ResponseKind::Invalid("the response has no request id or no signature")
            }
        }
    }
}

/// Returns whether `status` is one with which a response may end an exchange. 101 is none, because nodes
/// ask for no other protocol.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether `status` tells callers that a request was not executed and never will be.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
