//! Carries out the placement while this member leads: marks engines that must move, waits until
//! they are idle, and sends the orders.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use slog::{info, warn};

use super::calls::Calls;
use crate::orders::{ORDER_TIMEOUT, Orders};
use crate::placement::{Change, Demand, Engine, plan};
use crate::raft::Time;
use crate::rpc::ControlError;
use crate::store::{Command, Move, Moving, Store};
use crate::targets::{Listed, Serves};
use crate::template::{Spec, Template};

/// Between two looks at the placement.
const INTERVAL: Duration = Duration::from_millis(500);
/// Longest time to read the platform's list or an engine's load.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Most engines on their way to another model at once.
const MAX_MOVING: usize = 2;
/// How long an engine must report no load before it is idle; longer than its report lags.
const IDLE_FOR: Duration = Duration::from_secs(2);

/// An engine's load report.
#[derive(Deserialize)]
struct Load {
    load: u64,
}

/// What the leader's store and term say now.
struct View {
    now: Time,
    term: u64,
    leading_since: Time,
    templates: Vec<Template>,
    moving: BTreeMap<String, Moving>,
    drains: BTreeSet<String>,
}

/// Runs for ever; does nothing while another member leads.
pub(super) async fn run(calls: Arc<Calls>) {
    let mut placing = Placing { calls, orders: None, idle_since: BTreeMap::new() };
    loop {
        tokio::time::sleep(INTERVAL).await;
        if placing.step().await.is_err() {
            placing.idle_since.clear();
        }
    }
}

struct Placing {
    calls: Arc<Calls>,
    orders: Option<Orders>,
    /// Since when each moving engine has reported no load.
    idle_since: BTreeMap<String, Time>,
}

impl Placing {
    async fn step(&mut self) -> Result<(), ControlError> {
        let view = self.view().await?;
        if self.orders.as_ref().is_none_or(|orders| orders.term() != view.term) {
            let lease = self.calls.timing().lease();
            let rate = self.calls.loads_per_minute();
            self.orders = Some(Orders::new(view.term, view.leading_since, lease, rate));
        }
        let list = self.calls.platform().list(READ_TIMEOUT).await;
        let Ok(list) = list else {
            return Ok(());
        };
        let targets = list.listing.targets;
        for (engine, moving) in &view.moving {
            let listed = targets.iter().find(|target| target.name == *engine);
            self.carry_on(&view, engine, moving, listed).await?;
        }
        self.start_changes(&view, &targets).await
    }

    async fn view(&self) -> Result<View, ControlError> {
        self.calls
            .lead(|replica, now| View {
                now,
                term: replica.node().hard().term,
                leading_since: replica.node().leading_since().unwrap_or(now),
                templates: templates(replica.store()),
                moving: replica.store().moving().clone(),
                drains: replica.store().drains().clone(),
            })
            .await
    }

    /// Takes the move of one engine a step further, or ends it.
    async fn carry_on(
        &mut self,
        view: &View,
        engine: &str,
        moving: &Moving,
        listed: Option<&Listed>,
    ) -> Result<(), ControlError> {
        let gone = listed.is_none_or(|listed| listed.leaving);
        let done = listed.is_some_and(|listed| loaded(listed) == Some(moving.to.clone()));
        if gone || done {
            self.idle_since.remove(engine);
            let ended = Move { engine: engine.to_owned(), to: None };
            let answer = self.calls.propose_own(Command::Move(ended)).await?;
            info!(self.calls.log(), "engine moved"; "event" => "moved", "engine" => engine,
                "gone" => gone, "answer" => ?answer);
            return Ok(());
        }
        let Some(listed) = listed else {
            return Ok(());
        };
        if self.is_idle(view, moving, listed).await {
            self.order(view, listed, moving.to.clone()).await;
        }
        Ok(())
    }

    /// Whether no router sends the engine work any more and none is left on it.
    async fn is_idle(&mut self, view: &View, moving: &Moving, listed: &Listed) -> bool {
        let name = &listed.name;
        let closed = self.calls.in_force(view.now, view.leading_since, moving.since);
        let load = self.calls.platform().get::<Load>(&listed.url, "/load", READ_TIMEOUT).await;
        if !closed || load.map_or(true, |report| report.load > 0) {
            self.idle_since.remove(name);
            return false;
        }
        let since = *self.idle_since.entry(name.clone()).or_insert(view.now);
        view.now >= since + IDLE_FOR
    }

    /// Orders what the templates ask for of engines that are not moving.
    async fn start_changes(&mut self, view: &View, targets: &[Listed]) -> Result<(), ControlError> {
        let usable = targets.iter().filter(|target| {
            let drained = view.drains.contains(&target.name) || view.drains.contains(&target.host);
            target.partner == self.calls.partner() && !target.leaving && !drained
        });
        let engines: Vec<Engine> = usable
            .filter_map(|target| {
                let moving = view.moving.get(&target.name).map(|moving| moving.to.clone());
                let loaded = moving.or_else(|| loaded(target))?;
                Some(Engine { name: target.name.clone(), loaded })
            })
            .collect();
        let demand = Demand::of(&view.templates);
        let free = MAX_MOVING.saturating_sub(view.moving.len());
        for change in plan(&demand, &engines, free) {
            if !view.moving.contains_key(&change.engine) {
                self.start(view, targets, change).await?;
            }
        }
        Ok(())
    }

    async fn start(
        &mut self,
        view: &View,
        targets: &[Listed],
        change: Change,
    ) -> Result<(), ControlError> {
        if change.unloads {
            let (engine, to) = (change.engine, change.to);
            let step = Move { engine: engine.clone(), to: Some(to.clone()) };
            let answer = self.calls.propose_own(Command::Move(step)).await?;
            info!(self.calls.log(), "engine is to move"; "event" => "moving", "engine" => engine,
                "to" => ?to, "answer" => ?answer);
            return Ok(());
        }
        if let Some(listed) = targets.iter().find(|target| target.name == change.engine) {
            self.order(view, listed, change.to).await;
        }
        Ok(())
    }

    /// Sends an order, if one may be sent to this engine now.
    async fn order(&mut self, view: &View, listed: &Listed, models: BTreeSet<Spec>) {
        let Some(orders) = &mut self.orders else {
            return;
        };
        let Some(order) = orders.send(view.now, &listed.name, listed.fenced, models) else {
            return;
        };
        // The lease is checked once more just before sending: a leader that lost it gives no order.
        if self.calls.lead(|_, _| ()).await.is_err() {
            return;
        }
        let sent = self.calls.platform().post(&listed.url, "/orders", &order, ORDER_TIMEOUT).await;
        let accepted = sent.is_ok();
        orders.answered(&listed.name);
        if accepted {
            info!(
                self.calls.log(), "order carried out";
                "event" => "order", "engine" => &listed.name, "sequence" => order.sequence
            );
        } else {
            warn!(self.calls.log(), "order failed"; "event" => "order_failed", "engine" => &listed.name);
        }
    }
}

fn templates(store: &Store) -> Vec<Template> {
    let templates = store.templates().values();
    templates.map(|stored| stored.template.clone()).collect()
}

fn loaded(target: &Listed) -> Option<BTreeSet<Spec>> {
    match &target.serves {
        Serves::Models(loaded) => Some(loaded.iter().cloned().collect()),
        Serves::Service(_) => None,
    }
}
