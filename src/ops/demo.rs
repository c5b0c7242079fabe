//! Demo: a whole deployment in one process, under a bounded workload of all ranks.
//!
//! Engines, services, weight store, host list and key-value service are
//! stand-ins; the nodes are real. Every answer is checked against what its
//! request must give, and every order against the services' own count.

pub mod deployment;
pub mod drive;
pub mod fleet;
pub mod nodes;
pub mod report;
pub mod run;
pub mod workload;
