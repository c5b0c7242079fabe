//! Translation between the types of this software and the HTTP protocol of a platform.
//!
//! An implementation of [`PlatformProtocol`] knows the headers, paths and bodies of one platform;
//! all other code uses the types of this module. The functions do no I/O.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::request::Parts;

use crate::Name;
use crate::accounts::Credential;
use crate::config::Config;
use crate::era::Era;
use crate::fleet::UpstreamEntry;
use crate::request_limit::RequestRate;

/// Base model, and adapter if any, that a request names.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ModelRef {
    /// Base model.
    pub model: Name,
    /// Adapter; `None` for the base model without adapter.
    pub adapter: Option<Name>,
}

/// Number of tokens of a generation request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenCount {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Maximum number of output tokens.
    pub output: u32,
}

/// Parsed headers of a caller's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestHead {
    /// Request id; `None` if the caller sent none.
    pub id: Option<Name>,
    /// Requested model and adapter; `None` for a request to a plain service.
    pub model: Option<ModelRef>,
    /// Number of tokens; zero if the caller sent no count.
    pub tokens: TokenCount,
    /// Whether the caller sent the number of tokens.
    pub has_token_count: bool,
    /// Ids of the parts of the prompt that other requests may share; empty if the caller named none
    /// or the header is malformed.
    pub prompt_parts: Vec<Name>,
    /// Time for which the caller waits; `None` if it did not say.
    pub deadline: Option<Duration>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Key of the caller's account.
    pub credential: Credential,
}

impl RequestHead {
    /// Returns the number of tokens; `None` if the caller sent no count.
    pub fn token_count(&self) -> Option<TokenCount> {
        self.has_token_count.then_some(self.tokens)
    }
}

/// What upstreams are told of the account of a request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum CallerAccount {
    /// Requests need no keys: the caller's headers are forwarded as they are.
    #[default]
    Unmanaged,
    /// The route needs no key: neither a key nor an account is forwarded.
    Public,
    /// Name of the account, in place of the key.
    Account(Name),
}

/// Headers that the node itself sets on a request to an upstream, in place of any value that the
/// caller sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSetHeaders {
    /// Time left until the request's deadline.
    pub deadline: Duration,
    /// Upstream that must serve the request.
    pub upstream: Name,
    /// Priority for the engine's admission, 0 being the most urgent; `None` for a plain service.
    pub priority: Option<u8>,
    /// Adapter version that must serve the request; `None` for any version.
    pub expected_version: Option<u64>,
    /// Id of the last event that the caller received, to resume a stream after it; `None` to
    /// forward the id that the caller itself sent, if any.
    pub last_event_id: Option<u64>,
    /// Account of the caller.
    pub account: CallerAccount,
}

/// Load that an upstream reports in the headers of a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    /// Time that work takes there now, in percent of the usual time; `None` if it is not reported or
    /// not usable.
    pub pace: Option<u32>,
}

/// Parsed headers of an upstream's response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// Id of the request to which the response belongs.
    pub id: Option<Name>,
    /// Upstream that sent the response, if it names itself.
    pub upstream: Option<Name>,
    /// Whether the upstream declares that it did not execute the request.
    pub not_run: bool,
    /// Whether the response carries the upstream's signature.
    pub signed: bool,
    /// Load of the upstream; `None` if it is missing or malformed.
    pub load: Option<LoadReport>,
    /// Whether the upstream announces that it leaves.
    pub leaving: bool,
    /// Time for which the upstream wants no requests, or the error if it can't be parsed; `None` if
    /// the upstream names none.
    pub retry_after: Option<Result<Duration, ProtocolError>>,
    /// Requests that the upstream takes from all nodes together, or the error if they can't be
    /// parsed; `None` if the upstream names no limit.
    pub request_limit: Option<Result<RequestRate, ProtocolError>>,
}

/// Operation of an order to an engine.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderKind {
    /// Load a model or adapter, or replace its version.
    Load,
    /// Unload a model or adapter.
    Unload,
}

/// Order to an engine to load or unload a model or an adapter.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Operation.
    pub kind: OrderKind,
    /// Base model.
    pub model: Name,
    /// Adapter; `None` for the base model.
    pub adapter: Option<Name>,
    /// Version to load; `None` for the newest, and for an unload.
    pub version: Option<u64>,
    /// Number of orders that the engine must have accepted before this one.
    pub precondition: u64,
    /// Node that sends the order, the holder of the engine.
    pub holder: Name,
    /// Fencing token of the holder's ownership record.
    pub fencing_token: u64,
}

/// Adapter in an engine's entry or report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldAdapter {
    /// Base model.
    pub model: Name,
    /// Adapter.
    pub adapter: Name,
    /// Version that is loaded or being loaded.
    pub version: u64,
}

/// Report of an engine's state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Start time of the engine process in milliseconds of Unix time, called `incarnation`
    /// elsewhere; 0 if unknown.
    pub born: u64,
    /// Number of orders accepted since the start.
    pub orders: u64,
    /// Whether an order on a base model is being executed.
    pub busy: bool,
    /// Loaded base models with their versions.
    pub models: Vec<(Name, u64)>,
    /// Loaded adapters.
    pub adapters: Vec<HeldAdapter>,
    /// Adapters that are being loaded.
    pub coming: Vec<HeldAdapter>,
}

/// Key of the store with its value, or its removal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Key.
    pub key: Name,
    /// Value; `None` if the key was removed.
    pub value: Option<Bytes>,
    /// Revision of the last change.
    pub revision: u64,
    /// Lease to which the key is attached; 0 for none.
    pub lease: u64,
}

