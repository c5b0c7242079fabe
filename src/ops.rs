//! Operations, apart from the command line.

pub mod demo;
pub mod output;
pub mod store;
