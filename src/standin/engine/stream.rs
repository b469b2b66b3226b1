use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use smol_str::SmolStr;
use tokio::sync::{mpsc, watch};

use super::service::EngineService;
use super::state::{DecodeAnswer, Progress};
use crate::engine::DecodeEvent;
use crate::http::BrokenStream;
use crate::standin::expected::token_of_hash;
use crate::units::{AttemptId, Incarnation, InstanceId, Tokens};

pub const STREAM_BUFFER: usize = 64;
const FLUSH_TIME: Duration = Duration::from_millis(5);

/// Writes the events of one decode answer.
pub struct StreamWriter {
    pub service: Rc<EngineService>,
    pub attempt: AttemptId,
    pub answer: DecodeAnswer,
    pub progress: watch::Receiver<Progress>,
    pub stream: u64,
    pub sender: mpsc::Sender<Result<Bytes, BrokenStream>>,
    pub remote: SocketAddr,
}

/// The caller has closed the stream.
struct Closed;

impl StreamWriter {
    pub async fn run(mut self, first_index: u64, is_first: bool) {
        if self.write(first_index, is_first).await.is_err() {
            self.service.note_disconnect(&self.attempt, self.stream);
        }
    }

    async fn write(&mut self, first_index: u64, is_first: bool) -> Result<(), Closed> {
        if is_first {
            self.send(&DecodeEvent::Imported { attempt: self.attempt.clone() }).await?;
        }
        for index in first_index..self.answer.length {
            if self.is_cut(index - first_index) || !self.generated(index).await? {
                self.break_off().await;
                return Ok(());
            }
            self.send_token(index).await?;
        }
        self.finish().await
    }

    /// Breaks the connection after the tokens sent so far have left: hyper drops what it has not
    /// flushed when a body breaks.
    async fn break_off(&self) {
        tokio::time::sleep(FLUSH_TIME).await;
        let _ = self.sender.send(Err(BrokenStream)).await;
    }

    fn is_cut(&self, sent: u64) -> bool {
        self.service.state.borrow().faults.cut_after_tokens.is_some_and(|limit| sent >= limit)
    }

    /// Waits for a token; `false` if the attempt was cancelled first.
    async fn generated(&mut self, index: u64) -> Result<bool, Closed> {
        tokio::select! {
            progress = self.progress.wait_for(|progress| progress.generated > index) => {
                Ok(progress.is_ok())
            }
            () = self.sender.closed() => Err(Closed),
        }
    }

    async fn send_token(&self, index: u64) -> Result<(), Closed> {
        let (crossed, repeated) = {
            let faults = &self.service.state.borrow().faults;
            let every = |n: u64| n > 0 && index.is_multiple_of(n);
            (every(faults.cross_every), every(faults.duplicate_every))
        };
        if crossed {
            self.send(&self.crossed(index)).await?;
        }
        let text = SmolStr::from(token_of_hash(self.answer.prompt_hash, index));
        let event = DecodeEvent::Token { attempt: self.attempt.clone(), index, text };
        self.send(&event).await?;
        match repeated {
            true => self.send(&event).await,
            false => Ok(()),
        }
    }

    /// A token of another attempt: of one that runs here, or of a made-up one.
    fn crossed(&self, index: u64) -> DecodeEvent {
        let state = self.service.state.borrow();
        let other = state.decodes.iter().find(|(attempt, _)| **attempt != self.attempt);
        let (attempt, hash) = match other {
            Some((attempt, decode)) => (attempt.clone(), decode.answer.prompt_hash),
            None => {
                let instance = InstanceId::new("other");
                let attempt = AttemptId { instance, incarnation: Incarnation(0), sequence: index };
                (attempt, !self.answer.prompt_hash)
            }
        };
        DecodeEvent::Token { attempt, index, text: token_of_hash(hash, index).into() }
    }

    async fn finish(&mut self) -> Result<(), Closed> {
        let ended = tokio::select! {
            progress = self.progress.wait_for(|progress| progress.ended) => progress.is_ok(),
            () = self.sender.closed() => return Err(Closed),
        };
        if !ended {
            self.break_off().await;
            return Ok(());
        }
        let reason = if self.answer.is_cut { "length" } else { "stop" };
        let done = DecodeEvent::Done {
            attempt: self.attempt.clone(),
            prompt_tokens: Tokens(self.answer.prompt_tokens),
            output_tokens: Tokens(self.answer.length),
            finish_reason: reason.into(),
        };
        self.send(&done).await
    }

    async fn send(&self, event: &DecodeEvent) -> Result<(), Closed> {
        self.service.network.thawed().await;
        if self.service.network.is_silent(self.remote) {
            self.sender.closed().await;
            return Err(Closed);
        }
        let Ok(mut line) = serde_json::to_vec(event) else { return Err(Closed) };
        line.push(b'\n');
        self.sender.send(Ok(line.into())).await.map_err(|_| Closed)
    }
}
