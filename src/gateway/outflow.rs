//! Carries an answer from its target to its client at the pace of each.
//!
//! What the client has not taken yet is kept up to a bound, so that a client that reads slowly costs its target no more
//! than one that reads at once. Beyond the bound the target waits, and a client that reads nothing for too long is cut
//! off before the target loses patience.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use tokio::sync::mpsc;

use super::answer::AnswerAborted;
use super::exchange::Plan;
use super::held::Holder;
use super::refusal::Refusal;
use super::trace::{self, ClientCut};
use super::{Gateway, OpenRequest};
use crate::clock::Instant;

/// Between two looks for room that other clients may have left.
const LOOK_FOR_ROOM: Duration = Duration::from_millis(50);

/// Where the pieces of an answer come from.
pub(super) trait Source: Send + 'static {
    /// The next piece, or `None` at the end.
    fn next(&mut self) -> impl Future<Output = Result<Option<Bytes>, Refusal>> + Send;

    /// The answer was whole.
    fn end(self);

    /// Its target had to wait so long for the client to take the last piece.
    fn note_waited(&mut self, waited: Duration);

    /// The answer can't go on.
    fn cut(&mut self, why: Refusal);
}

/// What goes to a client next.
enum Handed {
    /// A piece of the answer.
    Piece(Bytes),
    /// Nothing: the answer was whole.
    End,
}

/// The way of an answer to its client.
pub(super) struct Outflow {
    gateway: Arc<Gateway>,
    holder: Arc<Holder>,
    deadline: Instant,
}

impl Outflow {
    /// To the client of a request.
    pub(super) fn new(gateway: &Arc<Gateway>, plan: &Plan) -> Self {
        let (gateway, holder) = (gateway.clone(), plan.holder.clone());
        Outflow { gateway, holder, deadline: plan.outgoing.deadline }
    }

    /// Passes on the first piece and all that the source has after it; the request counts as open until the last piece
    /// is handed to the client's connection, which may still have some of it to send.
    pub(super) fn start(
        self,
        first: Bytes,
        source: impl Source,
        open: Option<OpenRequest>,
    ) -> BoxStream<'static, Result<Bytes, AnswerAborted>> {
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(self.carry(first, source, sender));
        let pieces = futures_util::stream::unfold(Some((receiver, open)), |state| async move {
            let (mut receiver, open) = state?;
            match receiver.recv().await {
                Some(Handed::Piece(piece)) => Some((Ok(piece), Some((receiver, open)))),
                Some(Handed::End) => None,
                None => Some((Err(AnswerAborted), None)),
            }
        });
        pieces.boxed()
    }

    /// Carries pieces until the end, or until either side is gone.
    async fn carry(
        self,
        first: Bytes,
        mut source: impl Source,
        sender: mpsc::UnboundedSender<Handed>,
    ) {
        let mut piece = first;
        loop {
            if !self.hand_on(piece, &mut source, &sender).await {
                return;
            }
            let next = tokio::select! {
                next = source.next() => next,
                () = sender.closed() => return,
            };
            match next {
                Ok(Some(next)) => piece = next,
                Ok(None) => {
                    source.end();
                    // Nobody hears it where the client has left.
                    let _ = sender.send(Handed::End);
                    return;
                }
                Err(why) => {
                    source.cut(why);
                    return;
                }
            }
        }
    }

    /// Hands a piece on once there is room for it; false when that won't be.
    async fn hand_on(
        &self,
        mut piece: Bytes,
        source: &mut impl Source,
        sender: &mpsc::UnboundedSender<Handed>,
    ) -> bool {
        let longest = Duration::from_millis(self.gateway.settings.client_unread_ms);
        let clock = &self.gateway.run_clock;
        let began = clock.ran();
        let mut read_at = began;
        loop {
            if self.fits(&piece) {
                match self.holder.unread_piece(piece) {
                    Ok(held) => {
                        source.note_waited(clock.ran().saturating_sub(began));
                        return sender.send(Handed::Piece(held)).is_ok();
                    }
                    Err(back) => piece = back,
                }
            }
            if clock.ran() >= read_at + longest || clock.past(self.deadline) {
                trace::client_cut(&self.gateway, self.holder.unread(), ClientCut::Unread);
                source.cut(Refusal::AnswerLate);
                return false;
            }
            tokio::select! {
                biased;
                () = self.holder.reads() => read_at = clock.ran(),
                () = sender.closed() => return false,
                () = tokio::time::sleep(LOOK_FOR_ROOM) => {}
            }
        }
    }

    /// Whether the client's buffer has room; a piece that is larger than all of it goes alone.
    fn fits(&self, piece: &Bytes) -> bool {
        let unread = self.holder.unread();
        unread == 0 || unread + piece.len() <= self.gateway.settings.client_buffer()
    }
}
