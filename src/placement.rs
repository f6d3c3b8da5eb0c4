//! Placement: decides from the templates in force which engine loads which model.
//!
//! An engine serves one model in one version, with the adapters that templates request for it.

use std::collections::{BTreeMap, BTreeSet};

use crate::template::{Spec, Template};

/// Maximum number of adapters on one engine.
const MAX_ADAPTERS: usize = 32;

/// An engine that models may be placed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Its name.
    pub name: String,
    /// Models with adapters that it has loaded.
    pub loaded: BTreeSet<Spec>,
}

impl Engine {
    /// Model and version that it serves; `None` when it has nothing loaded.
    fn base(&self) -> Option<Spec> {
        self.loaded.first().map(Spec::base)
    }
}

/// A change of the models that one engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The engine.
    pub engine: String,
    /// Everything that it must have loaded after the change.
    pub to: BTreeSet<Spec>,
    /// Whether it unloads the model that it serves, for which it must be idle.
    pub unloads: bool,
}

/// The demand of all teams: for each model and version its adapters and its weight.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand(BTreeMap<Spec, Wanted>);

#[derive(Clone, Debug, Default, PartialEq)]
struct Wanted {
    specs: BTreeSet<Spec>,
    weight: f64,
}

impl Demand {
    /// The demand of all templates, in which the weight of a team is its share.
    pub fn of<'a>(templates: impl IntoIterator<Item = &'a Template>) -> Self {
        let mut demand = Demand::default();
        for template in templates {
            let policies = template.teams.keys().filter_map(|team| template.policy(team));
            for policy in policies {
                demand.add(policy.spec, policy.share_percent);
            }
        }
        demand
    }

    /// Adds a spec with its weight.
    pub fn add(&mut self, spec: Spec, weight: f64) {
        let wanted = self.0.entry(spec.base()).or_default();
        wanted.weight += weight;
        wanted.specs.insert(spec);
    }

    /// Number of engines for each model and version, by the Sainte-Laguë method. If there are enough engines, each
    /// model gets one before any gets a second.
    pub fn quotas(&self, engines: usize) -> BTreeMap<Spec, usize> {
        let mut quotas: BTreeMap<Spec, usize> =
            self.0.keys().map(|base| (base.clone(), 0)).collect();
        for _ in 0..engines {
            let next = self.0.iter().max_by(|(a, left), (b, right)| {
                let left = quotient(left.weight, quotas[*a]);
                let right = quotient(right.weight, quotas[*b]);
                left.total_cmp(&right).then(b.cmp(a))
            });
            if let Some((base, _)) = next {
                *quotas.entry(base.clone()).or_default() += 1;
            }
        }
        quotas
    }

    /// Everything that an engine serving `base` must load.
    fn to_load(&self, base: &Spec) -> BTreeSet<Spec> {
        let specs = self.0.get(base).map(|wanted| &wanted.specs);
        specs.into_iter().flatten().take(MAX_ADAPTERS).cloned().collect()
    }
}

fn quotient(weight: f64, has: usize) -> f64 {
    match has {
        0 => f64::MAX,
        has => weight / (2 * has + 1) as f64,
    }
}

/// The changes that adapt `engines` to the demand, with as few unloads as possible.
///
/// An unload loses the engine's caches. So an engine keeps its model while the model does not exceed its quota. A model
/// keeps a surplus engine too, unless another model lacks more than one engine or has none. At most `max_unloads`
/// changes unload a model.
pub fn plan(demand: &Demand, engines: &[Engine], max_unloads: usize) -> Vec<Change> {
    let mut missing = demand.quotas(engines.len());
    let mut spare = Vec::new();
    let mut changes = Vec::new();
    for engine in engines {
        let base = engine.base().filter(|base| missing.get(base).is_some_and(|left| *left > 0));
        match base {
            Some(base) => {
                *missing.entry(base.clone()).or_default() -= 1;
                changes.extend(missing_adapters(demand, engine, &base));
            }
            None => spare.push(engine),
        }
    }
    let mut served: BTreeSet<Spec> = engines.iter().filter_map(Engine::base).collect();
    let mut unloads = 0;
    for engine in order_spare(spare, demand) {
        let Some(base) = most_lacking(&missing, &served) else {
            break;
        };
        let serves = engine.base().filter(|base| demand.0.contains_key(base));
        if serves.is_some() && missing[&base] <= 1 && served.contains(&base) {
            // A surplus of one engine here and a lack of one there do not justify the loss of the cache.
            continue;
        }
        if !engine.loaded.is_empty() {
            if unloads == max_unloads {
                continue;
            }
            unloads += 1;
        }
        *missing.entry(base.clone()).or_default() -= 1;
        served.insert(base.clone());
        changes.push(Change {
            engine: engine.name.clone(),
            to: demand.to_load(&base),
            unloads: !engine.loaded.is_empty(),
        });
    }
    changes
}

/// Sorts engines that serve no model in demand first, since an unload loses nothing there.
fn order_spare<'a>(mut spare: Vec<&'a Engine>, demand: &Demand) -> Vec<&'a Engine> {
    spare.sort_by_key(|engine| engine.base().is_some_and(|base| demand.0.contains_key(&base)));
    spare
}

/// The model that lacks the most engines; models that no engine serves come first.
fn most_lacking(missing: &BTreeMap<Spec, usize>, served: &BTreeSet<Spec>) -> Option<Spec> {
    let missing = missing.iter().filter(|(_, left)| **left > 0);
    let most_lacking = missing.max_by_key(|(base, left)| (!served.contains(base), **left));
    most_lacking.map(|(base, _)| base.clone())
}

/// The change that adds adapters to an engine that keeps its model, if it lacks any. It need not be idle for this.
fn missing_adapters(demand: &Demand, engine: &Engine, base: &Spec) -> Option<Change> {
    let wanted = demand.to_load(base);
    if wanted.is_subset(&engine.loaded) {
        return None;
    }
    let others = engine.loaded.difference(&wanted).cloned();
    let to = wanted.iter().cloned().chain(others).take(MAX_ADAPTERS).collect();
    Some(Change { engine: engine.name.clone(), to, unloads: false })
}
