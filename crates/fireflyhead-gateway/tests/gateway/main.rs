//! Tests of the state shared by the tasks of a node.

mod pending;
mod response_memory;
