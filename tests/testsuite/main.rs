//! Integration tests: one module per interface or failure.

mod kv;
mod tables;
