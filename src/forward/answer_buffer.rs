use std::collections::VecDeque;

use bytes::Bytes;

use crate::http::{HeldMemory, RequestMemory};

/// Largest block. Each is freed as soon as the caller has read it.
const MAX_BLOCK_BYTES: usize = 32 << 10;
/// Smallest capacity of a block that follows another one.
const MIN_BLOCK_BYTES: usize = 1 << 10;

/// The part of a response that has arrived, in blocks of charged memory. Its parts are copied: many
/// small ones would each hold the read buffer that they are part of.
pub(super) struct AnswerBuffer {
    memory: RequestMemory,
    blocks: VecDeque<Bytes>,
    last: Vec<u8>,
    last_held: HeldMemory,
    length_bytes: usize,
}

impl AnswerBuffer {
    pub fn new(memory: &RequestMemory) -> AnswerBuffer {
        AnswerBuffer {
            memory: memory.clone(),
            blocks: VecDeque::new(),
            last: Vec::new(),
            last_held: memory.begin_part(),
            length_bytes: 0,
        }
    }

    pub fn length_bytes(&self) -> usize {
        self.length_bytes
    }

    /// Appends a part. Returns false if there is no memory for it.
    pub fn push(&mut self, part: &[u8]) -> bool {
        let last_bytes = self.last.len() + part.len();
        if last_bytes > MAX_BLOCK_BYTES && !self.last.is_empty() {
            return self.begin_block(part);
        }
        if last_bytes > self.last.capacity() {
            let capacity = (2 * self.last.capacity()).min(MAX_BLOCK_BYTES).max(last_bytes);
            if !self.last_held.try_grow_to(capacity) {
                return false;
            }
            self.last.reserve_exact(capacity - self.last.len());
        }
        self.append(part);
        true
    }

    fn begin_block(&mut self, part: &[u8]) -> bool {
        let capacity = part.len().max(MIN_BLOCK_BYTES);
        let Some(held) = self.memory.hold(capacity) else { return false };
        let block = std::mem::replace(&mut self.last, Vec::with_capacity(capacity));
        let block_held = std::mem::replace(&mut self.last_held, held);
        self.blocks.push_back(block_held.into_bytes(block));
        self.append(part);
        true
    }

    fn append(&mut self, part: &[u8]) {
        self.last.extend_from_slice(part);
        self.length_bytes += part.len();
    }

    pub fn into_blocks(mut self) -> VecDeque<Bytes> {
        if !self.last.is_empty() {
            self.blocks.push_back(self.last_held.into_bytes(self.last));
        }
        self.blocks
    }
}
