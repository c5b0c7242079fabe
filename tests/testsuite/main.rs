//! Integration tests: one module per interface or failure.

mod callers;
mod cluster;
mod daemon;
mod demo;
mod edits;
mod faults;
mod kv;
mod orders;
mod standin;
mod tables;
mod upstream;
