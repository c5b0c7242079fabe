//! Whether a node knows that its configuration is the newest one.

use std::time::Duration;

use fireflyhead_gateway::clock;
use fireflyhead_policy::authentication::ConfigState;
use fireflyhead_policy::config::Config;
use fireflyhead_policy::config::RequestLimits;

use crate::pending::shared_state;

fn config(version: u64) -> Config {
    Config::new(version, RequestLimits::default(), Vec::new(), Vec::new())
}

/// Guards against a node that rejects keys as unknown, or accepts revoked ones, although it knows of a newer
/// configuration or has not heard of the store for longer than a change may take.
#[test]
fn a_configuration_is_current_only_while_it_is_confirmed_and_the_newest() {
    let shared = shared_state();
    let now = clock::now();
    assert_eq!(shared.config_state(now), ConfigState::Unconfirmed);
    shared.set_config(config(3));
    shared.confirm_config(now);
    assert_eq!(shared.config_state(now + shared.settings.apply_bound), ConfigState::Current);
    let late = now + shared.settings.apply_bound + Duration::from_millis(1);
    assert_eq!(shared.config_state(late), ConfigState::Unconfirmed);
    for version in [3, 2] {
        shared.note_config_version(version);
        assert_eq!(shared.config_state(now), ConfigState::Current);
    }
    shared.note_config_version(5);
    shared.note_config_version(4);
    // Up to a second, other nodes are asked for it.
    assert_eq!(shared.config_state(clock::now()), ConfigState::Unconfirmed);
    let after_fetch_time = clock::now() + Duration::from_secs(1);
    assert_eq!(shared.config_state(after_fetch_time), ConfigState::Behind);
    shared.set_config(config(5));
    assert_eq!(shared.config_state(now), ConfigState::Current);
}
