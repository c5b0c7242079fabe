//! Tests of the dispatcher.

mod faults;
mod model;
mod properties;
