//! Client accounts that operators write: from the table, and key by key.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fs;
use std::path::Path;

use fireflyhead_platform::operator::AccountList;
use fireflyhead_platform::operator::AccountListError;
use fireflyhead_platform::operator::ClearAccount;
use fireflyhead_platform::operator::ClearKey;
use fireflyhead_policy::Name;
use fireflyhead_policy::accounts::KeyDigest;
use fireflyhead_policy::table::KeySource;
use fireflyhead_policy::table::Table;

/// Error of finding the keys of an account.
#[derive(Debug)]
#[derive(displaydoc::Display)]
pub enum KeyError {
    /// cannot read the key file {path}: {error}
    Read {
        /// Path of the file.
        path: String,
        /// Error of the file system.
        error: std::io::Error,
    },
    /// key file {path}, line {line}: {error}
    Line {
        /// Path of the file.
        path: String,
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong with the key.
        error: AccountListError,
    },
    /// the key file {0} has no key
    Empty(String),
    /// account `{0}`: neither the configuration in the store nor a key file has a key with the digest {1}
    Missing(Name, KeyDigest),
    /// account `{0}`: another account has the key with the digest {1}
    Shared(Name, KeyDigest),
}

impl std::error::Error for KeyError {}

/// Reads a file with one key in clear on each line; blank lines are skipped.
///
/// # Errors
/// The file can't be read, has no key or one that callers can't present.
pub fn read_keys(path: &Path) -> Result<Vec<ClearKey>, KeyError> {
    let shown = path.display().to_string();
    let text =
        fs::read_to_string(path).map_err(|error| KeyError::Read { path: shown.clone(), error })?;
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let keys = lines.map(|(n, line)| {
        ClearKey::new(line.trim()).map_err(|error| KeyError::Line {
            path: shown.clone(),
            line: n + 1,
            error,
        })
    });
    let keys: Vec<ClearKey> = keys.collect::<Result<_, _>>()?;
    if keys.is_empty() { Err(KeyError::Empty(shown)) } else { Ok(keys) }
}

/// Returns the accounts of `table`, whose key files are relative to `directory`; those of the current
/// configuration if the table has none, so that a table of routes alone doesn't admit everyone.
///
/// # Errors
/// A key can't be found, or two accounts have it.
pub fn table_account_list(
    table: &Table,
    directory: &Path,
    current: &AccountList,
) -> Result<AccountList, KeyError> {
    if table.accounts().next().is_none() {
        return Ok(current.clone());
    }
    let mut files: HashMap<&str, Vec<ClearKey>> = HashMap::new();
    for source in table.accounts().flat_map(|(_, account)| &account.keys) {
        if let KeySource::File(path) = source
            && !files.contains_key(path.as_str())
        {
            files.insert(path, read_keys(&directory.join(path))?);
        }
    }
    let from_files: HashMap<KeyDigest, ClearKey> =
        files.values().flatten().map(|key| (key.digest(), key.clone())).collect();
    let mut used = HashSet::new();
    let mut accounts = Vec::new();
    for (name, spec) in table.accounts() {
        let mut keys: Vec<ClearKey> = Vec::new();
        for source in &spec.keys {
            match source {
                KeySource::File(path) => keys.extend(files[path.as_str()].iter().cloned()),
                KeySource::Digest(digest) => {
                    let key = current.clear_key(digest).or_else(|| from_files.get(digest).cloned());
                    keys.push(key.ok_or(KeyError::Missing(name.clone(), *digest))?);
                }
            }
        }
        let mut own = HashSet::new();
        keys.retain(|key| own.insert(key.digest()));
        if let Some(shared) = own.iter().find(|digest| used.contains(*digest)) {
            return Err(KeyError::Shared(name.clone(), *shared));
        }
        used.extend(own);
        let (priority, quota) = (spec.priority, spec.quota);
        accounts.push(ClearAccount { name: name.clone(), keys, priority, quota });
    }
    Ok(AccountList::new(&accounts))
}
