//! Whether a request is served for an account, also while the configuration may be outdated.

use std::time::Duration;

use fireflyhead_policy::Time;
use fireflyhead_policy::accounts::Accounts;
use fireflyhead_policy::accounts::Credential;
use fireflyhead_policy::accounts::KeyDigest;
use fireflyhead_policy::authentication::AuthenticationError;
use fireflyhead_policy::authentication::AuthenticationResponse;
use fireflyhead_policy::authentication::ConfigState;
use fireflyhead_policy::authentication::ConfigView;
use fireflyhead_policy::authentication::Identity;
use fireflyhead_policy::authentication::authenticate;
use fireflyhead_policy::protocol::CallerAccount;

use crate::setup::account;

/// Time within which changes must be in force.
const BOUND: Duration = Duration::from_secs(3);

fn key(key: &str) -> Credential {
    Credential::Key(Some(KeyDigest::of(key)))
}

fn accounts() -> Accounts {
    let mut urgent = account("urgent", &["u1"]);
    urgent.priority = Some(0);
    Accounts::new(vec![account("a", &["k1", "both"]), account("b", &["both"]), urgent], Vec::new())
}

/// Guards against a wrong answer to a key, such as 401 of a node that has not heard of a new key: its
/// client would give up.
#[test]
fn the_answer_depends_on_the_key_and_the_age_of_the_configuration() {
    use AuthenticationError as E;
    use ConfigState::Behind;
    use ConfigState::Current;
    use ConfigState::Unconfirmed;
    let known = key("k1");
    let cases = [
        (Current, known, None),
        (Unconfirmed, known, None),
        (Behind, known, Some(E::ConfigBehind)),
        (Current, key("other"), Some(E::UnknownKey)),
        (Unconfirmed, key("other"), Some(E::ConfigUnconfirmed)),
        (Behind, key("other"), Some(E::ConfigBehind)),
        (Current, Credential::Absent, Some(E::NoKey)),
        (Unconfirmed, Credential::Absent, Some(E::ConfigUnconfirmed)),
        (Behind, Credential::Absent, Some(E::ConfigBehind)),
        (Current, Credential::Key(None), Some(E::UnknownKey)),
        (Unconfirmed, Credential::Key(None), Some(E::ConfigUnconfirmed)),
        (Current, key("both"), Some(E::UnusableKey)),
        (Unconfirmed, key("both"), Some(E::UnusableKey)),
        (Current, Credential::Ambiguous, Some(E::SeveralKeys)),
        (Behind, Credential::Ambiguous, Some(E::SeveralKeys)),
    ];
    let accounts = accounts();
    for (state, credential, error) in cases {
        let decided = authenticate(Some(&accounts), state, false, credential);
        assert_eq!(decided.as_ref().err().copied(), error, "{state:?} {credential:?}");
        let name = decided.ok().and_then(|id| id.account().map(|a| a.name.to_string()));
        assert_eq!(name.as_deref(), error.is_none().then_some("a"));
        let public = authenticate(Some(&accounts), state, true, credential);
        assert_eq!(public, Ok(Identity::Public));
        let unmanaged = authenticate(None, state, false, credential);
        assert_eq!(unmanaged, Ok(Identity::Unmanaged));
    }
}

/// Guards against 401 for a request that another node may serve, and 503 for one that none will.
#[test]
fn each_reason_has_its_kind_of_response() {
    let kind = AuthenticationError::response;
    assert_eq!(kind(AuthenticationError::SeveralKeys), AuthenticationResponse::Malformed);
    for error in [AuthenticationError::NoKey, AuthenticationError::UnknownKey] {
        assert_eq!(kind(error), AuthenticationResponse::KeyNeeded);
    }
    for error in [
        AuthenticationError::UnusableKey,
        AuthenticationError::ConfigUnconfirmed,
        AuthenticationError::ConfigBehind,
    ] {
        assert_eq!(kind(error), AuthenticationResponse::Unavailable);
    }
}

/// Guards against requests of an account that run with the priority of their route.
#[test]
fn the_priority_of_an_account_precedes_that_of_the_route() {
    let accounts = accounts();
    let identity = |credential| {
        authenticate(Some(&accounts), ConfigState::Current, false, credential).expect("a known key")
    };
    assert_eq!(identity(key("u1")).priority(2), 0);
    assert_eq!(identity(key("k1")).priority(2), 2);
    assert_eq!(Identity::Public.priority(1), 1);
    assert_eq!(identity(key("u1")).caller_account(), CallerAccount::Account("urgent".into()));
    assert_eq!(Identity::Public.caller_account(), CallerAccount::Public);
    assert_eq!(Identity::Unmanaged.caller_account(), CallerAccount::Unmanaged);
}

/// Guards against open streams that are ended although their key is still in use, or not ended.
#[test]
fn a_key_is_revoked_once_no_account_has_it() {
    let old = accounts();
    let state = ConfigState::Current;
    let identity = authenticate(Some(&old), state, false, key("k1")).expect("a known key");
    assert!(!identity.is_revoked(Some(&old)));
    let moved = Accounts::new(vec![account("b", &["k1"])], Vec::new());
    assert!(!identity.is_revoked(Some(&moved)));
    let rotated = Accounts::new(vec![account("a", &["k2"])], Vec::new());
    assert!(identity.is_revoked(Some(&rotated)));
    assert!(!identity.is_revoked(Some(&Accounts::malformed("no list"))));
    assert!(!identity.is_revoked(None));
    assert!(!Identity::Public.is_revoked(Some(&rotated)));
}

/// Guards against a node that trusts its configuration although nothing has confirmed it, or that
/// refuses all keys while it is merely getting a newer version.
#[test]
fn the_state_of_the_configuration_follows_from_what_confirms_it() {
    let at = Time::from_millis;
    let mut view = ConfigView::default();
    assert_eq!(view.state(at(1_000), 0, BOUND), ConfigState::Unconfirmed);
    view.confirm(at(1_000));
    assert_eq!(view.state(at(4_000), 5, BOUND), ConfigState::Current);
    assert_eq!(view.state(at(4_001), 5, BOUND), ConfigState::Unconfirmed);
    view.confirm(at(4_100));
    // A confirmation that is older, or a version that is not newer, changes nothing.
    view.confirm(at(2_000));
    view.note_version(at(4_200), 5, 5);
    assert_eq!(view.state(at(4_200), 5, BOUND), ConfigState::Current);
    view.note_version(at(4_300), 7, 5);
    view.note_version(at(4_900), 6, 5);
    assert_eq!(view.newest_known_version(), 7);
    assert_eq!(view.state(at(5_299), 5, BOUND), ConfigState::Unconfirmed);
    view.confirm(at(5_300));
    assert_eq!(view.state(at(5_300), 5, BOUND), ConfigState::Behind);
    assert_eq!(view.state(at(5_300), 6, BOUND), ConfigState::Behind);
    assert_eq!(view.state(at(5_300), 7, BOUND), ConfigState::Current);
    assert_eq!(view.state(at(5_300), 8, BOUND), ConfigState::Current);
    // A further version doesn't give more time to a node that lacks an earlier one.
    view.note_version(at(5_400), 9, 5);
    assert_eq!(view.state(at(5_400), 5, BOUND), ConfigState::Behind);
    view.note_version(at(5_500), 10, 9);
    assert_eq!(view.state(at(5_500), 9, BOUND), ConfigState::Unconfirmed);
}
