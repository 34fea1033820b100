//! The pseudo-random number generator for all random choices of the policy, so that a seed determines its
//! decisions.

const MULTIPLIER: u64 = 6364136223846793005;
const INCREMENT: u64 = 1442695040888963407;

/// Number of values of the 32-bit output.
const OUTPUT_VALUES: f64 = 4294967296.0;

/// PCG-XSH-RR with 64 bits of state and 32 bits of output.
#[derive(Default)]
pub(super) struct Pcg {
    state: u64,
}

impl Pcg {
    pub fn from_seed(seed: u64) -> Self {
        Pcg { state: seed }
    }

    /// The next number, uniform in [0, 1).
    pub fn next_fraction(&mut self) -> f64 {
        let old = self.state;
        self.state = old.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        let bits = ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32);
        f64::from(bits) / OUTPUT_VALUES
    }
}
