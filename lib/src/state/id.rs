//! Identifiers and the syntax of names.

use std::sync::Arc;

/// Name of an account; `[a-z0-9-]`, at most [`MAX_NAME`] bytes.
pub type AccountId = Arc<str>;
/// Name of a pool, unique over the site.
pub type PoolId = Arc<str>;
/// Name of a service, unique within its account.
pub type ServiceId = Arc<str>;
/// A service together with the account that owns it.
pub type ServiceKey = (AccountId, ServiceId);
/// Name of a box in the platform's box list.
pub type BoxId = Arc<str>;
/// Name of a data hall.
pub type HallId = Arc<str>;
/// Name of a rack.
pub type RackId = Arc<str>;
/// Number of a daemon, unique among the daemons of a site.
pub type DaemonId = u16;
/// Offset of a batch on the platform's log. Also the type of positions, which are offsets plus one
/// (see [`crate::state::fold`]).
pub type Offset = u64;
/// Random id of a record, chosen by its writer; operators query its verdict by it.
pub type RecordId = u128;
/// Random id of a plan, chosen by the daemon that computed it.
pub type PlanId = u64;
/// Orders the incarnations of a daemon: the start time in microseconds since the Unix epoch, or a
/// later number if the clock has gone back.
pub type Incarnation = u64;

/// Maximum length of a name, in bytes.
pub const MAX_NAME: usize = 64;

/// Whether `name` may be used for an account, pool, service or box.
///
/// ```
/// use spokelift_lib::state::id::is_name;
/// assert!(is_name("stock-matching"));
/// assert!(!is_name("Stock matching"));
/// assert!(!is_name(""));
/// ```
pub fn is_name(name: &str) -> bool {
    let is_length_valid = !name.is_empty() && name.len() <= MAX_NAME;
    is_length_valid && name.bytes().all(is_name_byte)
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-'
}

/// Formats a plan id for operators.
///
/// ```
/// use spokelift_lib::state::id::{format_plan, parse_plan};
/// assert_eq!(format_plan(0x2a), "000000000000002a");
/// assert_eq!(parse_plan("000000000000002a"), Some(0x2a));
/// ```
pub fn format_plan(plan: PlanId) -> String {
    format!("{plan:016x}")
}

/// Parses a plan id written by [`format_plan`].
pub fn parse_plan(text: &str) -> Option<PlanId> {
    PlanId::from_str_radix(text, 16).ok()
}

/// Formats a record id for operators.
pub fn format_record(record: RecordId) -> String {
    format!("{record:032x}")
}

/// Parses a record id written by [`format_record`].
pub fn parse_record(text: &str) -> Option<RecordId> {
    RecordId::from_str_radix(text, 16).ok()
}
