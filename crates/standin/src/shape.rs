//! Shapes of deployments.

use name::Service;
use settings::Speed;

/// A failure domain of a shape.
pub type Domain = settings::Domain;

/// The shape of a deployment.
#[common::plain]
pub struct Shape {
    /// The failure domains.
    pub domains: Vec<Domain>,
    /// The speed and capacity of the simulated systems.
    pub speed: Speed,
}

/// Returns a shape with the same contents in each failure domain.
///
/// # Panics
///
/// Panics if a name is not valid.
fn even(domains: &[&str], fabrics: u32, engines_per_fabric: u32, services: &[&str]) -> Shape {
    let service = |name: &&str| Service::try_from(*name).expect("a valid name");
    let domain = |name: &&str| Domain {
        name: name::Domain::try_from(*name).expect("a valid name"),
        fabrics,
        engines_per_fabric,
        services: services.iter().map(service).collect(),
    };
    Shape {
        domains: domains.iter().map(domain).collect(),
        speed: Speed::default(),
    }
}

impl Shape {
    /// Returns three failure domains of one fabric with four engines each.
    ///
    /// Weights are small, so that replicas form within a second.
    pub fn demo() -> Self {
        let mut shape = even(&["teifi", "tywi", "dyfi"], 1, 4, &["ledger"]);
        shape.speed.model_mib = 512;
        shape.speed.first_token_ms = 30;
        shape.speed.token_ms = 5;
        shape
    }

    /// Returns the deployment Hafod Tegid: 48 engines and three ledgers.
    pub fn hafod_tegid() -> Self {
        even(&["teifi", "tywi", "dyfi"], 2, 8, &["ledger"])
    }

    /// Returns the deployment Leña: 48 engines and three booking services.
    pub fn lena() -> Self {
        even(
            &["concepcion", "los-angeles", "chillan"],
            2,
            8,
            &["booking"],
        )
    }

    /// Returns the shape in the settings.
    pub fn from_settings(settings: &settings::Standin) -> Self {
        Self {
            domains: settings.domains.clone(),
            speed: settings.speed.clone(),
        }
    }
}