/// Parsed item of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRecord {
    /// The operators' configuration; `None` if it was removed or can't be parsed.
    Config(Option<Box<Config>>),
    /// Version that the operators set for a model or an adapter.
    Version {
        /// Model or adapter.
        target: ModelRef,
        /// Newest version.
        version: u64,
    },
    /// Entry of an upstream.
    Upstream {
        /// Id of the upstream.
        id: Name,
        /// Entry; `None` if it was removed or can't be parsed.
        entry: Option<UpstreamEntry>,
    },
    /// Key of this software itself.
    Internal,
    /// Key that this software doesn't use, or a version that can't be parsed.
    Unknown,
}

/// Call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Read one page of the items under a prefix.
    Range {
        /// Prefix of the keys.
        prefix: Name,
        /// Last key of the previous page; `None` for the first page.
        after: Option<Name>,
    },
    /// Wait for changes under a prefix after a revision.
    Watch {
        /// Prefix of the keys.
        prefix: Name,
        /// Last known revision.
        after: u64,
        /// Maximum time for which the store waits for a change.
        wait: Duration,
    },
    /// Write and remove keys if all conditions hold.
    Transaction {
        /// Keys with the revision that each must have; 0 for a key that must not exist.
        conditions: Vec<(Name, u64)>,
        /// Keys to write, with value and lease; lease 0 for none.
        writes: Vec<(Name, Bytes, u64)>,
        /// Keys to remove.
        removes: Vec<Name>,
    },
    /// Grant a new lease.
    Grant {
        /// Time-to-live.
        ttl: Duration,
    },
    /// Renew a lease.
    Renew {
        /// Lease id.
        lease: u64,
    },
    /// Revoke a lease.
    Revoke {
        /// Lease id.
        lease: u64,
    },
}

/// Reply of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// Items of a page, or changes.
    Items {
        /// Items in the store's order.
        items: Vec<Item>,
        /// Whether another page follows.
        more: bool,
        /// Revision of the store that the reply covers.
        revision: u64,
    },
    /// The changes after the requested revision are no longer available.
    Compacted,
    /// The transaction was applied.
    Applied {
        /// Revision of the writes.
        revision: u64,
    },
    /// A condition of the transaction did not hold.
    Conflict {
        /// Current items of the conditions' keys.
        items: Vec<Item>,
    },
    /// The lease was granted or renewed.
    Lease {
        /// Lease id; for a renewal the id of the call.
        lease: u64,
        /// Time-to-live.
        ttl: Duration,
    },
    /// The lease does not exist.
    NoLease,
    /// The store refused the call without executing it.
    Refused,
}

/// HTTP request without the address of the server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpCall {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// JSON body; `None` for no body.
    pub body: Option<Bytes>,
}

/// Query of a caller for the addresses of a host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResolveQuery {
    /// Host that the caller wants to reach, if it names one.
    pub host: Option<Name>,
    /// Availability zone of the caller, if it names one.
    pub zone: Option<Name>,
}

/// Message that can't be parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub enum ProtocolError {
    /// the header `{0}` is malformed
    Header(&'static str),
    /// cannot parse the body: {0}
    Body(String),
    /// unexpected HTTP status {0}
    Status(u16),
}

impl std::error::Error for ProtocolError {}

/// HTTP protocol of a platform: headers, paths and bodies between this software and the callers,
/// upstreams, engines and store of that platform.
pub trait PlatformProtocol: Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    /// A header that the node uses is malformed.
    fn parse_request(&self, parts: &Parts) -> Result<RequestHead, ProtocolError>;
    /// Returns the headers of the request to an upstream: those of the caller that may be
    /// forwarded, and those in `node_set`.
    fn upstream_request_headers(&self, caller: &HeaderMap, node_set: &NodeSetHeaders) -> HeaderMap;
    /// Parses the headers of an upstream's response.
    fn parse_response(&self, headers: &HeaderMap) -> ResponseHead;
    /// Returns the headers of the response to the caller, derived from those of the upstream.
    fn caller_response_headers(&self, upstream: &HeaderMap) -> HeaderMap;
    /// Returns whether `path` is the one of the readiness check.
    fn is_ready_path(&self, path: &str) -> bool;
    /// Parses a query for addresses; `None` if `path` is not the one for such queries.
    fn parse_resolve_query(&self, path: &str, query: Option<&str>) -> Option<ResolveQuery>;
    /// Returns the body of the response to a query for addresses; `ttl` is the time for which the
    /// caller may cache it.
    fn resolve_response(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;
    /// Returns the call that sends `order` to an engine.
    fn order_call(&self, order: &Order) -> HttpCall;
    /// Returns the call that requests a report from an engine.
    fn report_call(&self) -> HttpCall;
    /// Parses the report of an engine.
    ///
    /// # Errors
    /// The body is not a report.
    fn parse_report(&self, body: &[u8]) -> Result<EngineReport, ProtocolError>;
    /// Returns the HTTP request for a call to the store.
    fn store_call(&self, call: &StoreCall) -> HttpCall;
    /// Parses the reply of the store to `call`.
    ///
    /// # Errors
    /// The reply can't be parsed; the store may have executed the call.
    fn parse_store_reply(
        &self,
        call: &StoreCall,
        status: u16,
        body: &[u8],
    ) -> Result<StoreReply, ProtocolError>;
    /// Returns the era of the store that sent a reply with these headers.
    fn store_era(&self, headers: &HeaderMap) -> Era;
    /// Parses an item of the store.
    fn parse_store_item(&self, item: &Item) -> StoreRecord;
    /// Returns the item as it may be sent to other nodes, without secrets of clients; `None` if that
    /// can't be told.
    fn shareable_item(&self, item: Item) -> Option<Item>;
    /// Returns the header that names the target upstream of an order or a report call.
    fn target_upstream_header(&self) -> &'static str;
}
