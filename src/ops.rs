//! Operations behind the commands, one module each.

pub mod call;
pub mod client;
pub mod output;
pub mod table;
