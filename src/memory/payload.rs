//! Complete body in segments of bounded size.

use super::{Body, Charge};
use bytes::{Buf, Bytes, BytesMut};
use std::{collections::VecDeque, io, sync::Arc};

/// Size of a full segment: below the size from which the allocator asks the system for each block by itself, and
/// the same for all bodies, so that freed segments fit the next ones.
const SEGMENT_BYTES: usize = 64 << 10;
/// Size of the first segment of a body of unknown length.
const FIRST_BYTES: usize = 4 << 10;

/// Complete body in segments of bounded size; clones share them. What it takes is held until the last clone is
/// dropped.
#[derive(Clone, Debug, Default)]
pub struct Payload {
    segments: Arc<[Bytes]>,
    length: usize,
    _charge: Option<Arc<Charge>>,
}

impl Payload {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Reports whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns a segment.
    pub(super) fn segment(&self, index: usize) -> Option<&Bytes> {
        self.segments.get(index)
    }

    /// Returns the bytes as the body of a request.
    pub fn body(&self) -> Body {
        Body::new(self.clone())
    }

    /// Returns a reader of the bytes.
    pub fn reader(&self) -> impl io::Read + use<> {
        // Parsers read byte by byte.
        io::BufReader::new(Reader(self.segments.iter().cloned().collect()))
    }
}

struct Reader(VecDeque<Bytes>);

impl io::Read for Reader {
    fn read(&mut self, space: &mut [u8]) -> io::Result<usize> {
        while let Some(first) = self.0.front_mut() {
            if first.is_empty() {
                self.0.pop_front();
                continue;
            }
            let count = first.len().min(space.len());
            first.copy_to_slice(&mut space[..count]);
            return Ok(count);
        }
        Ok(0)
    }
}

/// Segments of a body that is arriving. Bytes are copied, because those that were read may keep a much larger
/// buffer alive.
pub(crate) struct Builder {
    segments: Vec<Bytes>,
    current: BytesMut,
    length: usize,
    /// Number of bytes in the end, if it is known.
    expected: Option<usize>,
}

impl Builder {
    pub(crate) fn new(expected: Option<usize>) -> Self {
        Self {
            segments: Vec::new(),
            current: BytesMut::new(),
            length: 0,
            expected,
        }
    }

    /// Returns the number of bytes so far.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Appends bytes.
    pub(crate) fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            if self.current.len() == self.current.capacity() {
                self.begin_segment();
            }
            let room = self.current.capacity() - self.current.len();
            let (fitting, rest) = bytes.split_at(room.min(bytes.len()));
            self.current.extend_from_slice(fitting);
            self.length += fitting.len();
            bytes = rest;
        }
    }

    fn begin_segment(&mut self) {
        let size = match self.expected {
            Some(expected) => expected.saturating_sub(self.length).max(1),
            None => self.length.max(FIRST_BYTES),
        };
        let next = BytesMut::with_capacity(size.min(SEGMENT_BYTES));
        let full = std::mem::replace(&mut self.current, next);
        if !full.is_empty() {
            self.segments.push(full.freeze());
        }
    }

    /// Returns the complete body.
    pub(crate) fn finish(mut self, charge: Charge) -> Payload {
        if !self.current.is_empty() {
            self.segments.push(self.current.freeze());
        }
        Payload {
            segments: self.segments.into(),
            length: self.length,
            _charge: Some(Arc::new(charge)),
        }
    }
}
