//! Sends requests to brittle targets by way of the few gateways that dispatch to each of them.
//!
//! A brittle target falls over when it must reject many requests, and may at any time have less room than before. Many
//! gateways that each know only their own requests can't stay within that room. So the gateways agree by a hash which
//! ones dispatch to a target; these know all requests in flight there, and refuse what it has no room for.

pub mod admission;
pub mod asks;
pub mod ranking;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use self::admission::{Admitted, Part};
use self::ranking::Role;
use super::Gateway;
use super::attempt::Answer;
use super::choice::Choice;
use super::exchange::{RequestState, after_failure, attempt_at};
use super::mechanism::Mechanism;
use super::refusal::Refusal;
use super::target::Target;
use super::via_peer::client::{DispatchOutcome, offer_for};
use crate::clock::Instant;
use crate::group::brittle::{BrittleService, ServiceKey};
use crate::sync::lock;

/// Maximum number of targets whose dispatchers are asked for one attempt.
const MAX_TARGETS_ASKED: usize = 8;
/// Longest time that a dispatcher holds a request until it is known whether its target takes those before it.
const MAX_WAIT: Duration = Duration::from_millis(60);

/// How a request is sent to targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sending {
    /// From this gateway to any target.
    Direct,
    /// By way of the gateways that dispatch to the targets.
    Dispatched,
    /// From this gateway to the target with this key, on behalf of the gateway that chose it.
    Dispatching(u64),
}

/// What became of a request that was to be dispatched.
pub(super) enum Dispatched {
    /// A target answered.
    Answered(Box<Answer>),
    /// The attempt failed, and another one may be made.
    Failed,
    /// No gateway is known that dispatches.
    NoDispatcher,
}

/// Who dispatches to a target.
enum Dispatcher {
    ThisGateway,
    Peer(SocketAddr),
}

/// Sends the request by way of a gateway that dispatches to a target with room for it.
///
/// # Errors
/// [`Refusal::Full`] if no target asked has room, or another refusal that ends the request.
pub(super) async fn dispatch(
    gateway: &Arc<Gateway>,
    state: &mut RequestState,
    withstands: u32,
) -> Result<Dispatched, Refusal> {
    state.sending = Sending::Dispatched;
    let result = ask_dispatchers(gateway, state, withstands).await;
    state.sending = Sending::Direct;
    result
}

async fn ask_dispatchers(
    gateway: &Arc<Gateway>,
    state: &mut RequestState,
    withstands: u32,
) -> Result<Dispatched, Refusal> {
    state.full.clear();
    lock(&gateway.asks).note_request();
    for asked in 0..MAX_TARGETS_ASKED {
        if asked > 0 && !lock(&gateway.asks).try_ask_again() {
            return Err(Refusal::Full);
        }
        if Instant::now() >= state.outgoing.deadline {
            return Err(Refusal::TooLate);
        }
        let Some(choice) = gateway.choose(state) else {
            let all_full = !state.full.is_empty();
            return Err(if all_full { Refusal::Full } else { gateway.why_no_choice(state) });
        };
        let Some(dispatcher) = gateway.dispatcher_of(&choice.target, withstands) else {
            return Ok(Dispatched::NoDispatcher);
        };
        // Counted before the wait for room, during which others are looked at.
        gateway.note_cold_request(&choice.target, state.sending);
        let outcome = match dispatcher {
            Dispatcher::ThisGateway => send_here(gateway, state, &choice, withstands).await,
            Dispatcher::Peer(peer) => offer_for(gateway, state, peer, &choice.target).await,
        };
        match outcome {
            DispatchOutcome::Answered(answer) => return Ok(Dispatched::Answered(answer)),
            DispatchOutcome::Failed(failed) => {
                after_failure(state, failed)?;
                return Ok(Dispatched::Failed);
            }
            DispatchOutcome::NoRoom => state.full.push(choice.target.key),
            DispatchOutcome::NoDispatcher => {}
        }
    }
    Err(Refusal::Full)
}

