//! Border between the product and the platform that it runs on.
//!
//! A [`PlatformProtocol`] knows how the platform spells headers, paths and bodies; the rest of the
//! product works with the types of this module. The functions do no I/O.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::request::Parts;

use crate::Name;
use crate::config::Config;
use crate::fleet::UpstreamEntry;

/// Base model and adapter that a request asks for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ModelRef {
    /// Base model.
    pub model: Name,
    /// Adapter; `None` for the base model alone.
    pub adapter: Option<Name>,
}

/// Size of a generation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenCount {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Largest number of tokens of the output.
    pub output: u32,
}

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestHead {
    /// Id of the request.
    pub id: Option<Name>,
    /// Model and adapter.
    pub model: Option<ModelRef>,
    /// Size of the generation.
    pub tokens: TokenCount,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    /// Last event that the caller has, if it resumes a stream.
    pub last_event: Option<u64>,
}

/// Fields of a send that the node sets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendFields {
    /// Time that is left.
    pub deadline: Duration,
    /// Upstream that must answer.
    pub upstream: Name,
    /// Rank for the engine's admission, 0 is the most urgent.
    pub priority: Option<u8>,
    /// Version of the adapter that must answer.
    pub version: Option<u64>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
}

/// Load that an upstream reports with a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Places.
    pub slots: u32,
}

/// What the head of an upstream's response says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// Id of the request that the response belongs to.
    pub id: Option<Name>,
    /// Upstream that answered, if it says so.
    pub upstream: Option<Name>,
    /// The upstream states that the request has not run.
    pub not_run: bool,
    /// The response bears the upstream's signature.
    pub signed: bool,
    /// Load of the upstream.
    pub load: Option<LoadReport>,
}

/// Operation of an order to an engine.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderKind {
    /// Load a model or adapter, or replace its version.
    Load,
    /// Drop a model or adapter.
    Unload,
}

/// Order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Operation.
    pub kind: OrderKind,
    /// Base model.
    pub model: Name,
    /// Adapter; `None` for the base model.
    pub adapter: Option<Name>,
    /// Version to load; `None` for the newest.
    pub version: Option<u64>,
    /// Number of orders that the engine must have accepted before.
    pub precondition: u64,
    /// Node that gives the order.
    pub holder: Name,
    /// Fencing number.
    pub fencing_token: u64,
}

/// Adapter as an engine lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldAdapter {
    /// Base model.
    pub model: Name,
    /// Adapter.
    pub adapter: Name,
    /// Version in place or on its way.
    pub version: u64,
}

/// State that an engine reports.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Start of the engine, in milliseconds of Unix time.
    pub born: u64,
    /// Orders accepted since the start.
    pub orders: u64,
    /// An order on a base model is under way.
    pub busy: bool,
    /// Base models in place with their versions.
    pub models: Vec<(Name, u64)>,
    /// Adapters in place.
    pub adapters: Vec<HeldAdapter>,
    /// Adapters under way.
    pub coming: Vec<HeldAdapter>,
}

/// Item of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Key.
    pub key: Name,
    /// Value; `None` if the key was removed.
    pub value: Option<Bytes>,
    /// Revision of the last change.
    pub revision: u64,
    /// Lease that the key is attached to; 0 for none.
    pub lease: u64,
}

/// What a key of the store stands for.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRecord {
    /// The operators' configuration; `None` if it can't be read.
    Config(Option<Box<Config>>),
    /// Version that operators named for a model or an adapter.
    Version {
        /// Model and adapter.
        target: ModelRef,
        /// Newest version.
        version: u64,
    },
    /// Entry of an upstream; `None` if it names no upstream to use.
    Upstream {
        /// Id of the upstream.
        id: Name,
        /// Entry.
        entry: Option<UpstreamEntry>,
    },
    /// Key of the product.
    Internal,
    /// Key that the product doesn't use.
    Unknown,
}

