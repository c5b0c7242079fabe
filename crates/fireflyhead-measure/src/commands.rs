//! Commands of the tool, one module each with `cli()` and `exec()`.

pub mod policy;
