//! Settings, from a list of names, kinds, defaults and ranges.

use std::fmt::Write;
use std::path::Path;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use serde::Deserialize;

#[derive(Deserialize)]
struct File {
    setting: Vec<Setting>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Setting {
    name: String,
    kind: String,
    default: String,
    min: Option<String>,
    max: Option<String>,
    help: String,
}

impl Setting {
    fn field(&self) -> String {
        self.name.replace('-', "_")
    }

    /// Rust type of the field and variant of `Kind`.
    fn types(&self) -> Result<(&'static str, &'static str)> {
        Ok(match self.kind.as_str() {
            "text" => ("String", "Text"),
            "address" => ("std::net::SocketAddr", "Address"),
            "duration" => ("std::time::Duration", "Duration"),
            "count" => ("u64", "Count"),
            "ratio" => ("f64", "Ratio"),
            kind => bail!("setting `{}` has the unknown kind `{kind}`", self.name),
        })
    }
}

/// Returns the code for the settings in the file at `path`.
pub(crate) fn generate(path: &Path) -> Result<String> {
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {path:?}"))?;
    let file: File = toml::from_str(&text).with_context(|| format!("cannot parse {path:?}"))?;
    let mut specs = String::new();
    let mut fields = String::new();
    let mut reads = String::new();
    let mut shows = String::new();
    for setting in &file.setting {
        let (ty, kind) = setting.types()?;
        let field = setting.field();
        writeln!(
            specs,
            "SettingSpec {{ name: {:?}, kind: Kind::{kind}, default: {:?}, min: {:?}, max: {:?}, help: {:?} }},",
            setting.name, setting.default, setting.min, setting.max, setting.help,
        )?;
        writeln!(fields, "/// {}.\npub {field}: {ty},", setting.help)?;
        writeln!(reads, "{field}: reader.read({:?}),", setting.name)?;
        writeln!(shows, "({:?}, self.{field}.show()),", setting.name)?;
    }
    let code = format!(
        "use crate::settings::Kind;
         use crate::settings::Reader;
         use crate::settings::SettingError;
         use crate::settings::SettingSpec;
         use crate::settings::Value;

         /// Every setting of a node.
         pub const SPECS: &[SettingSpec] = &[{specs}];

         /// Settings of a node.
         #[derive(Clone, Debug)]
         pub struct NodeSettings {{ {fields} }}

         impl NodeSettings {{
             /// Reads the settings with `lookup`, which gives the text set for a name.
             ///
             /// # Errors
             /// Every setting that does not parse or is out of range.
             pub fn read(lookup: impl Fn(&str) -> Option<String>) -> Result<NodeSettings, Vec<SettingError>> {{
                 let mut reader = Reader::new(SPECS, &lookup);
                 let settings = NodeSettings {{ {reads} }};
                 reader.finish(settings)
             }}

             /// Names and values for display.
             pub fn show(&self) -> Vec<(&'static str, String)> {{
                 vec![{shows}]
             }}
         }}"
    );
    let file = syn_parse(&code)?;
    Ok(format!("// Generated from schema/settings.toml.\n\n{}", prettyplease::unparse(&file)))
}

fn syn_parse(code: &str) -> Result<syn::File> {
    syn::parse_file(code).context("cannot parse the generated settings")
}
