//! Client accounts: which account a request belongs to, by the key that it carries.
//!
//! Keys are hashed when they are parsed and never kept in clear, so that no log line, metric or
//! message to another node can contain one. A lookup costs one hash-map probe, independent of the
//! number of keys.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;

use crate::Name;
use crate::protocol::TokenCount;

/// Longest key in bytes that is hashed; a longer one is unknown. It bounds the work that a caller
/// can cause.
pub const MAX_KEY_BYTES: usize = 512;
/// Highest rate and burst of a quota, so that sums over all accounts stay finite.
const MAX_QUOTA: f64 = 1e15;
/// Number of leading bytes of a digest that logs show.
const SHOWN_DIGEST_BYTES: usize = 4;

/// SHA-256 digest of a key.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of `key`.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the digest with these bytes.
    pub const fn from_bytes(bytes: [u8; 32]) -> KeyDigest {
        KeyDigest(bytes)
    }

    /// Parses a digest in hexadecimal; `None` if it doesn't have 64 digits.
    pub fn from_hex(text: &str) -> Option<KeyDigest> {
        if text.len() != 64 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return None;
        }
        let mut bytes = [0; 32];
        for (byte, at) in bytes.iter_mut().zip((0..64).step_by(2)) {
            *byte = u8::from_str_radix(text.get(at..at + 2)?, 16).ok()?;
        }
        Some(KeyDigest(bytes))
    }

    /// Returns the whole digest in hexadecimal.
    pub fn to_hex(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns the bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for KeyDigest {
    /// Writes the first bytes of the digest in hexadecimal, enough to tell keys apart in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..SHOWN_DIGEST_BYTES].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

/// Key that a request carries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Credential {
    /// The request has no key.
    #[default]
    Absent,
    /// The request has a key, or one of a form that no account can have.
    Key(Option<KeyDigest>),
    /// The request has several keys.
    Ambiguous,
}

/// What the quota of an account counts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    #[default]
    Requests,
    /// A request counts as its tokens.
    Tokens {
        /// What a request without a token count counts as.
        plain_request: u32,
    },
}

/// Quota of an account over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Rate in units per second, above 0.
    pub rate: f64,
    /// Largest number of units at once after a time without requests, at least 0.
    pub burst: f64,
}

impl Quota {
    /// Creates a quota; `None` in the result if `rate` is 0, which means no limit.
    ///
    /// # Errors
    /// A value is negative or not finite.
    pub fn new(unit: QuotaUnit, rate: f64, burst: f64) -> Result<Option<Quota>, InvalidQuota> {
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        if !is_valid(rate) || !is_valid(burst) {
            return Err(InvalidQuota);
        }
        let quota = Quota { unit, rate: rate.min(MAX_QUOTA), burst: burst.min(MAX_QUOTA) };
        Ok((rate > 0.0).then_some(quota))
    }

    /// Returns the units that a request with these tokens counts as; `None` for a request without a
    /// token count.
    pub fn cost(&self, tokens: Option<TokenCount>) -> u64 {
        match (self.unit, tokens) {
            (QuotaUnit::Requests, _) => 1,
            (QuotaUnit::Tokens { plain_request }, None) => u64::from(plain_request),
            (QuotaUnit::Tokens { .. }, Some(TokenCount { prompt, output })) => {
                u64::from(prompt) + u64::from(output)
            }
        }
    }
}

/// the rate or burst of a quota is negative or not finite
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub struct InvalidQuota;

impl std::error::Error for InvalidQuota {}

/// Account of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientAccount {
    /// Name, which upstreams are told.
    pub name: Name,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests instead of that of their route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Quota; `None` without a limit.
    pub quota: Option<Quota>,
}

/// Account that can't be used, because the configuration doesn't say who it is or what it may use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnusableAccount {
    /// Name; `None` if the account has none.
    pub name: Option<Name>,
    /// Digests of its keys, as far as they are known.
    pub keys: Vec<KeyDigest>,
    /// Why it can't be used, for the log.
    pub reason: &'static str,
}

/// Account that a key belongs to.
#[derive(Clone, Debug, PartialEq)]
enum KeyOwner {
    Account(Arc<ClientAccount>),
    /// Several accounts have the key, or the account that has it can't be used.
    Unusable,
}

/// Result of looking up a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Lookup {
    /// The key belongs to this account.
    Account(Arc<ClientAccount>),
    /// No account has the key.
    Unknown,
    /// The configuration doesn't tell which account the key belongs to, or that account is invalid.
    Unusable,
}

/// All accounts of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accounts {
    by_key: HashMap<KeyDigest, KeyOwner>,
    by_name: HashMap<Name, Arc<ClientAccount>>,
    unusable: Vec<UnusableAccount>,
    /// Whether no account could be read at all, so that nothing is known of any key.
    is_malformed: bool,
}

impl Accounts {
    /// Creates the accounts of a configuration from those that are valid and those that are not.
    /// Accounts with the same name can't be used either, since upstreams could not tell them apart.
    pub fn new(accounts: Vec<ClientAccount>, unusable: Vec<UnusableAccount>) -> Accounts {
        let mut result = Accounts { unusable, ..Accounts::default() };
        let mut count: HashMap<Name, usize> = HashMap::new();
        for account in &accounts {
            *count.entry(account.name.clone()).or_default() += 1;
        }
        for account in accounts {
            if count[&account.name] > 1 {
                result.unusable.push(UnusableAccount {
                    name: Some(account.name),
                    keys: account.keys,
                    reason: "another account has the same name",
                });
                continue;
            }
            let account = Arc::new(account);
            for key in &account.keys {
                let owner = match result.by_key.get(key) {
                    None => KeyOwner::Account(Arc::clone(&account)),
                    Some(KeyOwner::Account(known)) if known.name == account.name => continue,
                    Some(_) => KeyOwner::Unusable,
                };
                result.by_key.insert(*key, owner);
            }
            result.by_name.insert(account.name.clone(), account);
        }
        for key in result.unusable.iter().flat_map(|account| &account.keys) {
            result.by_key.insert(*key, KeyOwner::Unusable);
        }
        result
    }

    /// Creates the accounts of a configuration whose list of accounts can't be read; no key can be
    /// judged by them.
    pub fn malformed(reason: &'static str) -> Accounts {
        let unusable = vec![UnusableAccount { name: None, keys: Vec::new(), reason }];
        Accounts { unusable, is_malformed: true, ..Accounts::default() }
    }

    /// Returns the account that `key` belongs to.
    pub fn lookup(&self, key: &KeyDigest) -> Lookup {
        match self.by_key.get(key) {
            Some(KeyOwner::Account(account)) => Lookup::Account(Arc::clone(account)),
            Some(KeyOwner::Unusable) => Lookup::Unusable,
            None if self.is_malformed => Lookup::Unusable,
            None => Lookup::Unknown,
        }
    }

    /// Returns the account with the given name.
    pub fn get(&self, name: &str) -> Option<&Arc<ClientAccount>> {
        self.by_name.get(name)
    }

    /// Returns all accounts that can be used.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<ClientAccount>> {
        self.by_name.values()
    }
    /// Returns the number of accounts that can be used.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether no account can be used.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the accounts that can't be used.
    pub fn unusable(&self) -> &[UnusableAccount] {
        &self.unusable
    }

    /// Returns the number of keys that several accounts have, or an account that can't be used.
    pub fn unusable_key_count(&self) -> usize {
        self.by_key.values().filter(|owner| **owner == KeyOwner::Unusable).count()
    }
}
