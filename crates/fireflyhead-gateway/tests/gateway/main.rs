//! Tests of state that tasks of a node share.

mod pending;
