//! Generates the message types from `messages.proto`.
//!
//! Nodes exchange the messages as bincode through serde; protobuf is only the definition language.

use std::path::Path;

use anyhow::Context;
use anyhow::Result;

/// Returns the Rust code of the messages in `messages.proto` in `schema_dir`.
///
/// # Errors
/// Returns an error if the file can't be read or is not valid protobuf.
pub(crate) fn generate(schema_dir: &Path) -> Result<String> {
    let descriptors = protox::compile(["messages.proto"], [schema_dir])
        .context("cannot compile messages.proto")?;
    let mut config = prost_build::Config::new();
    config
        .bytes(["."])
        .type_attribute(".", "#[derive(serde::Deserialize, serde::Serialize)]")
        .type_attribute(".", "#[allow(missing_docs, clippy::large_enum_variant)]");
    let modules = config
        .generate(
            descriptors
                .file
                .into_iter()
                .map(|file| (prost_build::Module::from_protobuf_package_name(file.package()), file))
                .collect(),
        )
        .context("cannot generate the message types")?;
    let code = modules.into_values().collect::<Vec<_>>().concat();
    Ok(code)
}
