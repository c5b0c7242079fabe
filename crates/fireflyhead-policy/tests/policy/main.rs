//! Integration tests of the policy crate, run in virtual time: one module for each module of the
//! crate (`custody` for `ownership`), and `loads` and `replay` for load patterns.

mod admission;
mod budget;
mod config;
mod custody;
mod fleet;
mod health;
mod limits;
mod loads;
mod messages;
mod peers;
mod readers;
mod replay;
mod residency;
mod setup;
mod table;
