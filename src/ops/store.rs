//! Client with which operators read the platform's store and write configurations to it.

use std::net::SocketAddr;
use std::sync::Arc;

use fireflyhead_gateway::metrics::Metrics;
use fireflyhead_gateway::settings::GatewaySettings;
use fireflyhead_gateway::store::StoreClient;
use fireflyhead_gateway::store::StoreError;
use fireflyhead_gateway::store::StoreResponse;
use fireflyhead_platform::Platform;
use fireflyhead_platform::operator;
use fireflyhead_platform::operator::AccountList;
use fireflyhead_platform::operator::AccountListError;
use fireflyhead_platform::operator::ConfigValue;
use fireflyhead_policy::Name;
use fireflyhead_policy::config::Config;
use fireflyhead_policy::era::Era;
use fireflyhead_policy::era::Position;
use fireflyhead_policy::fleet::UpstreamEntry;
use fireflyhead_policy::protocol::Item;
use fireflyhead_policy::protocol::PlatformProtocol;
use fireflyhead_policy::protocol::StoreCall;
use fireflyhead_policy::protocol::StoreRecord;
use fireflyhead_policy::protocol::StoreReply;

/// Error of reading or writing the store.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum OperatorError {
    /// the call to the store failed: {0}
    Store(StoreError),
    /// cannot create the HTTP client: {0}
    Client(reqwest::Error),
    /// the store rejected the call: {0}
    Rejected(String),
    /// the configuration in the store changed after it was read
    Conflict,
    /// {0}
    AccountList(AccountListError),
}

impl std::error::Error for OperatorError {}

/// Store client for operators.
pub struct OperatorClient {
    store: StoreClient,
}

/// Configuration, upstreams and nodes in the store.
#[derive(Debug, Default)]
pub struct Listing {
    /// Era of the store.
    pub era: Era,
    /// Configuration with its store revision; `None` if none was written yet.
    pub config: Option<(Config, u64)>,
    /// Value of the configuration, whose accounts have keys in clear.
    pub config_value: ConfigValue,
    /// Registered upstreams.
    pub upstreams: Vec<UpstreamEntry>,
    /// Nodes that hold a lease, with their peer addresses.
    pub nodes: Vec<(Name, String)>,
}

impl OperatorClient {
    /// Creates a client for the store at `address`; does not connect yet.
    ///
    /// # Errors
    /// Returns [`OperatorError::Client`] if the HTTP client can't be created.
    pub fn new(address: SocketAddr) -> Result<OperatorClient, OperatorError> {
        let metrics = Arc::new(Metrics::new());
        let memory = GatewaySettings::default().memory;
        let store = StoreClient::new(address, Arc::new(Platform), metrics, memory);
        Ok(OperatorClient { store: store.map_err(OperatorError::Client)? })
    }

    /// Reads the whole store page by page.
    ///
    /// # Errors
    /// Returns an error if the store can't be reached or rejects the call.
    pub async fn list(&self) -> Result<Listing, OperatorError> {
        let mut listing = Listing::default();
        let mut after = None;
        loop {
            let call = StoreCall::Range { prefix: Name::from(""), after: after.clone() };
            let StoreResponse { era, reply, .. } =
                self.store.call(&call).await.map_err(OperatorError::Store)?;
            if after.is_some() && era != listing.era {
                return Err(OperatorError::Store(StoreError::Restored(era)));
            }
            listing.era = era;
            match reply {
                StoreReply::Items { items, more, .. } => {
                    after = items.last().map(|item| item.key.clone());
                    items.iter().for_each(|item| listing.add(item));
                    if !more || after.is_none() {
                        return Ok(listing);
                    }
                }
                reply => return Err(OperatorError::Rejected(format!("{reply:?}"))),
            }
        }
    }

    /// Replaces the accounts in the configuration of `listing`, as its next version, which is
    /// returned.
    ///
    /// # Errors
    /// Returns [`OperatorError::Conflict`] if the configuration has changed since it was read or
    /// there is none, and another error if the store can't be reached or rejects the call.
    pub async fn write_account_list(
        &self,
        listing: &Listing,
        account_list: &AccountList,
    ) -> Result<u64, OperatorError> {
        let (config, revision) = listing.config.as_ref().ok_or(OperatorError::Conflict)?;
        let version = (config.version + 1).max(listing.era.min_config_version());
        let write = operator::account_list_item(&listing.config_value, version, account_list)
            .map_err(OperatorError::AccountList)?;
        let call = StoreCall::Transaction {
            conditions: vec![operator::config_condition(*revision)],
            writes: vec![write],
            removes: Vec::new(),
        };
        match self.store.call_in(listing.era, &call).await.map_err(OperatorError::Store)? {
            StoreReply::Applied { .. } => Ok(version),
            StoreReply::Conflict { .. } => Err(OperatorError::Conflict),
            reply => Err(OperatorError::Rejected(format!("{reply:?}"))),
        }
    }

    /// Writes a configuration with these accounts, and adapter versions, if the configuration in the store still has the
    /// revision of `position`, and the store is in its era; revision 0 means that there is none yet.
    ///
    /// The versions that don't fit into the first transaction follow in further transactions, which
    /// have no precondition.
    ///
    /// # Errors
    /// Returns [`OperatorError::Conflict`] if the configuration has another revision, and another
    /// error if the store can't be reached or rejects a call.
    pub async fn write_config(
        &self,
        config: &Config,
        account_list: &AccountList,
        versions: &[(Name, u64)],
        position: Position,
    ) -> Result<(), OperatorError> {
        // The store accepts 32 entries in a transaction: condition, configuration and these.
        const VERSIONS_PER_TRANSACTION: usize = 30;
        let mut conditions = vec![operator::config_condition(position.revision)];
        let mut writes = vec![operator::config_item(config, account_list)];
        let mut chunks = versions.chunks(VERSIONS_PER_TRANSACTION);
        let version_items = |chunk: Option<&[(Name, u64)]>| {
            chunk
                .into_iter()
                .flatten()
                .filter_map(|(adapter, version)| operator::version_item(config, adapter, *version))
                .collect::<Vec<_>>()
        };
        writes.extend(version_items(chunks.next()));
        loop {
            let call = StoreCall::Transaction {
                conditions: std::mem::take(&mut conditions),
                writes: std::mem::take(&mut writes),
                removes: Vec::new(),
            };
            let reply = self.store.call_in(position.era, &call).await;
            match reply.map_err(OperatorError::Store)? {
                StoreReply::Applied { .. } => {}
                StoreReply::Conflict { .. } => return Err(OperatorError::Conflict),
                reply => return Err(OperatorError::Rejected(format!("{reply:?}"))),
            }
            match chunks.next() {
                Some(chunk) => writes = version_items(Some(chunk)),
                None => return Ok(()),
            }
        }
    }
}

impl Listing {
    /// Adds the configuration, upstream or node in `item`; ignores other records.
    fn add(&mut self, item: &Item) {
        match Platform.parse_store_item(item) {
            StoreRecord::Config(Some(config)) => {
                self.config = Some((*config, item.revision));
                self.config_value = ConfigValue::new(item.value.clone().unwrap_or_default());
            }
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
