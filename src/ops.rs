//! Operations, apart from the command line.

pub mod demo;
pub mod deployments;
pub mod output;
pub mod store;
