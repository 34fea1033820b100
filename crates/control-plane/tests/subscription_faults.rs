//! Random sequences of faults and changes.
mod common;

use common::subscription_network::{CONVERGENCE_LIMIT_S, SubscriptionNetwork, random_settings, settings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

#[derive(Clone, Debug)]
enum Fault {
    Commit {
        long: bool,
    },
    Cut(usize, usize),
    Heal,
    Reset(usize),
    StopServer(usize),
    /// Starts with so many versions less than were committed.
    StartServer(usize, u64),
    Lag(usize),
    CrashRouter(usize),
    Reject(usize),
    Wait(f64),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => any::<bool>().prop_map(|long| Fault::Commit { long }),
        2 => (0..4usize, 0..3usize).prop_map(|(r, m)| Fault::Cut(r, m)),
        1 => Just(Fault::Heal),
        2 => (0..4usize).prop_map(Fault::Reset),
        1 => (0..3usize).prop_map(Fault::StopServer),
        2 => (0..3usize, 0..4u64).prop_map(|(m, missing)| Fault::StartServer(m, missing)),
        1 => (0..3usize).prop_map(Fault::Lag),
        2 => (0..4usize).prop_map(Fault::CrashRouter),
        1 => (0..4usize).prop_map(Fault::Reject),
        6 => (0.02..3.0f64).prop_map(Fault::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(23), ..ProptestConfig::with_cases(96) })]

    /// Whatever fails in whatever order: no router goes back, settings are what was committed, bytes in any second stay
    /// within their limits, stated staleness holds, and after the faults all are at the newest version in time. All but
    /// the last are asserted with each step.
    #[test]
    fn no_router_goes_back_under_faults_and_all_converge_after_healing(
        faults in prop::collection::vec(fault(), 1..60), seed in any::<u64>(),
    ) {
        let mut network = SubscriptionNetwork::new(4, 3, seed);
        for fault in faults {
            match fault {
                Fault::Commit { long } => {
                    let number = network.latest() + 1;
                    let settings = if long { random_settings(number, 4_000) } else { settings(number, 300) };
                    network.commit(settings);
                }
                Fault::Cut(router, server) => drop(network.cut_links.insert((router, server))),
                Fault::Heal => network.cut_links.clear(),
                Fault::Reset(router) => {
                    if let Some(connection) = network.routers[router].connection {
                        network.close(connection);
                    }
                }
                Fault::StopServer(server) => network.stop_server(server),
                Fault::StartServer(server, missing) => {
                    network.servers[server].follows = missing == 0;
                    network.servers[server].confirmed_at = f64::NEG_INFINITY;
                    let up_to = network.latest().saturating_sub(missing);
                    network.restart_server(server, up_to);
                }
                Fault::Lag(server) => network.servers[server].follows = false,
                Fault::CrashRouter(router) => network.crash_router(router),
                Fault::Reject(router) => {
                    let next = network.latest() + 1;
                    network.routers[router].rejects.insert(next);
                }
                Fault::Wait(duration_s) => network.run_for(duration_s),
            }
            network.assert_rate_limits();
        }
        network.cut_links.clear();
        for n in 0..3 {
            if !network.servers[n].is_running {
                let newest = network.latest();
                network.restart_server(n, newest);
            }
            network.follow(n);
        }
        network.routers.iter_mut().for_each(|router| router.rejects.clear());
        network.commit(settings(network.latest() + 1, 300));
        network.run_until(CONVERGENCE_LIMIT_S, SubscriptionNetwork::all_current);
        network.assert_rate_limits();
    }
}
