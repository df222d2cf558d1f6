//! Reading the fields of one record.

use super::Malformed;

/// Reads values one after the other; each error names the record and the offset.
pub(super) struct Reader<'a> {
    bytes: &'a [u8],
    offset: usize,
    record: u32,
}

impl<'a> Reader<'a> {
    /// Reads `bytes` from `offset` on, as part of a record.
    pub(super) fn new(bytes: &'a [u8], offset: usize, record: u32) -> Reader<'a> {
        Reader {
            bytes,
            offset,
            record,
        }
    }

    pub(super) fn offset(&self) -> usize {
        self.offset
    }

    /// Bytes that are left.
    pub(super) fn left(&self) -> usize {
        self.bytes.len() - self.offset
    }

    /// A fault at the present offset.
    pub(super) fn fault(&self, reason: String) -> Malformed {
        Malformed {
            record: Some(self.record),
            offset: self.offset,
            reason,
        }
    }

    pub(super) fn take(&mut self, length: usize) -> Result<&'a [u8], Malformed> {
        if self.left() < length {
            return Err(self.fault(format!("{length} bytes wanted, {} left", self.left())));
        }
        let start = self.offset;
        self.offset += length;
        Ok(&self.bytes[start..self.offset])
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let bytes = self.take(N)?;
        Ok(std::array::from_fn(|k| bytes[k]))
    }

    pub(super) fn u8(&mut self) -> Result<u8, Malformed> {
        self.array().map(u8::from_le_bytes)
    }

    pub(super) fn u16(&mut self) -> Result<u16, Malformed> {
        self.array().map(u16::from_le_bytes)
    }

    pub(super) fn u32(&mut self) -> Result<u32, Malformed> {
        self.array().map(u32::from_le_bytes)
    }

    pub(super) fn u64(&mut self) -> Result<u64, Malformed> {
        self.array().map(u64::from_le_bytes)
    }

    pub(super) fn f32(&mut self) -> Result<f32, Malformed> {
        self.array().map(f32::from_le_bytes)
    }

    /// A load report: the number of its values, and those.
    pub(super) fn load_report(&mut self) -> Result<Vec<f32>, Malformed> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }

    pub(super) fn text(&mut self, length: usize) -> Result<String, Malformed> {
        let bytes = self.take(length)?.to_vec();
        String::from_utf8(bytes).map_err(|_| self.fault("text that is not UTF-8".to_string()))
    }
}
