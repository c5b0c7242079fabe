//! Generates the code in `crates/fireflyhead-schema/src/generated/` from the files in `schema/`.
//!
//! Without arguments it writes the files. With `--check` it writes nothing and fails if a committed
//! file differs from the generated code.

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
        Some(arg) => bail!("unexpected argument `{arg}`; expected no argument or `--check`"),
    };
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let schema_dir = root.join("schema");
    let output_dir = root.join("crates/fireflyhead-schema/src/generated");
    let files = [
        ("messages.rs", messages::generate(&schema_dir)?),
        ("settings.rs", settings::generate(&schema_dir.join("settings.toml"))?),
    ];
    for (name, code) in files {
        write_or_check(&output_dir.join(name), &code, check)?;
    }
    Ok(())
}

/// Writes `code` to `path`; with `check`, compares it with the file instead.
///
/// # Errors
/// Returns an error if the file can't be read or written, or differs from `code`.
fn write_or_check(path: &PathBuf, code: &str, check: bool) -> Result<()> {
    if !check {
        return std::fs::write(path, code).with_context(|| format!("cannot write {path:?}"));
    }
    let committed =
        std::fs::read_to_string(path).with_context(|| format!("cannot read {path:?}"))?;
    if committed != code {
        bail!("{path:?} is out of date; run `cargo run -p fireflyhead-schema-gen`");
    }
    Ok(())
}
