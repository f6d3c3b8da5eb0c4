//! Divides the requests of the new version among the routes of a service.
//!
//! A stage limits the new version's fraction of all requests of the service. The same fraction of each route would give
//! the fewest outcomes on the rarest routes. So one half is divided in proportion to each route's requests, and the
//! other half as the same number of requests from each route. The sum over all routes stays within the stage's
//! fraction.

use serde::{Deserialize, Serialize};

use super::Stage;
use super::tally::RouteKey;
use crate::store::Revision;

/// Fraction that is divided as the same number of requests from each route; the rest is the same fraction of each
/// route.
const EVEN_FRACTION: f64 = 0.5;
/// Maximum fraction of a route's requests for the new version until a stage allows it that fraction of all requests:
/// the old version needs some requests on each route for the comparison.
const MAX_ROUTE_FRACTION: f64 = 0.5;

/// One route's share of all requests of a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteShare {
    /// The route.
    pub route: RouteKey,
    /// Its share, above 0 and up to 1; estimated too high rather than too low.
    pub share: f32,
}

/// The share of all requests of a service that each observed route has.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteMix(pub Vec<RouteShare>);

/// The route mix of the service of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutMix {
    /// Revision of the roll-out's order.
    pub rollout: Revision,
    /// The mix.
    pub mix: RouteMix,
}

impl RouteMix {
    /// The stage as it applies to a route: the new version's fraction of all requests becomes its fraction of the
    /// route's requests.
    pub fn stage_on_route(&self, route: RouteKey, stage: Stage) -> Stage {
        match stage {
            Stage::Part(_) => {
                Stage::Part((self.fraction_of_route(route, stage.share()) * 1_000.0) as u16)
            }
            other => other,
        }
    }

    /// Fraction of a route's requests for the new version, such that it gets at most `fraction` of all requests. On a
    /// route that was not observed before it is `fraction` itself.
    pub fn fraction_of_route(&self, route: RouteKey, fraction: f64) -> f64 {
        let observed = self.0.iter().find(|observed| observed.route == route);
        let Some(RouteShare { share, .. }) = observed.filter(|_| fraction < MAX_ROUTE_FRACTION)
        else {
            return fraction;
        };
        let even = fraction / (self.0.len() as f64 * f64::from(*share));
        ((1.0 - EVEN_FRACTION) * fraction + EVEN_FRACTION * even).min(MAX_ROUTE_FRACTION)
    }
}
