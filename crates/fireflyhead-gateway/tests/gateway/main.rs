//! Tests of the state shared by the tasks of a node.

mod config_state;
mod pending;
mod request_memory;
mod response_memory;
