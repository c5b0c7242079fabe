//! Tests of home and witness.
