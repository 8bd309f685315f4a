//! Division of a limit by what members want.

/// One participant's claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Number that it could use.
    pub want: u32,
    /// Whether it also accepts a part of the unclaimed rest.
    pub takes_rest: bool,
}

/// Divides `total` by `claims`: no participant gets more than it wants while another gets less, and
/// those that get less than they want get equal parts. The unclaimed rest is spread evenly over the
/// participants that accept it.
#[must_use]
pub fn divide(total: u32, claims: &[Claim]) -> Vec<u32> {
    let mut parts = divide_by_wants(total, claims);
    let given: u32 = parts.iter().sum();
    spread_rest(total - given, claims, &mut parts);
    parts
}

fn divide_by_wants(total: u32, claims: &[Claim]) -> Vec<u32> {
    let mut parts = vec![0; claims.len()];
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by_key(|&i| claims[i].want);
    let mut left = total;
    for (rank, &i) in order.iter().enumerate() {
        let others = u32::try_from(claims.len() - rank).unwrap_or(u32::MAX);
        parts[i] = claims[i].want.min(left / others);
        left -= parts[i];
    }
    // Rounding down leaves a remainder of less than one each, which goes to the first claims that
    // are not satisfied.
    for (part, claim) in parts.iter_mut().zip(claims) {
        if left > 0 && *part < claim.want {
            *part += 1;
            left -= 1;
        }
    }
    parts
}

fn spread_rest(rest: u32, claims: &[Claim], parts: &mut [u32]) {
    let takers = claims
        .iter()
        .zip(parts)
        .filter(|(claim, _)| claim.takes_rest);
    let takers: Vec<_> = takers.map(|(_, part)| part).collect();
    let Ok(count @ 1..) = u32::try_from(takers.len()) else {
        return;
    };
    let more = (rest % count) as usize;
    for (i, part) in takers.into_iter().enumerate() {
        *part += rest / count + u32::from(i < more);
    }
}
