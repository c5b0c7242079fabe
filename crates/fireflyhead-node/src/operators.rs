//! Listener for operators.

pub mod api;
