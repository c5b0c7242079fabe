//! Developer command that generates the code of `fireflyhead-schema`.
//!
//! Without arguments it writes the files; with `--check` it fails if a
//! committed file differs from what the schema gives.

use std::path::Path;
use std::path::PathBuf;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;

mod messages;
mod settings;

fn main() -> Result<()> {
    let check = match std::env::args().nth(1).as_deref() {
        None => false,
        Some("--check") => true,
        Some(arg) => bail!("unexpected argument `{arg}`; expected nothing or `--check`"),
    };
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let schema = root.join("schema");
    let target = root.join("crates/fireflyhead-schema/src/generated");
    let files = [
        ("messages.rs", messages::generate(&schema)?),
        ("settings.rs", settings::generate(&schema.join("settings.toml"))?),
    ];
    for (name, code) in files {
        emit(&target.join(name), &code, check)?;
    }
    Ok(())
}

/// Writes `code` to `path`, or compares the two.
fn emit(path: &PathBuf, code: &str, check: bool) -> Result<()> {
    if !check {
        return std::fs::write(path, code).with_context(|| format!("cannot write {path:?}"));
    }
    let found = std::fs::read_to_string(path).with_context(|| format!("cannot read {path:?}"))?;
    if found != code {
        bail!("{path:?} is out of date; run `cargo run -p fireflyhead-schema-gen`");
    }
    Ok(())
}
