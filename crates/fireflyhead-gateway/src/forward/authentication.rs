//! Checks the key of a request before its body is read.

use std::time::Duration;

use fireflyhead_policy::Name;
use fireflyhead_policy::accounts::Credential;
use fireflyhead_policy::accounts::KeyDigest;
use fireflyhead_policy::authentication;
use fireflyhead_policy::authentication::AuthenticationError;
use fireflyhead_policy::authentication::AuthenticationResponse;
use fireflyhead_policy::authentication::Identity;
use fireflyhead_policy::config::Config;
use fireflyhead_policy::config::Route;
use fireflyhead_policy::protocol::RequestHead;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::body::Body;
use crate::clock;
use crate::state::Shared;

use super::local_responses::empty_response;
use super::local_responses::service_unavailable;

/// `Retry-After` of a request that this node can't judge: another node may serve it at once, and
/// this one asks its peers for a newer configuration every 500 ms.
const LAG_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Scheme of the keys that a response with status 401 names.
const KEY_SCHEME: HeaderValue = HeaderValue::from_static("Bearer");

/// Returns who the request `id` belongs to.
///
/// # Errors
/// The request is not served; the value is its response.
pub(super) fn authenticate(
    shared: &Shared,
    config: &Config,
    route: &Route,
    id: &Name,
    head: &RequestHead,
) -> Result<Identity, Box<Response<Body>>> {
    let state = shared.config_state(clock::now());
    let accounts = config.accounts.as_ref();
    let decided = authentication::authenticate(accounts, state, route.is_public, head.credential);
    decided.map_err(|error| {
        shared.metrics.record_rejection(error.code());
        let key = shown_digest(head.credential);
        tracing::info!(
            event = "not_authenticated",
            %id,
            route = %route.name,
            reason = error.code(),
            key,
            config = config.version,
            newest = shared.newest_known_config_version(),
        );
        Box::new(response(error))
    })
}

/// Returns the part of a key's digest that logs show; `None` if the request has no single key.
fn shown_digest(credential: Credential) -> Option<String> {
    match credential {
        Credential::Key(key) => key.as_ref().map(KeyDigest::to_string),
        Credential::Absent | Credential::Ambiguous => None,
    }
}

fn response(error: AuthenticationError) -> Response<Body> {
    match error.response() {
        AuthenticationResponse::Malformed => empty_response(StatusCode::BAD_REQUEST),
        AuthenticationResponse::KeyNeeded => {
            let mut response = empty_response(StatusCode::UNAUTHORIZED);
            response.headers_mut().insert(header::WWW_AUTHENTICATE, KEY_SCHEME);
            response
        }
        AuthenticationResponse::Unavailable => service_unavailable(LAG_RETRY_AFTER),
    }
}
