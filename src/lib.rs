//! Implementation of the commands of the `fireflyhead` program, separate from argument parsing.

pub mod ops;
