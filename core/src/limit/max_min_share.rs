/// Max-min fair level of a capacity that several claimants share: claimants that demand less than
/// the level get their demand, and the capacity that they leave is divided equally among the others,
/// each of which gets the level. Infinite if all demands fit in.
///
/// Sorts `demands`, which are in the same unit as `capacity`.
pub fn max_min_level(
    capacity: f64,
    demands: &mut [f64],
) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut remaining = capacity;
    for (index, demand) in demands.iter().enumerate() {
        let share = remaining / (demands.len() - index) as f64;
        if *demand > share {
            return share.max(0.0);
        }
        remaining -= demand;
    }
    f64::INFINITY
}
