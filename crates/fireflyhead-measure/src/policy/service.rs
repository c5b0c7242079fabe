//! Model of an instance of a plain service.
//!
//! Assumptions: a fixed number of requests runs concurrently, each for its own service
//! time; others wait inside the instance in order of arrival. The time to the first byte
//! is the time to the end of the response.

use std::collections::HashMap;
use std::collections::VecDeque;

/// Instance of a plain service.
#[derive(Debug, Default)]
pub struct ServiceModel {
    /// Running requests, with the number of their run.
    pub running: HashMap<usize, u32>,
    /// Waiting requests.
    pub waiting: VecDeque<usize>,
}

impl ServiceModel {
    /// Requests that run concurrently.
    pub const CONCURRENCY: usize = 8;
}
