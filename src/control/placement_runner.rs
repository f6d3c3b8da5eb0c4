//! Carries out the placement of models on engines while this member leads.
//!
//! An engine that must unload models "moves": the leader records the move in the store, so that routers
//! send the engine no more work, waits until it is idle, and then orders it to load its new models.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use slog::{info, warn};

use super::rpc_handler::RpcHandler;
use crate::orders::{ORDER_TIMEOUT, Orders};
use crate::placement::{Change, Demand, Engine, plan};
use crate::raft::Time;
use crate::rpc::ControlError;
use crate::store::{Command, Move, Moving, Store};
use crate::targets::{Listed, Serves};
use crate::template::{Spec, Template};

/// Interval between two checks of the placement.
const STEP_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for reading the platform's list of targets or an engine's load.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum of engines that move to other models at the same time.
const MAX_CONCURRENT_MOVES: usize = 2;
/// How long an engine must report no load before it counts as idle; longer than the delay of its reports.
const MIN_IDLE_TIME: Duration = Duration::from_secs(2);

/// Response of an engine to `GET /load`.
#[derive(Deserialize)]
struct Load {
    /// 0 when the engine is idle.
    load: u64,
}

/// Copy of the leader's term and of what its store says about the placement.
struct LeaderState {
    now: Time,
    term: u64,
    leading_since: Time,
    templates: Vec<Template>,
    moving: BTreeMap<String, Moving>,
    drains: BTreeSet<String>,
}

/// Checks the placement at intervals, for ever. Does nothing while another member leads.
pub(super) async fn run(handler: Arc<RpcHandler>) {
    let mut runner = PlacementRunner { handler, orders: None, idle_since: BTreeMap::new() };
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        if runner.step().await.is_err() {
            runner.idle_since.clear();
        }
    }
}

struct PlacementRunner {
    handler: Arc<RpcHandler>,
    /// Orders of the current term; `None` until this member leads.
    orders: Option<Orders>,
    /// Since when each moving engine has reported no load.
    idle_since: BTreeMap<String, Time>,
}

impl PlacementRunner {
    async fn step(&mut self) -> Result<(), ControlError> {
        let state = self.leader_state().await?;
        if self.orders.as_ref().is_none_or(|orders| orders.term() != state.term) {
            let lease = self.handler.timing().lease();
            let rate = self.handler.loads_per_minute();
            self.orders = Some(Orders::new(state.term, state.leading_since, lease, rate));
        }
        let list = self.handler.platform().list(READ_TIMEOUT).await;
        let Ok(list) = list else {
            return Ok(());
        };
        let targets = list.listing.targets;
        for (engine, moving) in &state.moving {
            let listed = targets.iter().find(|target| target.name == *engine);
            self.continue_move(&state, engine, moving, listed).await?;
        }
        self.start_changes(&state, &targets).await
    }

    async fn leader_state(&self) -> Result<LeaderState, ControlError> {
        self.handler
            .query_as_leader(|replica, now| LeaderState {
                now,
                term: replica.node().hard().term,
                leading_since: replica.node().leading_since().unwrap_or(now),
                templates: templates(replica.store()),
                moving: replica.store().moving().clone(),
                drains: replica.store().drains().clone(),
            })
            .await
    }

    /// Sends the order for a move when the engine is idle. Ends the move when the engine has loaded its new
    /// models, is shutting down, or is no longer listed.
    async fn continue_move(
        &mut self,
        state: &LeaderState,
        engine: &str,
        moving: &Moving,
        listed: Option<&Listed>,
    ) -> Result<(), ControlError> {
        let unavailable = listed.is_none_or(|listed| listed.leaving);
        let loaded_already = listed.is_some_and(|listed| loaded(listed) == Some(moving.to.clone()));
        if unavailable || loaded_already {
            self.idle_since.remove(engine);
            let ended = Move { engine: engine.to_owned(), to: None };
            let answer = self.handler.propose_as_leader(Command::Move(ended)).await?;
            info!(self.handler.log(), "move of engine ended"; "event" => "moved", "engine" => engine,
                "gone" => unavailable, "answer" => ?answer);
            return Ok(());
        }
        let Some(listed) = listed else {
            return Ok(());
        };
        if self.is_idle(state, moving, listed).await {
            self.send_order(state, listed, moving.to.clone()).await;
        }
        Ok(())
    }

