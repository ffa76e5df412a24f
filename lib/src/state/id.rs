//! Identifiers and the limits on names.

use std::sync::Arc;

/// Name of an account; `[a-z0-9-]`, at most [`MAX_NAME`] bytes.
pub type AccountId = Arc<str>;
/// Name of a pool, unique over the site.
pub type PoolId = Arc<str>;
/// Name of a service, unique within its account.
pub type ServiceId = Arc<str>;
/// A service together with the account that owns it.
pub type ServiceKey = (AccountId, ServiceId);
/// Name of a box, as the platform's box list gives it.
pub type BoxId = Arc<str>;
/// Name of a data hall.
pub type HallId = Arc<str>;
/// Name of a rack.
pub type RackId = Arc<str>;
/// Number of a daemon, unique among the entry boxes of a site.
pub type DaemonId = u16;
/// Position of a batch on the platform's log.
pub type Offset = u64;
/// Random id of one record, chosen by its writer; an operator can ask for its verdict.
pub type RecordId = u128;
/// Random id of a plan, chosen by the daemon that computed it.
pub type PlanId = u64;
/// Microseconds since the Unix epoch at which a daemon started; orders a daemon's lives.
pub type Incarnation = u64;

/// Longest name accepted, in bytes.
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
    let sized = !name.is_empty() && name.len() <= MAX_NAME;
    sized && name.bytes().all(is_name_byte)
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-'
}

/// Writes a plan id the way operators see it.
///
/// ```
/// use spokelift_lib::state::id::{format_plan, parse_plan};
/// assert_eq!(format_plan(0x2a), "000000000000002a");
/// assert_eq!(parse_plan("000000000000002a"), Some(0x2a));
/// ```
pub fn format_plan(plan: PlanId) -> String {
    format!("{plan:016x}")
}

/// Reads a plan id written by [`format_plan`].
pub fn parse_plan(text: &str) -> Option<PlanId> {
    PlanId::from_str_radix(text, 16).ok()
}

/// Writes a record id the way operators see it.
pub fn format_record(record: RecordId) -> String {
    format!("{record:032x}")
}

/// Reads a record id written by [`format_record`].
pub fn parse_record(text: &str) -> Option<RecordId> {
    RecordId::from_str_radix(text, 16).ok()
}
