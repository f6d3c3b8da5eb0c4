//! Placement: which engine has which model loaded, decided from the templates in force.
//!
//! An engine serves one model in one version, with all the adapters that templates ask for on it.

use std::collections::{BTreeMap, BTreeSet};

use crate::template::{Spec, Template};

/// Most adapters on one engine.
const MAX_ADAPTERS: usize = 32;

/// An engine that may be given work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Its name.
    pub name: String,
    /// What it has loaded.
    pub loaded: BTreeSet<Spec>,
}

impl Engine {
    /// Model and version that it serves; `None` when it has nothing loaded.
    fn base(&self) -> Option<Spec> {
        self.loaded.first().map(Spec::base)
    }
}

/// A change of what one engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The engine.
    pub engine: String,
    /// All that it is to have loaded.
    pub to: BTreeSet<Spec>,
    /// Whether it unloads what it serves, so that it must be idle first.
    pub unloads: bool,
}

/// What teams ask for: each model and version with its adapters and its weight.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand(BTreeMap<Spec, Wanted>);

#[derive(Clone, Debug, Default, PartialEq)]
struct Wanted {
    specs: BTreeSet<Spec>,
    weight: f64,
}

impl Demand {
    /// The demand of all templates; each team weighs as much as its share.
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

    /// Number of engines for each model and version, by largest quotient (Sainte-Laguë), so that
    /// each gets one before any gets a second where there are enough.
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

    /// All that an engine of `base` is to have loaded.
    fn load(&self, base: &Spec) -> BTreeSet<Spec> {
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

/// The changes that bring `engines` to the demand, with as few unloads as there can be.
///
/// An engine that serves a model nobody has too many of stays, and so does one too many, unless
/// some model lacks more than one engine or has none: loads cost caches. At most `max_unloads`
/// changes unload a model.
pub fn plan(demand: &Demand, engines: &[Engine], max_unloads: usize) -> Vec<Change> {
    let mut lacking = demand.quotas(engines.len());
    let mut free = Vec::new();
    let mut changes = Vec::new();
    for engine in engines {
        let base = engine.base().filter(|base| lacking.get(base).is_some_and(|left| *left > 0));
        match base {
            Some(base) => {
                *lacking.entry(base.clone()).or_default() -= 1;
                changes.extend(missing_adapters(demand, engine, &base));
            }
            None => free.push(engine),
        }
    }
    let mut served: BTreeSet<Spec> = engines.iter().filter_map(Engine::base).collect();
    let mut unloads = 0;
    for engine in order_free(free, demand) {
        let Some(base) = neediest(&lacking, &served) else {
            break;
        };
        let serves = engine.base().filter(|base| demand.0.contains_key(base));
        if serves.is_some() && lacking[&base] <= 1 && served.contains(&base) {
            // One engine too many here and one too few there: not worth the cache.
            continue;
        }
        if !engine.loaded.is_empty() {
            if unloads == max_unloads {
                continue;
            }
            unloads += 1;
        }
        *lacking.entry(base.clone()).or_default() -= 1;
        served.insert(base.clone());
        changes.push(Change {
            engine: engine.name.clone(),
            to: demand.load(&base),
            unloads: !engine.loaded.is_empty(),
        });
    }
    changes
}

/// Engines that serve nothing wanted come first, since they lose nothing.
fn order_free<'a>(mut free: Vec<&'a Engine>, demand: &Demand) -> Vec<&'a Engine> {
    free.sort_by_key(|engine| engine.base().is_some_and(|base| demand.0.contains_key(&base)));
    free
}

/// The model that lacks most engines; one that no engine serves comes first.
fn neediest(lacking: &BTreeMap<Spec, usize>, served: &BTreeSet<Spec>) -> Option<Spec> {
    let lacking = lacking.iter().filter(|(_, left)| **left > 0);
    let neediest = lacking.max_by_key(|(base, left)| (!served.contains(base), **left));
    neediest.map(|(base, _)| base.clone())
}

/// Adapters can be added to an engine while it works.
fn missing_adapters(demand: &Demand, engine: &Engine, base: &Spec) -> Option<Change> {
    let wanted = demand.load(base);
    if wanted.is_subset(&engine.loaded) {
        return None;
    }
    let kept = engine.loaded.difference(&wanted).cloned();
    let to = wanted.iter().cloned().chain(kept).take(MAX_ADAPTERS).collect();
    Some(Change { engine: engine.name.clone(), to, unloads: false })
}
