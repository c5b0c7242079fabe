//! Operations behind the commands, one module each.

pub mod call;
pub mod client;
pub mod demo;
pub mod output;
pub mod table;
