//! Kinds of settings, their parsing and their command-line arguments.
//!
//! The list of settings is generated. A value comes from its flag, else from
//! its environment variable, else from its default.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;

use crate::NodeSettings;
use crate::SPECS;

#[cfg(test)]
mod tests;

/// Prefix of the environment variables.
const ENV_PREFIX: &str = "FIREFLYHEAD_";

/// Kind of a setting's value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Free text.
    Text,
    /// IP address and port.
    Address,
    /// Time span such as `5s`.
    Duration,
    /// Whole number.
    Count,
    /// Number.
    Ratio,
}

/// One setting of the schema.
#[derive(Clone, Copy, Debug)]
pub struct SettingSpec {
    /// Name; the flag is `--<name>`.
    pub name: &'static str,
    /// Kind of the value.
    pub kind: Kind,
    /// Value if nothing is set.
    pub default: &'static str,
    /// Smallest value.
    pub min: Option<&'static str>,
    /// Largest value.
    pub max: Option<&'static str>,
    /// One sentence for `--help`.
    pub help: &'static str,
}

impl SettingSpec {
    /// Environment variable of the setting.
    pub fn env(&self) -> String {
        format!("{ENV_PREFIX}{}", self.name.replace('-', "_").to_uppercase())
    }
}

/// setting `{name}` has the invalid value `{value}`: {reason}
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(displaydoc::Display)]
pub struct SettingError {
    /// Name of the setting.
    pub name: &'static str,
    /// Text that was set.
    pub value: String,
    /// What is wrong with it.
    pub reason: String,
}

impl std::error::Error for SettingError {}

/// Value of a setting: how it is parsed, compared with its range and shown.
pub trait Value: Sized {
    /// Parses the text of a setting.
    ///
    /// # Errors
    /// What is wrong with the text.
    fn parse(text: &str) -> Result<Self, String>;

    /// Text for display.
    fn show(&self) -> String;

    /// Magnitude compared with the range; 0 for values without one.
    fn magnitude(&self) -> f64 {
        0.0
    }
}

impl Value for String {
    fn parse(text: &str) -> Result<String, String> {
        Ok(text.to_owned())
    }

    fn show(&self) -> String {
        self.clone()
    }
}

impl Value for SocketAddr {
    fn parse(text: &str) -> Result<SocketAddr, String> {
        text.parse().map_err(|_| "expected `ip:port`".to_owned())
    }

    fn show(&self) -> String {
        self.to_string()
    }
}

impl Value for Duration {
    fn parse(text: &str) -> Result<Duration, String> {
        humantime::parse_duration(text)
            .map_err(|e| format!("expected a time span such as `5s`: {e}"))
    }

    fn show(&self) -> String {
        humantime::format_duration(*self).to_string()
    }

    fn magnitude(&self) -> f64 {
        self.as_secs_f64()
    }
}

impl Value for u64 {
    fn parse(text: &str) -> Result<u64, String> {
        text.parse().map_err(|_| "expected a whole number".to_owned())
    }

    fn show(&self) -> String {
        self.to_string()
    }

    #[allow(clippy::cast_precision_loss)]
    fn magnitude(&self) -> f64 {
        *self as f64
    }
}

impl Value for f64 {
    fn parse(text: &str) -> Result<f64, String> {
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(number),
            _ => Err("expected a finite number".to_owned()),
        }
    }

    fn show(&self) -> String {
        self.to_string()
    }

    fn magnitude(&self) -> f64 {
        *self
    }
}

/// Reads settings one by one and collects every error.
pub struct Reader<'a> {
    specs: &'static [SettingSpec],
    lookup: &'a dyn Fn(&str) -> Option<String>,
    errors: Vec<SettingError>,
}

impl<'a> Reader<'a> {
    /// Reader of `specs` whose texts come from `lookup`.
    pub fn new(
        specs: &'static [SettingSpec],
        lookup: &'a dyn Fn(&str) -> Option<String>,
    ) -> Reader<'a> {
        Reader { specs, lookup, errors: Vec::new() }
    }

    /// Value of the setting `name`; its default after an error.
    pub fn read<T: Value>(&mut self, name: &str) -> T {
        let spec =
            self.specs.iter().find(|spec| spec.name == name).expect("a generated name has a spec");
        let default = T::parse(spec.default).expect("the schema's default parses");
        let Some(text) = (self.lookup)(name) else { return default };
        match check(spec, &text) {
            Ok(value) => value,
            Err(reason) => {
                self.errors.push(SettingError { name: spec.name, value: text, reason });
                default
            }
        }
    }

    /// `settings`, or the errors met while reading them.
    ///
    /// # Errors
    /// Every invalid setting.
    pub fn finish(self, settings: NodeSettings) -> Result<NodeSettings, Vec<SettingError>> {
        if self.errors.is_empty() { Ok(settings) } else { Err(self.errors) }
    }
}

fn check<T: Value>(spec: &SettingSpec, text: &str) -> Result<T, String> {
    let value = T::parse(text)?;
    let bound = |limit: Option<&str>| limit.and_then(|limit| T::parse(limit).ok());
    match (bound(spec.min), bound(spec.max)) {
        (Some(min), _) if value.magnitude() < min.magnitude() => {
            Err(format!("the smallest value is {}", spec.min.unwrap_or_default()))
        }
        (_, Some(max)) if value.magnitude() > max.magnitude() => {
            Err(format!("the largest value is {}", spec.max.unwrap_or_default()))
        }
        _ => Ok(value),
    }
}

impl Default for NodeSettings {
    fn default() -> NodeSettings {
        NodeSettings::read(|_| None).expect("the schema's defaults are valid")
    }
}

/// Command-line arguments of all settings.
pub fn args() -> Vec<Arg> {
    SPECS.iter().map(arg).collect()
}

fn arg(spec: &SettingSpec) -> Arg {
    Arg::new(spec.name).long(spec.name).value_name("VALUE").help(format!(
        "{} [default: {}] [env: {}]",
        spec.help,
        spec.default,
        spec.env()
    ))
}

/// Settings from parsed flags, with the environment behind them.
///
/// # Errors
/// Every invalid setting.
pub fn from_matches(matches: &ArgMatches) -> Result<NodeSettings, Vec<SettingError>> {
    NodeSettings::read(|name| {
        let spec = SPECS.iter().find(|spec| spec.name == name)?;
        let flag = matches.get_one::<String>(name).cloned();
        flag.or_else(|| std::env::var(spec.env()).ok())
    })
}
