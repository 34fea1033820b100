//! Settings from control servers, at the start and while the router serves.
use super::settings::{Live, Outcome};
use super::start::{self, Read, Station};
use crate::control::persisted_version::{PersistedVersion, StartupError};
use crate::control::{ApplySettings, Subscription};
use alderway_control_plane::messages::ApplyOutcome;
use alderway_telemetry::clock::Clock;
use serde_json::Value;
use std::path::Path;

/// What a subscribed router starts with: the configuration file, with the persisted version in the place of its settings
/// where there is one that this program accepts.
pub fn read_station(
    mut subscription: Subscription,
    config: &Path,
    clock: Clock,
    peers: Option<u64>,
) -> Read<Station> {
    match read_persisted(&subscription, config, clock, peers) {
        Ok(Some((persisted, mut station))) => {
            subscription.persisted = Some(persisted);
            station.control = Some(subscription);
            return Ok(station);
        }
        Ok(None) => {}
        Err(error) => subscription.startup_error = Some(error),
    }
    let mut station = start::read_among(config, clock, peers)?;
    station.control = Some(subscription);
    Ok(station)
}

/// The persisted version and a start with it; none where nothing is persisted.
fn read_persisted(
    subscription: &Subscription,
    config: &Path,
    clock: Clock,
    peers: Option<u64>,
) -> Result<Option<(PersistedVersion, Station)>, StartupError> {
    let Some(path) = &subscription.persist_path else { return Ok(None) };
    let Some(persisted) = PersistedVersion::load(path)? else { return Ok(None) };
    let settings = serde_json::from_str::<Value>(&persisted.version.text).map_err(|error| error.to_string());
    let station = settings.and_then(|settings| start::read_with(config, clock, peers, Some(settings)));
    let number = persisted.version.number;
    let station = station.map_err(|reason| StartupError::InvalidSettings { number, reason })?;
    Ok(Some((persisted, station)))
}

/// Applies versions to a running router: one that can change while it serves is in force once all cores have it.
pub fn apply_to_running(live: Live) -> ApplySettings {
    Box::new(move |settings, number| {
        let live = live.clone();
        Box::pin(async move {
            match live.offer(settings, Some(number)).await {
                Outcome::InForce | Outcome::Unchanged => ApplyOutcome::Applied,
                Outcome::Refused(reason) => ApplyOutcome::Rejected(reason),
                Outcome::Waits(keys) => ApplyOutcome::PendingRestart(keys),
            }
        })
    })
}
