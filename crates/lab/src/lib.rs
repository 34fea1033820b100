//! The laboratory: what a query router meets, on loopback, in the project's own words. `model` is a data node without
//! sockets: a queue, cores, service times and faults, fed events and times. `fleet` puts many of them on sockets,
//! `agent` is discovery's, `load` sends queries on a schedule or in a loop and checks every answer, `relay` is the bare
//! limit of the machine, `inventory` knows what every key is worth and checks answers by it, `shuffle` changes layouts
//! under load, `tiers` sets two levels against lone routers, `program` runs and watches what is measured, `trial`
//! compares, `wires` makes every fault between processes, `scale` measures one router by the size of its site,
//! `capacity` makes the capacity page from results. What is drawn is seeded; load goes to loopback only and ends by
//! itself; a stand-in never decides anything for the router.
pub mod agent;
pub mod capacity;
pub mod fleet;
pub mod inventory;
pub mod load;
pub mod model;
pub mod program;
pub mod relay;
pub mod scale;
pub mod shuffle;
pub mod soak;
pub mod tiers;
pub mod trial;
pub mod wires;

/// Seconds since the laboratory's clock began; one for all threads of a trial.
#[derive(Clone, Copy)]
pub struct Clock(std::time::Instant);

impl Default for Clock {
    fn default() -> Self {
        Clock(std::time::Instant::now())
    }
}

impl Clock {
    pub fn now(&self) -> f64 {
        self.0.elapsed().as_secs_f64()
    }

    pub fn at(&self, time: f64) -> tokio::time::Instant {
        (self.0 + std::time::Duration::from_secs_f64(time.max(0.0))).into()
    }
}

/// A number from 0 to below 1.
pub fn draw(chance: &mut rand_pcg::Pcg32) -> f64 {
    use rand_pcg::rand_core::Rng;
    f64::from(chance.next_u32()) / 4294967296.0
}

/// The value that a data node gives for a shard of a query, which clients know as well.
pub fn value(text: &str, shard: u32) -> String {
    let mut sum = crc32fast::Hasher::new();
    sum.update(text.as_bytes());
    sum.update(&shard.to_be_bytes());
    format!("{:08x}", sum.finalize())
}
