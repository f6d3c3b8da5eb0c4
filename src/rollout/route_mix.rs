//! How what the new version may get is divided among the routes of a service.
//!
//! The bound is on its part of all requests of the service. The same part of each route would show least of the rarest
//! routes, so half of it goes by each route's requests, and half is the same number of requests from each route. The
//! sum over all routes stays the part of all.

use serde::{Deserialize, Serialize};

use super::Stage;
use super::tally::RouteKey;
use crate::store::Revision;

/// Part that is the same number of requests from each route; the rest is the same part of each.
const EVEN: f64 = 0.5;
/// Most of a route's requests that the new version gets before it gets that part of all: the old one needs some to be
/// compared with.
const MOST_OF_ROUTE: f64 = 0.5;

/// What part of all requests of a service one route has.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteShare {
    /// The route.
    pub route: RouteKey,
    /// Its part, above 0 and up to 1; rather too much than too little.
    pub share: f32,
}

/// What part of all requests of a service each route has, as far as was seen.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteMix(pub Vec<RouteShare>);

/// The mix of the service that a roll-out is of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutMix {
    /// Revision of the roll-out's order.
    pub rollout: Revision,
    /// The mix.
    pub mix: RouteMix,
}

impl RouteMix {
    /// The stage as it is on a route: a part of all requests becomes the route's own part.
    pub fn stage_on_route(&self, route: RouteKey, stage: Stage) -> Stage {
        match stage {
            Stage::Part(_) => {
                Stage::Part((self.fraction_of_route(route, stage.share()) * 1_000.0) as u16)
            }
            other => other,
        }
    }

    /// Part of a route's requests that the new version gets so that it gets `part` of all at most. A route that was not
    /// seen before gets that part itself.
    pub fn fraction_of_route(&self, route: RouteKey, part: f64) -> f64 {
        let seen = self.0.iter().find(|seen| seen.route == route);
        let Some(RouteShare { share, .. }) = seen.filter(|_| part < MOST_OF_ROUTE) else {
            return part;
        };
        let even = part / (self.0.len() as f64 * f64::from(*share));
        ((1.0 - EVEN) * part + EVEN * even).min(MOST_OF_ROUTE)
    }
}