async fn send_here(
    gateway: &Arc<Gateway>,
    state: &mut RequestState,
    choice: &Choice,
    withstands: u32,
) -> DispatchOutcome {
    if !gateway.admit(&choice.target, withstands).await {
        return DispatchOutcome::NoRoom;
    }
    match attempt_at(gateway, state, choice).await {
        Ok(answer) => DispatchOutcome::Answered(Box::new(answer)),
        Err(failed) => DispatchOutcome::Failed(failed),
    }
}

/// Number of gateways that dispatch to a target; `withstands`: rejections in a second that it is known to withstand.
pub(super) fn dispatchers_of(target: &Target, withstands: Option<u32>) -> usize {
    ranking::dispatchers_of(target.announcement.slots, withstands.unwrap_or(0))
}

impl Gateway {
    /// Rejections in a second that targets of the service withstand, if they are brittle and requests to them are
    /// dispatched.
    pub(super) fn dispatches(&self, state: &RequestState) -> Option<u32> {
        if state.is_from_peer() || !self.uses(Mechanism::ViaPeer) {
            return None;
        }
        let withstands = self.withstands(&state.service)?;
        (!lock(&self.dispatchers).is_empty()).then_some(withstands)
    }

    /// Rejections in a second that targets of the service withstand; `None` if they are not brittle.
    pub(super) fn withstands(&self, service: &str) -> Option<u32> {
        let known = lock(&self.brittle_services);
        if known.is_empty() {
            return None;
        }
        known.withstands(self.now(), ServiceKey::of(service))
    }

    /// Applies an update of a member: the services that have brittle targets by its word, if they changed.
    pub(super) fn receive_brittle_services(&self, services: Option<&[BrittleService]>) {
        lock(&self.brittle_services).note_update(self.now(), services);
    }

    /// A gateway that dispatches to the target; `None` if none of them can be reached.
    fn dispatcher_of(&self, target: &Target, withstands: u32) -> Option<Dispatcher> {
        let service = &target.announcement.service;
        let count = ranking::dispatchers_of(target.announcement.slots, withstands);
        let ranked = ranking::rank(&lock(&self.dispatchers), target.key);
        let now = self.now();
        let peers = lock(&self.peer_selection);
        let cut_off = self.cut_off(service).is_some();
        let usable = |addr: &SocketAddr| match Some(*addr) == self.blob_addr {
            true => !cut_off,
            false => peers.usable(now, *addr, service),
        };
        let usable: Vec<SocketAddr> = ranked.into_iter().filter(usable).take(count).collect();
        let addr = *usable.get(rand::random_range(0..usable.len().max(1)))?;
        let here = Some(addr) == self.blob_addr;
        Some(if here { Dispatcher::ThisGateway } else { Dispatcher::Peer(addr) })
    }

    /// This gateway's part of a brittle target to which it dispatches.
    pub(super) fn dispatched_part(&self, target: &Target, withstands: u32) -> Part {
        let slots = target.announcement.slots;
        Part::of(slots, withstands, ranking::dispatchers_of(slots, withstands))
    }

    /// In what capacity this gateway dispatches to the target.
    pub(super) fn role(&self, target: &Target, withstands: u32) -> Role {
        let count = ranking::dispatchers_of(target.announcement.slots, withstands);
        let ranked = ranking::rank(&lock(&self.dispatchers), target.key);
        let appointed = ranked.iter().take(count).any(|addr| Some(*addr) == self.blob_addr);
        if appointed { Role::Appointed } else { Role::Substitute }
    }

    /// Whether a brittle target has room for one more request, which then counts as sent. Waits a moment if it is not
    /// known yet whether the target takes those before it.
    pub(super) async fn admit(&self, target: &Target, withstands: u32) -> bool {
        let part = self.dispatched_part(target, withstands);
        let role = self.role(target, withstands);
        let service = &target.announcement.service;
        let began = Instant::now();
        loop {
            match target.admit(self.now(), part, role) {
                Admitted::Now => {
                    self.metrics.admitted(service, "admitted");
                    return true;
                }
                Admitted::After(wait) if began.elapsed() + wait <= MAX_WAIT => {
                    tokio::time::sleep(wait).await;
                }
                Admitted::After(_) => {
                    self.metrics.admitted(service, "unconfirmed");
                    return false;
                }
                Admitted::Full => {
                    self.metrics.admitted(service, "full");
                    return false;
                }
            }
        }
    }
}
