//! Load and experiment tool of the serving layer.

pub mod commands;
pub mod policy;
