//! Integration tests: one module per interface or failure.

mod daemon;
mod demo;
mod kv;
mod standin;
mod tables;
mod upstream;
