//! Tests of settings: defaults, units, range checks and precedence of flags.

use std::collections::HashMap;
use std::time::Duration;

use clap::Command;

use crate::NodeSettings;
use crate::SETTING_SPECS;
use crate::settings;

fn read(texts: &[(&str, &str)]) -> Result<NodeSettings, Vec<settings::SettingError>> {
    let texts: HashMap<_, _> = texts.iter().copied().collect();
    NodeSettings::read(|name| texts.get(name).map(|text| (*text).to_owned()))
}

/// Guards against a default outside the range of its setting.
#[test]
fn defaults_are_within_their_ranges() {
    let defaults: Vec<_> = SETTING_SPECS.iter().map(|spec| (spec.name, spec.default)).collect();
    read(&defaults).expect("every default is valid when it is set explicitly");
}

#[test]
fn values_with_units_are_parsed() {
    let settings = read(&[("lease-ttl", "8s"), ("order-turn", "250ms"), ("capacity", "0.25")]);
    let settings = settings.expect("the settings are valid");
    assert_eq!(settings.lease_ttl, Duration::from_secs(8));
    assert_eq!(settings.order_turn, Duration::from_millis(250));
    assert!((settings.capacity - 0.25).abs() < 1e-9);
}

/// Guards against parsing that stops at the first invalid setting, or an error without its name.
#[test]
fn all_invalid_settings_are_reported() {
    let cases = [
        ("lease-ttl", "fast"),
        ("resolve-ttl", "1ms"),
        ("caller-address", "localhost"),
        ("max-descriptors", "0"),
        ("capacity", "NaN"),
        ("retry-ratio", "11"),
    ];
    let errors = read(&cases).expect_err("every value is invalid");
    let mut names: Vec<_> = errors.iter().map(|e| e.name).collect();
    names.sort_unstable();
    let mut expected = cases.map(|(name, _)| name);
    expected.sort_unstable();
    assert_eq!(names, expected);
}

#[test]
fn a_flag_overrides_the_default() {
    let command = Command::new("node").args(settings::args());
    let matches = command.get_matches_from(["node", "--node-id", "n7"]);
    let settings = settings::from_matches(&matches).expect("the settings are valid");
    assert_eq!(settings.node_id, "n7");
}
