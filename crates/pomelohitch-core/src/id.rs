//! Type aliases for ids, offsets and times.

use std::time::Duration;

/// Id of a team, the unit by which work is authenticated, shared and limited.
pub type TeamId = Box<str>;
/// Id of a service.
pub type ServiceId = Box<str>;
/// Id of a pool of instances.
pub type PoolId = Box<str>;
/// Id of an instance; it stays the same when the instance moves to another pool.
pub type InstanceId = Box<str>;
/// Name of an availability zone.
pub type ZoneId = Box<str>;
/// Name of a rack, unique within its availability zone.
pub type RackId = Box<str>;
/// Id of an entry instance as a member.
pub type MemberId = Box<str>;
/// Id of a batch job.
pub type JobId = Box<str>;
/// Class of a job. Jobs of a class run the same program on the same kind of input, so they are
/// assumed to behave alike.
pub type JobClass = Box<str>;
/// Path of a fleet file, relative to the root of the published tree.
pub type FilePath = Box<str>;
/// Hash of a key, in lower-case hexadecimal.
pub type KeyHash = Box<str>;

/// Position of a record in a stream of the log; the first record has offset 0.
pub type Offset = u64;
/// Identifies one run of an entry instance's process by the offset of its join record.
pub type Incarnation = Offset;
/// Number of the planner's term. A decision is accepted only in the term in which it was made.
pub type Term = u64;
/// Unique id of a record, by which a record that is appended twice is applied once.
pub type RecordId = uuid::Uuid;
/// Wall-clock time since the Unix epoch, by the clock of the record's proposer. Only for display
/// and reports: the fold never compares it with a clock.
pub type Timestamp = Duration;