    /// Whether no router sends the engine work any more and it has been without load for [`MIN_IDLE_TIME`].
    async fn is_idle(&mut self, state: &LeaderState, moving: &Moving, listed: &Listed) -> bool {
        let name = &listed.name;
        let no_new_work = self.handler.in_force(state.now, state.leading_since, moving.since);
        let load = self.handler.platform().get::<Load>(&listed.url, "/load", READ_TIMEOUT).await;
        if !no_new_work || load.map_or(true, |report| report.load > 0) {
            self.idle_since.remove(name);
            return false;
        }
        let since = *self.idle_since.entry(name.clone()).or_insert(state.now);
        state.now >= since + MIN_IDLE_TIME
    }

    /// Starts the changes that the templates require on engines that are not moving.
    async fn start_changes(
        &mut self,
        state: &LeaderState,
        targets: &[Listed],
    ) -> Result<(), ControlError> {
        let usable = targets.iter().filter(|target| {
            let drained =
                state.drains.contains(&target.name) || state.drains.contains(&target.host);
            target.partner == self.handler.partner() && !target.leaving && !drained
        });
        let engines: Vec<Engine> = usable
            .filter_map(|target| {
                let moving = state.moving.get(&target.name).map(|moving| moving.to.clone());
                let loaded = moving.or_else(|| loaded(target))?;
                Some(Engine { name: target.name.clone(), loaded })
            })
            .collect();
        let demand = Demand::of(&state.templates);
        let free = MAX_CONCURRENT_MOVES.saturating_sub(state.moving.len());
        for change in plan(&demand, &engines, free) {
            if !state.moving.contains_key(&change.engine) {
                self.start_change(state, targets, change).await?;
            }
        }
        Ok(())
    }

    /// Starts one change. An engine that must unload models has to become idle first, so its move is recorded;
    /// any other gets its order now.
    async fn start_change(
        &mut self,
        state: &LeaderState,
        targets: &[Listed],
        change: Change,
    ) -> Result<(), ControlError> {
        if change.unloads {
            let (engine, to) = (change.engine, change.to);
            let step = Move { engine: engine.clone(), to: Some(to.clone()) };
            let answer = self.handler.propose_as_leader(Command::Move(step)).await?;
            info!(self.handler.log(), "move of engine recorded"; "event" => "moving", "engine" => engine,
                "to" => ?to, "answer" => ?answer);
            return Ok(());
        }
        if let Some(listed) = targets.iter().find(|target| target.name == change.engine) {
            self.send_order(state, listed, change.to).await;
        }
        Ok(())
    }

    /// Sends an order if one may be sent to this engine now; otherwise a later step tries again.
    async fn send_order(&mut self, state: &LeaderState, listed: &Listed, models: BTreeSet<Spec>) {
        let Some(orders) = &mut self.orders else {
            return;
        };
        let Some(order) = orders.send(state.now, &listed.name, listed.fenced, models) else {
            return;
        };
        // Checks the lease again just before sending: a leader that lost it must not send orders.
        if self.handler.query_as_leader(|_, _| ()).await.is_err() {
            return;
        }
        let sent =
            self.handler.platform().post(&listed.url, "/orders", &order, ORDER_TIMEOUT).await;
        let accepted = sent.is_ok();
        orders.answered(&listed.name);
        if accepted {
            info!(
                self.handler.log(), "engine carried out order";
                "event" => "order", "engine" => &listed.name, "sequence" => order.sequence
            );
        } else {
            warn!(self.handler.log(), "order to engine failed or timed out";
                "event" => "order_failed", "engine" => &listed.name);
        }
    }
}

/// The templates in force.
fn templates(store: &Store) -> Vec<Template> {
    let templates = store.templates().values();
    templates.map(|stored| stored.template.clone()).collect()
}

/// The models that an engine has loaded; `None` for a target that is no engine.
fn loaded(target: &Listed) -> Option<BTreeSet<Spec>> {
    match &target.serves {
        Serves::Models(loaded) => Some(loaded.iter().cloned().collect()),
        Serves::Service(_) => None,
    }
}
