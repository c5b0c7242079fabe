//! Messages, from protobuf definitions.

use std::path::Path;

use anyhow::Context;
use anyhow::Result;

/// Returns the code for `messages.proto` in the folder `schema`.
pub(crate) fn generate(schema: &Path) -> Result<String> {
    let files =
        protox::compile(["messages.proto"], [schema]).context("cannot compile messages.proto")?;
    let mut config = prost_build::Config::new();
    config
        .bytes(["."])
        .type_attribute(".", "#[derive(serde::Deserialize, serde::Serialize)]")
        .type_attribute(".", "#[allow(missing_docs, clippy::large_enum_variant)]");
    let modules = config
        .generate(
            files
                .file
                .into_iter()
                .map(|file| (prost_build::Module::from_protobuf_package_name(file.package()), file))
                .collect(),
        )
        .context("cannot generate messages")?;
    let code = modules.into_values().collect::<Vec<_>>().concat();
    Ok(code)
}
