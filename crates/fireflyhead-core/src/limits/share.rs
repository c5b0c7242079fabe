//! Division of one limit among nodes.

/// Divides `limit` among nodes by their demand, max-min fairly; what nobody
/// demands is divided evenly. Unknown demand counts as an even share.
pub(super) fn divide(limit: f64, demands: impl Iterator<Item = Option<f64>>) -> Vec<f64> {
    let demands: Vec<Option<f64>> = demands.collect();
    let nodes = demands.len().max(1) as f64;
    let demands: Vec<f64> = demands.iter().map(|d| d.unwrap_or(limit / nodes)).collect();
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut shares = vec![0.0; demands.len()];
    let mut left = limit;
    for (served, &i) in order.iter().enumerate() {
        let even = left / (demands.len() - served) as f64;
        shares[i] = demands[i].min(even);
        left -= shares[i];
    }
    shares.iter().map(|share| share + left / nodes).collect()
}

/// Whole part of the share of one node, such that the parts of all nodes add
/// up to at most the sum of the shares. `salt` decides which nodes get the
/// remainders, so that they do not all go to the same node.
pub(super) fn whole_part(shares: &[f64], place: usize, salt: u64) -> u32 {
    let total: f64 = shares.iter().sum();
    let start = (salt % shares.len().max(1) as u64) as usize;
    let rotated = |i: usize| shares[(start + i) % shares.len()];
    let position = (place + shares.len() - start) % shares.len();
    let before: f64 = (0..position).map(rotated).sum();
    // The tolerance keeps sums such as 0.1 + 0.2 from losing a whole unit.
    let floor = |sum: f64| (sum + 1e-9).floor().min((total + 1e-9).floor());
    (floor(before + rotated(position)) - floor(before)).max(0.0) as u32
}
