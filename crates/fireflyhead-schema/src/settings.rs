//! Parsing, range checks and command-line arguments of the settings of `fireflyhead-node`.
//!
//! The list of settings is generated from `schema/settings.toml`. A flag takes precedence over the
//! environment variable, which takes precedence over the default.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;

use crate::NodeSettings;
use crate::SETTING_SPECS;

#[cfg(test)]
mod tests;

/// Prefix of the environment variables that set a setting.
const ENV_PREFIX: &str = "FIREFLYHEAD_";

/// Type of a setting's value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SettingKind {
    /// Any text; not checked.
    Text,
    /// IP address and port; host names are not resolved.
    Address,
    /// Time span with units, such as `250ms` or `5s`.
    Duration,
    /// Non-negative whole number.
    Count,
    /// Finite decimal number.
    Ratio,
}

/// Definition of one setting in the schema.
#[derive(Clone, Copy, Debug)]
pub struct SettingSpec {
    /// Name in kebab case; the flag is `--<name>`.
    pub name: &'static str,
    /// Type of the value.
    pub kind: SettingKind,
    /// Value if neither the flag nor the environment variable is set.
    pub default: &'static str,
    /// Smallest valid value; `None` if there is no lower limit.
    pub min: Option<&'static str>,
    /// Largest valid value; `None` if there is no upper limit.
    pub max: Option<&'static str>,
    /// Description for `--help`, without the final period.
    pub help: &'static str,
}

impl SettingSpec {
    /// Returns the name of the environment variable, such as `FIREFLYHEAD_NODE_ID` for `node-id`.
    pub fn env_var(&self) -> String {
        format!("{ENV_PREFIX}{}", self.name.replace('-', "_").to_uppercase())
    }
}

/// setting `{name}` has the invalid value `{value}`: {reason}
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub struct SettingError {
    /// Name of the setting.
    pub name: &'static str,
    /// Invalid text from the flag or the environment variable.
    pub value: String,
    /// Why the value is invalid.
    pub reason: String,
}

impl std::error::Error for SettingError {}

/// Type of a setting's value: parsing, formatting and comparison with a range.
pub trait SettingValue: Sized {
    /// Parses the text of a flag or an environment variable.
    ///
    /// # Errors
    /// Returns the expected format if the text is malformed.
    fn parse(text: &str) -> Result<Self, String>;

    /// Formats the value so that [`parse`](Self::parse) accepts it.
    fn format(&self) -> String;

    /// Returns the number that is compared with the range; 0 for types without a range.
    fn magnitude(&self) -> f64 {
        0.0
    }
}

impl SettingValue for String {
    fn parse(text: &str) -> Result<String, String> {
        Ok(text.to_owned())
    }

    fn format(&self) -> String {
        self.clone()
    }
}

impl SettingValue for SocketAddr {
    fn parse(text: &str) -> Result<SocketAddr, String> {
        text.parse().map_err(|_| "expected `ip:port`".to_owned())
    }

    fn format(&self) -> String {
        self.to_string()
    }
}

impl SettingValue for Duration {
    fn parse(text: &str) -> Result<Duration, String> {
        humantime::parse_duration(text)
            .map_err(|e| format!("expected a time span such as `5s`: {e}"))
    }

    fn format(&self) -> String {
        humantime::format_duration(*self).to_string()
    }

    fn magnitude(&self) -> f64 {
        self.as_secs_f64()
    }
}

impl SettingValue for u64 {
    fn parse(text: &str) -> Result<u64, String> {
        text.parse().map_err(|_| "expected a whole number".to_owned())
    }

    fn format(&self) -> String {
        self.to_string()
    }

    #[allow(clippy::cast_precision_loss)]
    fn magnitude(&self) -> f64 {
        *self as f64
    }
}

impl SettingValue for f64 {
    fn parse(text: &str) -> Result<f64, String> {
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(number),
            _ => Err("expected a finite number".to_owned()),
        }
    }

    fn format(&self) -> String {
        self.to_string()
    }

    fn magnitude(&self) -> f64 {
        *self
    }
}

/// Reads settings one by one and collects all errors, so that they are reported together.
pub struct SettingsReader<'a> {
    specs: &'static [SettingSpec],
    lookup: &'a dyn Fn(&str) -> Option<String>,
    errors: Vec<SettingError>,
}

impl<'a> SettingsReader<'a> {
    /// Creates a reader for `specs`; `lookup` returns the text of a setting by its name, or `None`
    /// if it is not set.
    pub fn new(
        specs: &'static [SettingSpec],
        lookup: &'a dyn Fn(&str) -> Option<String>,
    ) -> SettingsReader<'a> {
        SettingsReader { specs, lookup, errors: Vec::new() }
    }

    /// Returns the value of the setting `name`, or its default if it is not set or invalid.
    ///
    /// An invalid value is recorded as an error for [`finish`](Self::finish).
    ///
    /// # Panics
    /// If no spec has this name, or if the default does not parse.
    pub fn read<T: SettingValue>(&mut self, name: &str) -> T {
        let spec = self
            .specs
            .iter()
            .find(|spec| spec.name == name)
            .expect("every generated setting has a spec");
        let default = T::parse(spec.default).expect("the schema's default parses");
        let Some(text) = (self.lookup)(name) else { return default };
        match parse_in_range(spec, &text) {
            Ok(value) => value,
            Err(reason) => {
                self.errors.push(SettingError { name: spec.name, value: text, reason });
                default
            }
        }
    }

    /// Returns `settings` if every value was valid.
    ///
    /// # Errors
    /// Returns one error for each invalid setting.
    pub fn finish(self, settings: NodeSettings) -> Result<NodeSettings, Vec<SettingError>> {
        if self.errors.is_empty() { Ok(settings) } else { Err(self.errors) }
    }
}

/// Parses `text` and compares the value with the range of the setting.
fn parse_in_range<T: SettingValue>(spec: &SettingSpec, text: &str) -> Result<T, String> {
    let value = T::parse(text)?;
    let bound = |limit: Option<&str>| limit.and_then(|limit| T::parse(limit).ok());
    match (bound(spec.min), bound(spec.max)) {
        (Some(min), _) if value.magnitude() < min.magnitude() => {
            Err(format!("the minimum is {}", spec.min.unwrap_or_default()))
        }
        (_, Some(max)) if value.magnitude() > max.magnitude() => {
            Err(format!("the maximum is {}", spec.max.unwrap_or_default()))
        }
        _ => Ok(value),
    }
}

impl Default for NodeSettings {
    fn default() -> NodeSettings {
        NodeSettings::read(|_| None).expect("the schema's defaults are valid")
    }
}

/// Returns the command-line arguments of all settings.
pub fn args() -> Vec<Arg> {
    SETTING_SPECS.iter().map(arg).collect()
}

fn arg(spec: &SettingSpec) -> Arg {
    Arg::new(spec.name).long(spec.name).value_name("VALUE").help(format!(
        "{} [default: {}] [env: {}]",
        spec.help,
        spec.default,
        spec.env_var()
    ))
}

/// Reads the settings from parsed flags, the environment variables and the defaults.
///
/// # Errors
/// Returns one error for each invalid setting.
pub fn from_matches(matches: &ArgMatches) -> Result<NodeSettings, Vec<SettingError>> {
    NodeSettings::read(|name| {
        let spec = SETTING_SPECS.iter().find(|spec| spec.name == name)?;
        let flag = matches.get_one::<String>(name).cloned();
        flag.or_else(|| std::env::var(spec.env_var()).ok())
    })
}