/// Call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Page of the items under a prefix, after a key.
    Range {
        /// Prefix of the keys.
        prefix: Name,
        /// Last key of the page before.
        after: Option<Name>,
    },
    /// Changes under a prefix after a revision.
    Watch {
        /// Prefix of the keys.
        prefix: Name,
        /// Last revision that is known.
        after: u64,
        /// Longest time that the store keeps the call.
        wait: Duration,
    },
    /// Writes under conditions.
    Transaction {
        /// Keys and the revisions that they must have; 0 for an absent key.
        conditions: Vec<(Name, u64)>,
        /// Keys, values and leases.
        writes: Vec<(Name, Bytes, u64)>,
        /// Keys to remove.
        removes: Vec<Name>,
    },
    /// New lease.
    Grant {
        /// Time to live.
        ttl: Duration,
    },
    /// Renewal of a lease.
    Renew {
        /// Lease.
        lease: u64,
    },
    /// End of a lease.
    Revoke {
        /// Lease.
        lease: u64,
    },
}

/// Reply of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// Items of a page or changes.
    Items {
        /// Items in the store's order.
        items: Vec<Item>,
        /// Whether another page follows.
        more: bool,
        /// Revision of the store.
        revision: u64,
    },
    /// The history after the asked revision is gone.
    Compacted,
    /// The transaction was applied at this revision.
    Applied {
        /// Revision of the writes.
        revision: u64,
    },
    /// A condition did not hold; the items as they are.
    Conflict {
        /// Items of the conditions.
        items: Vec<Item>,
    },
    /// Lease with its time to live.
    Lease {
        /// Lease; that of the call for a renewal.
        lease: u64,
        /// Time to live.
        ttl: Duration,
    },
    /// The lease is not known.
    NoLease,
    /// The store did nothing.
    Refused,
}

/// HTTP request without its destination.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HttpCall {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// JSON body.
    pub body: Option<Bytes>,
}

/// Request of a caller for addresses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResolveQuery {
    /// Host that the caller wants to reach.
    pub host: Option<Name>,
    /// Zone of the caller.
    pub zone: Option<Name>,
}

/// Message that a peer can't understand.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub enum ProtocolError {
    /// the header `{0}` is malformed
    Header(&'static str),
    /// a body can't be read: {0}
    Body(String),
    /// unexpected status {0}
    Status(u16),
}

impl std::error::Error for ProtocolError {}

/// Spelling of a platform.
pub trait PlatformProtocol: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// A header that the node acts on is malformed.
    fn parse_request(&self, parts: &Parts) -> Result<RequestHead, ProtocolError>;
    /// Headers of a send, made from the caller's.
    fn upstream_request_headers(&self, caller: &HeaderMap, fields: &SendFields) -> HeaderMap;
    /// Reads the head of an upstream's response.
    fn parse_response(&self, headers: &HeaderMap) -> ResponseHead;
    /// Headers of a response for the caller, made from the upstream's.
    fn caller_response_headers(&self, upstream: &HeaderMap) -> HeaderMap;
    /// Whether `path` asks for readiness.
    fn is_ready_path(&self, path: &str) -> bool;
    /// Reads a request for addresses; `None` for another path.
    fn parse_resolve_query(&self, path: &str, query: Option<&str>) -> Option<ResolveQuery>;
    /// Body of the response to a request for addresses.
    fn resolve_response(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;
    /// Order as a call to an engine.
    fn order_call(&self, order: &Order) -> HttpCall;
    /// Call for the state of an engine.
    fn report_call(&self) -> HttpCall;
    /// Reads the state of an engine.
    ///
    /// # Errors
    /// The body is not a report.
    fn parse_report(&self, body: &[u8]) -> Result<EngineReport, ProtocolError>;
    /// Call to the store.
    fn store_call(&self, call: &StoreCall) -> HttpCall;
    /// Reads the reply of the store to `call`.
    ///
    /// # Errors
    /// The reply can't be understood; the call may have been carried out.
    fn parse_store_reply(
        &self,
        call: &StoreCall,
        status: u16,
        body: &[u8],
    ) -> Result<StoreReply, ProtocolError>;
    /// What an item of the store stands for.
    fn parse_store_item(&self, item: &Item) -> StoreRecord;
    /// Header that names an upstream in orders and reports.
    fn target_upstream_header(&self) -> &'static str;
}
