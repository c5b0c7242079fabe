//! Tests of the decisions, in virtual time: one module per decision or load pattern.

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
