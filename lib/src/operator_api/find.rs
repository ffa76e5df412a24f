//! Looks up what another daemon may have accepted just before.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::coordination::follow::read_to_end;
use crate::coordination::node::Node;
use crate::protocol::api::ApiError;

/// How long a response that something is not known is held back to read the log to its end.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Looks something up. If it is not known here, the log is read to its end first, and then it is
/// looked up once more: another daemon may have answered for it before this one has read it.
///
/// Returns [`ApiError::Stale`] in place of [`ApiError::NotFound`] if the log cannot be read to its
/// end in time, since it may hold it.
pub(super) async fn find<T>(
    node: &Arc<Node>,
    look_up: impl Fn() -> Result<T, ApiError>,
) -> Result<T, ApiError> {
    let unknown = match look_up() {
        Err(error @ (ApiError::NotFound { .. } | ApiError::Unknown { .. })) => error,
        result => return result,
    };
    node.counters.count("operate.read-to-end");
    match timeout(READ_TIMEOUT, read_to_end(node)).await {
        Ok(Ok(())) => look_up(),
        _ if matches!(unknown, ApiError::NotFound { .. }) => Err(ApiError::Stale),
        _ => Err(unknown),
    }
}
