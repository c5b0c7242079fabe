//! Operations that the commands of `fireflyhead` call; none of them depends on the command line.

pub mod accounts;
pub mod demo;
pub mod explain;
pub mod output;
pub mod store;
