//! Event stream of a decode.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::sync::{mpsc, watch};

use super::service::EngineService;
use super::state::{ExpectedOutput, Progress};
use crate::engine::DecodeEvent;
use crate::http::BrokenStream;
use crate::standin::expected::token_for_hash;
use crate::units::{AttemptId, Incarnation, InstanceId, Tokens};

/// Capacity of the channel to the connection, in events.
pub const STREAM_BUFFER: usize = 64;
/// Time for the connection to flush sent events before it is broken.
const FLUSH_DELAY: Duration = Duration::from_millis(5);

/// Writes the events of a decode to one stream.
pub struct StreamWriter {
    pub service: Rc<EngineService>,
    pub attempt: AttemptId,
    pub output: ExpectedOutput,
    pub progress: watch::Receiver<Progress>,
    /// Number of the stream among those of the decode.
    pub stream: u64,
    pub sender: mpsc::Sender<Result<Bytes, BrokenStream>>,
    pub remote: SocketAddr,
}

/// The caller has closed the stream.
struct StreamClosed;

impl StreamWriter {
    pub async fn run(mut self, first_index: u64, is_first: bool) {
        if self.write(first_index, is_first).await.is_err() {
            self.service.handle_disconnect(&self.attempt, self.stream);
        }
    }

    async fn write(&mut self, first_index: u64, is_first: bool) -> Result<(), StreamClosed> {
        if is_first {
            self.send(&DecodeEvent::Imported { attempt: self.attempt.clone() }).await?;
        }
        for index in first_index..self.output.length {
            if self.is_stream_cut(index - first_index) || !self.generated(index).await? {
                self.break_connection().await;
                return Ok(());
            }
            self.send_token(index).await?;
        }
        self.finish().await
    }

    /// Breaks the connection after the events sent so far were flushed. hyper discards unflushed
    /// data when a body fails.
    async fn break_connection(&self) {
        tokio::time::sleep(FLUSH_DELAY).await;
        let _ = self.sender.send(Err(BrokenStream)).await;
    }

    /// Whether the injected fault ends the stream after `sent` tokens.
    fn is_stream_cut(&self, sent: u64) -> bool {
        self.service.state.borrow().faults.cut_after_tokens.is_some_and(|limit| sent >= limit)
    }

    /// Waits until a token is generated. Returns `false` if the attempt is cancelled first.
    async fn generated(&mut self, index: u64) -> Result<bool, StreamClosed> {
        tokio::select! {
            progress = self.progress.wait_for(|progress| progress.generated > index) => {
                Ok(progress.is_ok())
            }
            () = self.sender.closed() => Err(StreamClosed),
        }
    }

    async fn send_token(&self, index: u64) -> Result<(), StreamClosed> {
        let (crossed, repeated) = {
            let faults = &self.service.state.borrow().faults;
            let every = |n: u64| n > 0 && index.is_multiple_of(n);
            (every(faults.cross_every), every(faults.duplicate_every))
        };
        if crossed {
            self.send(&self.crossed(index)).await?;
        }
        let text = SmolStr::from(token_for_hash(self.output.prompt_hash, index));
        let event = DecodeEvent::Token { attempt: self.attempt.clone(), index, text };
        self.send(&event).await?;
        match repeated {
            true => self.send(&event).await,
            false => Ok(()),
        }
    }

    /// Builds a token event of another attempt: a running one if there is any, else a fictitious
    /// one.
    fn crossed(&self, index: u64) -> DecodeEvent {
        let state = self.service.state.borrow();
        let other = state.decodes.iter().find(|(attempt, _)| **attempt != self.attempt);
        let (attempt, hash) = match other {
            Some((attempt, decode)) => (attempt.clone(), decode.output.prompt_hash),
            None => {
                let instance = InstanceId::new("other");
                let attempt = AttemptId { instance, incarnation: Incarnation(0), sequence: index };
                (attempt, !self.output.prompt_hash)
            }
        };
        DecodeEvent::Token { attempt, index, text: token_for_hash(hash, index).into() }
    }

    async fn finish(&mut self) -> Result<(), StreamClosed> {
        let ended = tokio::select! {
            progress = self.progress.wait_for(|progress| progress.ended) => progress.is_ok(),
            () = self.sender.closed() => return Err(StreamClosed),
        };
        if !ended {
            self.break_connection().await;
            return Ok(());
        }
        let reason = if self.output.is_truncated { "length" } else { "stop" };
        let done = DecodeEvent::Done {
            attempt: self.attempt.clone(),
            prompt_tokens: Tokens(self.output.prompt_tokens),
            output_tokens: Tokens(self.output.length),
            finish_reason: reason.into(),
        };
        self.send(&done).await
    }

    async fn send(&self, event: &DecodeEvent) -> Result<(), StreamClosed> {
        self.service.network.wait_while_frozen().await;
        if self.service.network.is_silent(self.remote) {
            self.sender.closed().await;
            return Err(StreamClosed);
        }
        let Ok(mut line) = serde_json::to_vec(event) else { return Err(StreamClosed) };
        line.push(b'\n');
        self.sender.send(Ok(line.into())).await.map_err(|_| StreamClosed)
    }
}
