//! What operators read and write in the store.

use std::net::SocketAddr;
use std::sync::Arc;

use fireflyhead_gateway::metrics::Metrics;
use fireflyhead_gateway::store::StoreClient;
use fireflyhead_gateway::store::StoreError;
use fireflyhead_platform::Platform;
use fireflyhead_platform::operator;
use fireflyhead_policy::Name;
use fireflyhead_policy::config::Config;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::protocol::Item;
use fireflyhead_policy::protocol::PlatformProtocol;
use fireflyhead_policy::protocol::StoreCall;
use fireflyhead_policy::protocol::StoreRecord;
use fireflyhead_policy::protocol::StoreReply;

/// Reason for which an operation failed.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum OperatorError {
    /// the store can't be reached: {0}
    Store(StoreError),
    /// the client can't be set up: {0}
    Client(reqwest::Error),
    /// the store does not accept the call: {0}
    Refused(String),
    /// somebody else changed the configuration meanwhile
    Conflict,
}

impl std::error::Error for OperatorError {}

/// Client of operators.
pub struct Operator {
    store: StoreClient,
}

/// What the store lists.
#[derive(Debug, Default)]
pub struct Listing {
    /// Configuration with its revision.
    pub config: Option<(Config, u64)>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamEntry>,
    /// Nodes with their peer addresses.
    pub nodes: Vec<(Name, String)>,
}

impl Operator {
    /// Client for the store at `address`.
    ///
    /// # Errors
    /// The HTTP client can't be set up.
    pub fn new(address: SocketAddr) -> Result<Operator, OperatorError> {
        let metrics = Arc::new(Metrics::new());
        let store = StoreClient::new(address, Arc::new(Platform), metrics);
        Ok(Operator { store: store.map_err(OperatorError::Client)? })
    }

    /// Reads everything.
    ///
    /// # Errors
    /// The store can't be reached or refuses the call.
    pub async fn list(&self) -> Result<Listing, OperatorError> {
        let mut listing = Listing::default();
        let mut after = None;
        loop {
            let call = StoreCall::Range { prefix: Name::from(""), after: after.clone() };
            match self.store.call(&call).await.map_err(OperatorError::Store)? {
                StoreReply::Items { items, more, .. } => {
                    after = items.last().map(|item| item.key.clone());
                    items.iter().for_each(|item| listing.take(item));
                    if !more || after.is_none() {
                        return Ok(listing);
                    }
                }
                reply => return Err(OperatorError::Refused(format!("{reply:?}"))),
            }
        }
    }

    /// Writes a configuration and adapter versions, if the configuration is still that of `revision`.
    ///
    /// # Errors
    /// Somebody else changed it, or the store refuses the write.
    pub async fn write(
        &self,
        config: &Config,
        versions: &[(Name, u64)],
        revision: u64,
    ) -> Result<(), OperatorError> {
        // A transaction holds 32 entries, one of which is the configuration.
        const VERSIONS_PER_CALL: usize = 30;
        let mut conditions = vec![operator::config_condition(revision)];
        let mut writes = vec![operator::config_item(config)];
        let mut rest = versions.chunks(VERSIONS_PER_CALL);
        let items = |chunk: Option<&[(Name, u64)]>| {
            chunk
                .into_iter()
                .flatten()
                .filter_map(|(adapter, version)| operator::version_item(config, adapter, *version))
                .collect::<Vec<_>>()
        };
        writes.extend(items(rest.next()));
        loop {
            let call = StoreCall::Transaction {
                conditions: std::mem::take(&mut conditions),
                writes: std::mem::take(&mut writes),
                removes: Vec::new(),
            };
            match self.store.call(&call).await.map_err(OperatorError::Store)? {
                StoreReply::Applied { .. } => {}
                StoreReply::Conflict { .. } => return Err(OperatorError::Conflict),
                reply => return Err(OperatorError::Refused(format!("{reply:?}"))),
            }
            match rest.next() {
                Some(chunk) => writes = items(Some(chunk)),
                None => return Ok(()),
            }
        }
    }
}

impl Listing {
    fn take(&mut self, item: &Item) {
        match Platform.parse_store_item(item) {
            StoreRecord::Config(Some(config)) => self.config = Some((*config, item.revision)),
            StoreRecord::Upstream { entry: Some(entry), .. } => self.upstreams.push(entry),
            StoreRecord::Internal => {
                let node = item.key.as_str().strip_prefix("fireflyhead/members/");
                let address = item.value.as_deref().and_then(|v| std::str::from_utf8(v).ok());
                if let (Some(node), Some(address)) = (node, address) {
                    self.nodes.push((Name::from(node), address.to_owned()));
                }
            }
            StoreRecord::Config(None)
            | StoreRecord::Version { .. }
            | StoreRecord::Upstream { entry: None, .. }
            | StoreRecord::Unknown => {}
        }
    }
}
