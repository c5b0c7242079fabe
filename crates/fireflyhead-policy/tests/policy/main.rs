//! Integration tests of the policy crate, run in virtual time.
//!
//! A module has the name of the module of the crate that it tests, except `custody`, which tests
//! `ownership`, and `loads` and `replay`, which test `dispatch` under load patterns. `setup` holds
//! shared fixtures.

mod admission;
mod away;
mod budget;
mod config;
mod custody;
mod engine_memory;
mod extremes;
mod fleet;
mod health;
mod limits;
mod loads;
mod messages;
mod pace;
mod peers;
mod quarantine;
mod readers;
mod replay;
mod residency;
mod response;
mod service_times;
mod serving;
mod setup;
mod table;
mod uneven;
