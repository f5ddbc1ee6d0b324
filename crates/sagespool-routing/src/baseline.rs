//! Baseline policies for comparison with the default policy.

use fastrand::Rng;

use crate::upstream::UpstreamState;

fn reported(upstream: &UpstreamState) -> u32 {
    upstream.load.report().running + upstream.load.report().waiting
}

/// Cycles through the usable upstreams.
pub(crate) fn round_robin(usable: &[usize], cursor: &mut usize) -> Option<usize> {
    *cursor = cursor.wrapping_add(1);
    usable.get(*cursor % usable.len().max(1)).copied()
}

/// The upstream with the lowest load in its newest report; ties are broken at random.
pub(crate) fn least_reported(
    usable: &[usize],
    upstreams: &[UpstreamState],
    random: &mut Rng,
) -> Option<usize> {
    let least = usable.iter().map(|index| reported(&upstreams[*index])).min()?;
    let tied = usable.iter().copied().filter(|index| reported(&upstreams[*index]) == least);
    let tied: Vec<usize> = tied.collect();
    random.choice(&tied).copied()
}

/// The less loaded of two random upstreams, by their newest reports.
pub(crate) fn two_choices(
    usable: &[usize],
    upstreams: &[UpstreamState],
    random: &mut Rng,
) -> Option<usize> {
    let first = *random.choice(usable)?;
    let second = *random.choice(usable)?;
    let is_less = reported(&upstreams[second]) < reported(&upstreams[first]);
    Some(if is_less { second } else { first })
}
