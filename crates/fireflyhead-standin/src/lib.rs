//! Stand-ins for the platform and the upstreams, with switchable faults.
//!
//! Each stand-in is a small HTTP server on a loopback port. Its `start` function
//! returns a handle with the address, counters and fault switches; the server
//! stops when the last clone of the handle is dropped. The same switches are
//! reached by `POST /faults` with a JSON object that names the fields to change,
//! `GET /faults` shows them and `GET /counters` shows the counters.

pub mod engine;
pub mod faults;
pub mod hosts;
pub mod kv;
pub mod net;
pub mod service;
pub mod weights;
