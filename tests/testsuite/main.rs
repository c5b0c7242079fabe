//! Tests of the programs: the commands of `fireflyhead`, the flags of `fireflyhead-node`, the demo.

mod commands;
mod demo;
mod explain;
