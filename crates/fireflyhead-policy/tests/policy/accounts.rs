//! Lookup of the account that a key belongs to, and the cost of a request for its quota.

use fireflyhead_policy::Name;
use fireflyhead_policy::accounts::Accounts;
use fireflyhead_policy::accounts::ClientAccount;
use fireflyhead_policy::accounts::InvalidQuota;
use fireflyhead_policy::accounts::KeyDigest;
use fireflyhead_policy::accounts::Lookup;
use fireflyhead_policy::accounts::Quota;
use fireflyhead_policy::accounts::QuotaUnit;
use fireflyhead_policy::accounts::UnusableAccount;
use fireflyhead_policy::protocol::TokenCount;
use proptest::prelude::*;

use crate::setup::account;

/// Returns the name of the account that `key` belongs to, or how the lookup failed otherwise.
fn owner(accounts: &Accounts, key: &str) -> String {
    match accounts.lookup(&KeyDigest::of(key)) {
        Lookup::Account(account) => account.name.to_string(),
        Lookup::Unknown => "unknown".to_owned(),
        Lookup::Unusable => "unusable".to_owned(),
    }
}

/// Guards against a request that is counted against another client's account, or refused although
/// its key is listed twice in one account.
#[test]
fn a_key_belongs_to_the_one_account_that_lists_it() {
    let accounts = vec![
        account("a", &["k1", "k1", "k2"]),
        account("b", &["k3", "shared"]),
        account("c", &["shared", "k4"]),
        account("twin", &["k5"]),
        account("twin", &["k6"]),
        account("keyless", &[]),
    ];
    let unusable = vec![UnusableAccount {
        name: None,
        keys: vec![KeyDigest::of("k7"), KeyDigest::of("k4")],
        reason: "no name",
    }];
    let accounts = Accounts::new(accounts, unusable);
    let expected = [
        ("k1", "a"),
        ("k2", "a"),
        ("k3", "b"),
        ("shared", "unusable"),
        ("k4", "unusable"),
        ("k5", "unusable"),
        ("k6", "unusable"),
        ("k7", "unusable"),
        ("K1", "unknown"),
        ("", "unknown"),
    ];
    for (key, name) in expected {
        assert_eq!(owner(&accounts, key), name, "{key}");
    }
    // Both accounts `twin`, and the one without a name.
    assert_eq!((accounts.len(), accounts.unusable().len()), (4, 3));
    assert_eq!(accounts.unusable_key_count(), 5);
    assert!(accounts.get("a").is_some() && accounts.get("twin").is_none());
}

/// Guards against a list of accounts that can't be read and makes a node call every key wrong.
#[test]
fn no_key_is_unknown_to_a_malformed_list() {
    assert_eq!(owner(&Accounts::malformed("no list"), "k1"), "unusable");
    assert_eq!(owner(&Accounts::default(), "k1"), "unknown");
}

/// Guards against a new configuration that is taken for the old one, because only a key differs.
#[test]
fn accounts_with_other_keys_differ() {
    let with = |key: &str| Accounts::new(vec![account("a", &[key])], Vec::new());
    assert_eq!(with("k1"), with("k1"));
    assert_ne!(with("k1"), with("k2"));
}

/// Guards against a log that shows a key, or so much of a digest that it can be searched for.
#[test]
fn digests_are_shown_in_part() {
    let digest = KeyDigest::of("abc");
    assert_eq!(digest.to_string(), "ba7816bf");
    assert_eq!(format!("{digest:?}"), "KeyDigest(ba7816bf)");
    let account = format!("{:?}", account("a", &["a-secret-key"]));
    assert!(!account.contains("a-secret-key"));
}

/// Guards against quotas that refuse everything or nothing because of an odd number.
#[test]
fn quotas_are_checked_and_capped() {
    let quota = |rate, burst| Quota::new(QuotaUnit::Requests, rate, burst);
    assert_eq!(quota(0.0, 5.0), Ok(None));
    assert_eq!(quota(-1.0, 5.0), Err(InvalidQuota));
    assert_eq!(quota(1.0, -0.5), Err(InvalidQuota));
    assert_eq!(quota(f64::NAN, 1.0), Err(InvalidQuota));
    assert_eq!(quota(f64::INFINITY, 1.0), Err(InvalidQuota));
    assert_eq!(quota(0.0, f64::INFINITY), Err(InvalidQuota));
    let huge = quota(f64::MAX, f64::MAX).expect("a valid quota").expect("a limit");
    assert!((huge.rate * 1e6 + huge.burst).is_finite() && huge.rate < f64::MAX);
    let fraction = quota(0.25, 0.5).expect("a valid quota").expect("a limit");
    assert_eq!((fraction.rate, fraction.burst), (0.25, 0.5));
}

/// Guards against requests that are counted by the wrong unit.
#[test]
fn the_cost_of_a_request_depends_on_the_unit() {
    let tokens = Some(TokenCount { prompt: u32::MAX, output: 7 });
    let by_requests = Quota { unit: QuotaUnit::Requests, rate: 1.0, burst: 1.0 };
    let unit = QuotaUnit::Tokens { plain_request: 200 };
    let by_tokens = Quota { unit, rate: 1.0, burst: 1.0 };
    assert_eq!((by_requests.cost(tokens), by_requests.cost(None)), (1, 1));
    assert_eq!((by_tokens.cost(tokens), by_tokens.cost(None)), (u64::from(u32::MAX) + 7, 200));
    assert_eq!(by_tokens.cost(Some(TokenCount::default())), 0);
}

proptest! {
    /// Guards against an account that loses its keys because of another account, whatever keys
    /// that has: only keys that both have can't be used.
    #[test]
    fn accounts_affect_each_other_only_by_shared_keys(
        lists in prop::collection::vec(prop::collection::vec(0_u8..12, 0..6), 0..6),
        broken in prop::collection::vec(0_u8..12, 0..4),
    ) {
        let key = |n: &u8| format!("key-{n}");
        let accounts: Vec<ClientAccount> = lists
            .iter()
            .enumerate()
            .map(|(i, list)| ClientAccount {
                keys: list.iter().map(|n| KeyDigest::of(&key(n))).collect(),
                ..account(&format!("a{i}"), &[])
            })
            .collect();
        let keys = broken.iter().map(|n| KeyDigest::of(&key(n))).collect();
        let unusable = vec![UnusableAccount { name: Some(Name::from("x")), keys, reason: "" }];
        let accounts = Accounts::new(accounts, unusable);
        for n in 0..12_u8 {
            let owners: Vec<usize> = (0..lists.len()).filter(|i| lists[*i].contains(&n)).collect();
            let expected = match (owners.as_slice(), broken.contains(&n)) {
                ([], false) => "unknown".to_owned(),
                ([one], false) => format!("a{one}"),
                (_, _) => "unusable".to_owned(),
            };
            prop_assert_eq!(owner(&accounts, &key(&n)), expected);
        }
    }
}
