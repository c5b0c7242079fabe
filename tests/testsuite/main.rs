//! Integration tests: one module per interface or failure.

mod kv;
mod standin;
mod tables;
