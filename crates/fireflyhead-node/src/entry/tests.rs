//! Tests of the entry.
