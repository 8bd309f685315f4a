//! Searches the records that the log still keeps.

use pomelohitch_core::id::Offset;
use pomelohitch_core::record::FLEET_STREAM;
use pomelohitch_core::{Record, State};
use pomelohitch_platform::Log;
use pomelohitch_platform::log::Read;

/// Returns the offset of the record that last removed the file at `path`; `None` if the log no
/// longer keeps it, or can't be read.
///
/// The state does not keep the offset of a removal, so the records are folded again; searching
/// their bodies would also find rejected removals.
#[must_use]
pub fn removed_at(log: &Log, path: &str) -> Option<Offset> {
    let mut state = State::default();
    let mut removed = None;
    loop {
        let read = Read {
            stream: FLEET_STREAM,
            from: state.next,
            ..Read::default()
        };
        let batch = (log.read)(&read).ok()?;
        for stored in &batch.records {
            let Ok(record) = Record::decode(&stored.data) else {
                state.skip(stored.offset);
                continue;
            };
            let existed = state.config.files.contains_key(path);
            let _ = state.apply(stored.offset, &record);
            if existed && !state.config.files.contains_key(path) {
                removed = Some(stored.offset);
            }
        }
        if batch.records.is_empty() || state.next >= batch.next {
            return removed;
        }
    }
}
